"""Proposals of an instance to the control leader."""

import unittest
from types import SimpleNamespace

import msgspec
import trio
from trio.testing import MockClock

from sassafraspin.control.commands import PutTable
from sassafraspin.daemon.messages import Propose
from sassafraspin.daemon.proposals import ProposalClient
from sassafraspin.routes import CallerLimits, DeclaredTable, RoutingTable

TABLE_BYTES = 30_000
MAX_COPIES = 5
"""Copies in 5 s if the pause of 0.3 s between them doubles each time."""


class TestProposalClient(unittest.TestCase):
    """A change whose outcome is unknown for as long as the caller waits."""

    def test_undecided_table_is_not_sent_again_and_again(self):
        sent: list[bytes] = []
        node = SimpleNamespace(
            lease=SimpleNamespace(leader="leader"),
            send=lambda peer, message: sent.append(msgspec.msgpack.encode(message)),
        )
        table = RoutingTable(1, (), (), (), CallerLimits())
        command = PutTable("c1", 0, DeclaredTable(table, b"x" * TABLE_BYTES))

        async def run():
            return await ProposalClient(node).propose(command)

        outcome = trio.run(run, clock=MockClock(autojump_threshold=0))
        self.assertIsNone(outcome)
        copy = len(msgspec.msgpack.encode(Propose(command)))
        self.assertLessEqual(sum(map(len, sent)), MAX_COPIES * copy)
