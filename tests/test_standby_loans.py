"""Loans of unused slots between instances while no dispatcher responds."""

import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

import trio

from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from tests.routed_model import (
    CONTROL,
    SERVICE,
    RoutedModel,
    routed_model,
    run_in_virtual_time,
)

ENTRIES = tuple(f"e{number}" for number in range(8))
SERVERS = tuple(f"i{number}" for number in range(1, 9))
SERVER_SLOTS = 5

SECONDS = 2.4
"""Time that is compared: instances dispatch alone until their lease ends."""

WORK_SECONDS = 0.3
REQUESTS_PER_SECOND = 80
"""A leader has 40 slots for them, of which 24 are in use on average. Without the three
control instances, 29 slots are assigned to instances that respond."""

WEIGHTS = (0.40, 0.20, 0.10, 0.10, 0.08, 0.06, 0.04, 0.02)
"""Part of the requests that arrives at each instance."""


def slot_request(number: object, **fields) -> SlotRequest:
    """Return a request with an objective of 1 s and a deadline after 3 s."""
    values = {
        "deadline_ms": 3_000,
        "start_within_ms": 750,
        "tier": 0,
        **fields,
    }
    return SlotRequest(
        request_id=f"{SERVICE}:{number}",
        service=SERVICE,
        client_account="mill",
        profile="p",
        route="/r",
        prompt_tokens=10,
        answer_tokens=10,
        cancellable=False,
        **values,
    )


@dataclass
class Load:
    """Requests at the instances of a model, and what became of them."""

    model: RoutedModel
    served: int = 0
    refusals: list[SlotRefusal] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    in_use: Counter = field(default_factory=Counter)
    most_in_use: int = 0
    lost_releases: int = 0

    async def serve(self, instance: str, request: SlotRequest) -> SlotGrant | None:
        """Request a slot, use it for ``WORK_SECONDS``, and release it."""
        slots = self.model.runtimes[instance]._slots
        asked_at = trio.current_time()
        grant = await slots.acquire(request)
        self.waits.append(trio.current_time() - asked_at)
        if not isinstance(grant, SlotGrant):
            self.refusals.append(grant)
            return None
        if not slots.is_usable(grant):
            return None
        server = grant.backend_id
        self.in_use[server] += 1
        self.most_in_use = max(self.most_in_use, self.in_use[server])
        await trio.sleep(WORK_SECONDS)
        self.in_use[server] -= 1
        self.served += 1
        slots.release(
            SlotRelease(
                SERVICE,
                request.request_id,
                grant.grant_id,
                server,
                ReleaseResult.ANSWERED,
            )
        )
        return grant

    async def play(self, seed: int, seconds: float = SECONDS) -> None:
        """Play uneven arrivals, and wait until all of them have ended."""
        generator = random.Random(seed)
        ends_at = trio.current_time() + seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                await trio.sleep(generator.expovariate(REQUESTS_PER_SECOND))
                (instance,) = generator.choices(ENTRIES, WEIGHTS)
                number += 1
                nursery.start_soon(
                    self.serve, instance, slot_request(f"{seed}-{number}")
                )


def run_load(seed: int, *, lends_slots: bool, loses_core: bool) -> Load:
    """Return a load that was played with a leader, or without the control instances."""
    loads: list[Load] = []

    async def scenario() -> None:
        async with routed_model(
            SERVERS,
            entries=ENTRIES,
            lends_slots=lends_slots,
            server_slots=SERVER_SLOTS,
        ) as model:
            load = Load(model)
            loads.append(load)
            if loses_core:
                for name in CONTROL:
                    model.stop(name)
            await load.play(seed)

    run_in_virtual_time(scenario)
    return loads[0]


if __name__ == "__main__":
    for seed in (1, 2, 3):
        for lends_slots, loses_core in ((True, False), (False, True), (True, True)):
            load = run_load(seed, lends_slots=lends_slots, loses_core=loses_core)
            print(
                seed,
                lends_slots,
                loses_core,
                load.served,
                len(load.refusals),
                load.most_in_use,
                round(max(load.waits), 3),
                Counter(item.reason.value for item in load.refusals),
                Counter(
                    type(m).__name__ + ("L" if getattr(m, "lent", 0) else "")
                    for _, _, m in load.model.delivered
                ),
            )
