"""Which faults a seed stands for."""

import random
from collections.abc import Callable
from functools import partial

from sassafraspin.soak.model import (
    CutLink,
    DelayLink,
    Direction,
    Fault,
    FreezeEngine,
    FreezeInstance,
    KillEngine,
    KillInstance,
    LoseDisk,
    PutProfile,
    ResetLink,
    RestartAll,
    SoakSettings,
    StopInstance,
)

__all__ = ["CONTROL_INSTANCES", "plan_faults"]

CONTROL_INSTANCES = 3
"""Instances with control duty; they bear the loss of one."""

_FAULTS_PER_SECOND = 0.6
"""Mean rate; with the durations below, two or three faults overlap."""

_SHORTEST_SECONDS = 0.1
_LONGEST_SECONDS = 4.0
_LONGEST_DELAY_SECONDS = 0.4
_PROFILE_INTERVAL_SECONDS = 1.5


def plan_faults(settings: SoakSettings) -> list[Fault]:
    """Return the faults of a run, in the order in which they begin.

    Faults come alone or in series, overlap, and hit any process. One disk is lost at
    most, and not together with another fault of a control instance's process, since
    the deployment bears the loss of one.
    """
    generator = random.Random(settings.seed)
    count = max(2, round(_FAULTS_PER_SECOND * settings.seconds))
    faults = [_draw(generator, settings) for _ in range(count)]
    if generator.random() < 0.3:
        faults = [item for item in faults if not _stops_control(item)]
        faults.append(_lose_disk(generator, settings))
    faults += _profile_changes(generator, settings)
    return sorted(faults, key=lambda fault: fault.at)


def _draw(generator: random.Random, settings: SoakSettings) -> Fault:
    at = generator.uniform(0, settings.seconds)
    seconds = generator.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
    instance = generator.randrange(settings.instances)
    engine = generator.randrange(settings.engines)
    direction = generator.choice(list(Direction))
    delay = generator.uniform(0.01, _LONGEST_DELAY_SECONDS)
    makers: list[Callable[[], Fault]] = [
        partial(KillInstance, at, instance, seconds),
        partial(FreezeInstance, at, instance, seconds),
        partial(StopInstance, at, instance, seconds),
        partial(RestartAll, at, seconds / settings.instances),
        partial(KillEngine, at, engine, seconds),
        partial(FreezeEngine, at, engine, seconds),
        partial(DelayLink, at, instance, seconds, delay),
        partial(CutLink, at, instance, seconds, direction),
        partial(ResetLink, at, instance),
    ]
    return generator.choice(makers)()


def _stops_control(fault: Fault) -> bool:
    match fault:
        case RestartAll():
            return True
        case KillInstance() | FreezeInstance() | StopInstance():
            return fault.target < CONTROL_INSTANCES
    return False


def _lose_disk(generator: random.Random, settings: SoakSettings) -> LoseDisk:
    at = generator.uniform(0.2, 0.7) * settings.seconds
    target = generator.randrange(CONTROL_INSTANCES)
    return LoseDisk(at, target, generator.uniform(0.5, _LONGEST_SECONDS))


def _profile_changes(
    generator: random.Random, settings: SoakSettings
) -> list[PutProfile]:
    changes = []
    at = generator.uniform(0, _PROFILE_INTERVAL_SECONDS)
    while at < settings.seconds:
        changes.append(PutProfile(at, generator.randrange(settings.instances)))
        at += generator.uniform(0.2, 2 * _PROFILE_INTERVAL_SECONDS)
    return changes
