"""Uneven load on routed instances, with a leader and while there is none.

``python -m tests.standby_load`` prints what is served with and without loans of slots.
"""

import random
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


@dataclass(frozen=True)
class Work:
    """Requests a second in all, and how long each one uses a slot, in seconds."""

    rate: float
    seconds: float


WORK = Work(80, 0.3)
"""A leader has 40 slots for it, of which 24 are in use on average. Without the three
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
    work: Work = WORK
    served: int = 0
    refusals: list[SlotRefusal] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    in_use: Counter = field(default_factory=Counter)
    most_in_use: int = 0
    over_used: int = 0

    async def serve(self, instance: str, request: SlotRequest) -> SlotGrant | None:
        """Request a slot, use it, and release it."""
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
        self.over_used += self.in_use[server] > SERVER_SLOTS
        self.most_in_use = max(self.most_in_use, self.in_use[server])
        await trio.sleep(self.work.seconds)
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
                await trio.sleep(generator.expovariate(self.work.rate))
                (instance,) = generator.choices(ENTRIES, WEIGHTS)
                number += 1
                nursery.start_soon(
                    self.serve, instance, slot_request(f"{seed}-{number}")
                )


def run_load(
    seed: int,
    *,
    lends_slots: bool,
    loses_core: bool,
    seconds: float = SECONDS,
    work: Work = WORK,
    returns_after: float | None = None,
    **options,
) -> Load:
    """Return a load that was played with a leader, or without the control instances.

    They are lost at the beginning, or in its middle if they return after a time.
    """
    loads: list[Load] = []

    async def lose_core(model: RoutedModel) -> None:
        if returns_after is None:
            for name in CONTROL:
                model.stop(name)
            return
        await trio.sleep(seconds / 2)
        model.cut(ENTRIES, CONTROL)
        await trio.sleep(returns_after)
        model.blocked_links.clear()

    async def scenario() -> None:
        async with (
            routed_model(
                SERVERS,
                entries=ENTRIES,
                lends_slots=lends_slots,
                server_slots=SERVER_SLOTS,
                **options,
            ) as model,
            trio.open_nursery() as nursery,
        ):
            load = Load(model, work)
            loads.append(load)
            if loses_core:
                nursery.start_soon(lose_core, model)
                await trio.sleep(0)
            await load.play(seed, seconds)

    run_in_virtual_time(scenario)
    return loads[0]


def main() -> None:
    """Print the figures of docs/design/standby-loans.md."""
    for options in ({}, {"seconds": 17.0}, {"seconds": 17.0, "lease_seconds": 20.0}):
        for seed in (1, 2, 3):
            for lends_slots, loses_core in (
                (True, False),
                (False, True),
                (True, True),
            ):
                load = run_load(
                    seed, lends_slots=lends_slots, loses_core=loses_core, **options
                )
                print(options, seed, lends_slots, loses_core, _summary(load))
    for work in (Work(100, 0.3), Work(130, 0.3), Work(40, 1.0), Work(20, 2.0)):
        for lends_slots in (False, True):
            loads = [
                run_load(
                    seed,
                    lends_slots=lends_slots,
                    loses_core=True,
                    seconds=4.0,
                    work=work,
                    returns_after=0.6,
                )
                for seed in range(1, 6)
            ]
            served = sum(load.served for load in loads)
            print(work, lends_slots, served, sum(load.over_used for load in loads))


def _summary(load: Load) -> tuple[int, int, dict[str, int]]:
    """Return the requests served, those beyond the slots, and messages of loans."""
    messages = Counter(
        type(message).__name__
        for _, _, message in load.model.delivered
        if getattr(message, "lent", False) or isinstance(message, SlotRelease)
    )
    return load.served, load.over_used, dict(messages)


if __name__ == "__main__":
    main()
