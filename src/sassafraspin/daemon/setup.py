"""Objects that every kind of daemon builds from its settings."""

import time

from sassafraspin.http import ClientTimeouts
from sassafraspin.membership import Member, MemberTimings
from sassafraspin.settings import (
    Address,
    ControlSettings,
    DispatchSettings,
    InstanceSettings,
)

__all__ = ["client_timeouts", "member_timings", "local_member"]

_MS_PER_SECOND = 1000


def local_member(
    instance: InstanceSettings, peers: Address, control: Address
) -> Member:
    """Return the member entry of this process.

    Its incarnation is the current wall clock time in microseconds.

    Parameters
    ----------
    instance : InstanceSettings
        Name and location.
    peers : Address
        Address for messages between instances.
    control : Address
        Address for requests of operators and backend servers.
    """
    return Member(
        instance.name,
        time.time_ns() // 1_000,
        instance.region,
        instance.availability_zone,
        peers.host,
        peers.port,
        control.port,
    )


def member_timings(control: ControlSettings) -> MemberTimings:
    """Return the lease time limits of members."""
    return MemberTimings(control.member_lease_ms / _MS_PER_SECOND)


def client_timeouts(dispatch: DispatchSettings) -> ClientTimeouts:
    """Return the time limits of requests to backend servers."""
    return ClientTimeouts(
        dispatch.connect_timeout_ms / _MS_PER_SECOND,
        dispatch.progress_timeout_ms / _MS_PER_SECOND,
    )
