"""Seeded schedule of the faults of a soak run."""

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
"""Size of the control quorum; it tolerates the loss of one instance."""

_FAULTS_PER_SECOND = 0.6
"""Mean rate; with the durations below, one fault is in progress on average.

At times two or three overlap.
"""

_MIN_FAULT_SECONDS = 0.1
_MAX_FAULT_SECONDS = 4.0
_MAX_DELAY_SECONDS = 0.4
_PROFILE_INTERVAL_SECONDS = 1.5


def plan_faults(settings: SoakSettings) -> list[Fault]:
    """Return the faults of a run, ordered by start time.

    Faults may overlap and affect any process. At most one control instance loses its
    data. In that case no other fault stops or suspends a control instance, because the
    quorum tolerates the loss of only one.
    """
    generator = random.Random(settings.seed)
    count = max(2, round(_FAULTS_PER_SECOND * settings.seconds))
    faults = [_random_fault(generator, settings) for _ in range(count)]
    if generator.random() < 0.3:
        faults = [item for item in faults if not _stops_control_instance(item)]
        faults.append(_random_disk_loss(generator, settings))
    faults += _random_profile_changes(generator, settings)
    return sorted(faults, key=lambda fault: fault.at)


def _random_fault(generator: random.Random, settings: SoakSettings) -> Fault:
    at = generator.uniform(0, settings.seconds)
    seconds = generator.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)
    instance = generator.randrange(settings.instances)
    engine = generator.randrange(settings.engines)
    direction = generator.choice(list(Direction))
    delay = generator.uniform(0.01, _MAX_DELAY_SECONDS)
    factories: list[Callable[[], Fault]] = [
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
    return generator.choice(factories)()


def _stops_control_instance(fault: Fault) -> bool:
    match fault:
        case RestartAll():
            return True
        case KillInstance() | FreezeInstance() | StopInstance():
            return fault.target < CONTROL_INSTANCES
    return False


def _random_disk_loss(generator: random.Random, settings: SoakSettings) -> LoseDisk:
    at = generator.uniform(0.2, 0.7) * settings.seconds
    target = generator.randrange(CONTROL_INSTANCES)
    return LoseDisk(at, target, generator.uniform(0.5, _MAX_FAULT_SECONDS))


def _random_profile_changes(
    generator: random.Random, settings: SoakSettings
) -> list[PutProfile]:
    changes = []
    at = generator.uniform(0, _PROFILE_INTERVAL_SECONDS)
    while at < settings.seconds:
        changes.append(PutProfile(at, generator.randrange(settings.instances)))
        at += generator.uniform(0.2, 2 * _PROFILE_INTERVAL_SECONDS)
    return changes
