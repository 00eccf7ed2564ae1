"""Servers that leave a second time, as the daemon for declared routes retires them."""

import unittest
from types import SimpleNamespace

import trio

from sassafraspin.backends import Announcement, Retirement, RetirementStore
from sassafraspin.routed import Operations
from sassafraspin.routed.problems import RetirementPending
from tests.profile_cluster import announcement


class TestSecondLeave(unittest.TestCase):
    """A server that came back is retired by the announcement of its second leave."""

    def setUp(self):
        self.known: dict[str, Announcement] = {}
        self.retired: list[Retirement] = []
        self.retirements = RetirementStore((Retirement("runner-1", 1, 2),), 2)
        state = SimpleNamespace(retirements=self.retirements)
        node = SimpleNamespace(
            now=lambda: 0.0, configuration=SimpleNamespace(state=state)
        )
        dispatch = SimpleNamespace(
            announcement_of=self.known.get, announce=self.announce, backends=tuple
        )
        outdated = SimpleNamespace(is_outdated=self.retirements.covers)
        self.operations = Operations(node, None, None, dispatch, outdated)
        self.operations._retirement = self

    def announce(self, item: Announcement) -> bool:
        self.known[item.id] = item
        return True

    def end_outlived(self, item: Announcement) -> None:
        """Stand in for ``ServerRetirement``; no retirement is outlived."""

    async def retire(self, retirement: Retirement) -> None:
        """Stand in for ``ServerRetirement``; the first commit is not decided."""
        self.retired.append(retirement)
        if len(self.retired) == 1:
            raise RetirementPending(retirement.server, ())

    def test_repeat_after_an_undecided_commit_retires_the_second_leave(self):
        async def run() -> None:
            await self.operations.announce(announcement(3))
            with self.assertRaises(RetirementPending):
                await self.operations.announce(announcement(4, leaving=True))
            await self.operations.announce(announcement(5, leaving=True))

        trio.run(run)
        self.assertGreaterEqual(self.retired[-1].order, (1, 4))


if __name__ == "__main__":
    unittest.main()
