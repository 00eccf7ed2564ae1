"""Flow control of configuration updates from the control leader to the members."""

from collections import deque
from dataclasses import dataclass, field

from sassafraspin.control.config import Configuration
from sassafraspin.control.transit import LARGE_BYTES, transit_timeout
from sassafraspin.membership import (
    ConfigImage,
    ConfigTail,
    ConfigUpdate,
    MemberHeartbeat,
    MemberIdentity,
    PackedUpdate,
    pack_update,
)

__all__ = ["ConfigTransfers"]

_WINDOW_BYTES = 128 * 1024
"""Bytes in transit to one member above which it is sent no newer update."""

_CACHED_UPDATES = 4

_REPORTING_SECONDS = 2.0
"""Time without a heartbeat after which an incarnation may have ended."""

_SMALL_RETRY_SECONDS = 0.15
_LARGE_RETRY_SECONDS = 0.4
_MAX_BACKOFF = 8


@dataclass(frozen=True)
class _Transit:
    """An update on its way: where it begins and ends, its size, and when it was sent.

    ``first_index`` is 0 for a snapshot, which applies at any index.
    """

    first_index: int
    last_index: int
    size: int
    sent_at: float

    def is_overdue(self, backoff: int, now: float) -> bool:
        retry_after = transit_timeout(
            self.size, _SMALL_RETRY_SECONDS, backoff * _LARGE_RETRY_SECONDS
        )
        return now - self.sent_at >= retry_after


@dataclass
class _Transfer:
    """Updates in transit to one member.

    Parameters
    ----------
    identity : MemberIdentity
        The member.
    index : int
        Index of the member's configuration: the last one reported, or an assumption
        until the first report.
    is_reported : bool
        Whether the member has reported its index.
    accepts_packed : bool
        Whether the member understands compressed updates.
    backoff : int
        Factor of the retry time of large updates; doubles while there is no progress.
    in_transit : deque of _Transit
        Updates in transit, oldest first.
    reported_at : float
        Monotonic time of the last heartbeat, in seconds.
    """

    identity: MemberIdentity
    index: int
    is_reported: bool = False
    accepts_packed: bool = False
    backoff: int = 1
    in_transit: deque[_Transit] = field(default_factory=deque)
    reported_at: float = float("-inf")

    @property
    def sent_index(self) -> int:
        """Return the index that the member reaches with what is in transit."""
        return self.in_transit[-1].last_index if self.in_transit else self.index

    @property
    def bytes_in_transit(self) -> int:
        return sum(transit.size for transit in self.in_transit)

    def acknowledge(self, index: int) -> None:
        """Record the index that the member reports."""
        if index > self.index:
            self.backoff = 1
        # Heartbeats may arrive out of order.
        self.index = max(self.index, index) if self.is_reported else index
        self.is_reported = True
        while self.in_transit and self.in_transit[0].last_index <= self.index:
            self.in_transit.popleft()

    def expire(self, now: float) -> None:
        """Drop the updates in transit if the oldest one is lost or leaves a gap."""
        if not self.in_transit:
            return
        oldest = self.in_transit[0]
        if oldest.first_index > self.index + 1:
            self.in_transit.clear()
        elif oldest.is_overdue(self.backoff, now):
            self.in_transit.clear()
            self.backoff = min(2 * self.backoff, _MAX_BACKOFF)


class ConfigTransfers:
    """Decides which updates the leader sends to each member.

    A member reports the index of its configuration with each heartbeat. It is sent
    nothing again that is still in transit, so a member that reads slowly does not
    multiply the bytes queued for it.

    Parameters
    ----------
    configuration : Configuration
        Source of the updates.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._transfers: dict[str, _Transfer] = {}
        self._packed: dict[int, tuple[ConfigTail | ConfigImage, PackedUpdate]] = {}

    def reply_update(
        self, identity: MemberIdentity, heartbeat: MemberHeartbeat, now: float
    ) -> ConfigUpdate | None:
        """Return the update to send in reply to a heartbeat, if one is due.

        Parameters
        ----------
        identity : MemberIdentity
            The member.
        heartbeat : MemberHeartbeat
            The heartbeat, with the index of the member's configuration.
        now : float
            Monotonic time in seconds.
        """
        transfer = self._transfer(identity, heartbeat.config_index, now)
        if transfer is None:
            return None
        transfer.reported_at = now
        transfer.accepts_packed = heartbeat.accepts_packed
        transfer.acknowledge(heartbeat.config_index)
        transfer.expire(now)
        if transfer.in_transit:
            return None
        return self._next_update(transfer, now)

    def push_update(
        self, identity: MemberIdentity, index: int, now: float
    ) -> ConfigUpdate | None:
        """Return the update to send without a heartbeat, if the member has room.

        A member that has not sent a heartbeat to this leader gets small updates only,
        because it is not known whether it understands compressed ones.

        Parameters
        ----------
        identity : MemberIdentity
            The member.
        index : int
            Index to assume for a member that has not sent a heartbeat yet.
        now : float
            Monotonic time in seconds.
        """
        transfer = self._transfer(identity, index, now)
        if transfer is None or transfer.bytes_in_transit >= _WINDOW_BYTES:
            return None
        return self._next_update(transfer, now)

    def _transfer(
        self, identity: MemberIdentity, index: int, now: float
    ) -> _Transfer | None:
        """Return the transfer of a member, ``None`` if it has restarted since.

        An instance whose clock was set back restarts with a lower incarnation, so that
        a higher one counts only while it reports.
        """
        transfer = self._transfers.get(identity.name)
        if transfer is not None:
            if transfer.identity == identity:
                return transfer
            is_reporting = now - transfer.reported_at < _REPORTING_SECONDS
            if transfer.identity.incarnation > identity.incarnation and is_reporting:
                return None
        transfer = _Transfer(identity, index)
        self._transfers[identity.name] = transfer
        return transfer

    def _next_update(self, transfer: _Transfer, now: float) -> ConfigUpdate | None:
        plain = self._configuration.update_since(transfer.sent_index)
        if plain is None:
            return None
        update: ConfigUpdate = plain
        if plain.size >= LARGE_BYTES:
            if not transfer.is_reported:
                return None
            if transfer.accepts_packed:
                update = self._pack(plain)
        first_index = plain.first_index if isinstance(plain, ConfigTail) else 0
        transit = _Transit(first_index, plain.last_index, update.size, now)
        transfer.in_transit.append(transit)
        return update

    def _pack(self, update: ConfigTail | ConfigImage) -> PackedUpdate:
        """Compress an update; the results are cached, as most members lack the same."""
        key = id(update)
        cached = self._packed.get(key)
        if cached is None or cached[0] is not update:
            if len(self._packed) >= _CACHED_UPDATES:
                self._packed.clear()
            cached = update, pack_update(update)
            self._packed[key] = cached
        return cached[1]
