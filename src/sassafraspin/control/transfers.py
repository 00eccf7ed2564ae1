"""Flow control of configuration updates from the control leader to the members."""

from collections import deque
from dataclasses import dataclass, field

from sassafraspin.control.config import Configuration
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

_MIN_PACKED_BYTES = 1_000
"""Size from which an update is compressed; smaller ones fit into a datagram."""

_CACHED_UPDATES = 4

_FIRST_RETRY_SECONDS = 0.4
_MAX_RETRY_SECONDS = 3.2


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
    sent_index : int
        Index that the member reaches once all updates in transit have arrived.
    is_reported : bool
        Whether the member has reported its index.
    accepts_packed : bool
        Whether the member understands compressed updates.
    sent_at : float
        Time at which an update was last sent, in seconds.
    retry_after : float
        Time without progress after which updates count as lost, in seconds.
    in_transit : deque of (int, int)
        Index after each update in transit, and its size in bytes.
    """

    identity: MemberIdentity
    index: int
    sent_index: int
    is_reported: bool = False
    accepts_packed: bool = False
    sent_at: float = float("-inf")
    retry_after: float = _FIRST_RETRY_SECONDS
    in_transit: deque[tuple[int, int]] = field(default_factory=deque)

    @property
    def bytes_in_transit(self) -> int:
        return sum(size for _, size in self.in_transit)

    def acknowledge(self, index: int) -> None:
        """Record the index that the member reports."""
        if index > self.index:
            self.retry_after = _FIRST_RETRY_SECONDS
        # Heartbeats may arrive out of order.
        self.index = max(self.index, index) if self.is_reported else index
        self.is_reported = True
        while self.in_transit and self.in_transit[0][0] <= self.index:
            self.in_transit.popleft()
        if not self.in_transit:
            self.sent_index = self.index

    def expire(self, now: float) -> None:
        """Drop the updates in transit if the member has made no progress."""
        if self.in_transit and now - self.sent_at >= self.retry_after:
            self.in_transit.clear()
            self.sent_index = self.index
            self.retry_after = min(2 * self.retry_after, _MAX_RETRY_SECONDS)


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
        index = heartbeat.config_index
        transfer = self._transfer(identity, index)
        transfer.accepts_packed = heartbeat.accepts_packed
        transfer.acknowledge(index)
        transfer.expire(now)
        if transfer.in_transit:
            return None
        return self._next_update(transfer, now)

    def push_update(
        self, identity: MemberIdentity, index: int, now: float
    ) -> ConfigUpdate | None:
        """Return the update to send without a heartbeat, if the member has room.

        Parameters
        ----------
        identity : MemberIdentity
            The member.
        index : int
            Index to assume for a member that has not sent a heartbeat yet.
        now : float
            Monotonic time in seconds.
        """
        transfer = self._transfer(identity, index)
        if transfer.bytes_in_transit >= _WINDOW_BYTES:
            return None
        return self._next_update(transfer, now)

    def _transfer(self, identity: MemberIdentity, index: int) -> _Transfer:
        transfer = self._transfers.get(identity.name)
        if transfer is None or transfer.identity != identity:
            transfer = _Transfer(identity, index, index)
            self._transfers[identity.name] = transfer
        return transfer

    def _next_update(self, transfer: _Transfer, now: float) -> ConfigUpdate | None:
        plain = self._configuration.update_since(transfer.sent_index)
        if plain is None:
            return None
        update: ConfigUpdate = plain
        if transfer.accepts_packed and plain.size >= _MIN_PACKED_BYTES:
            update = self._pack(plain)
        transfer.sent_index = update.last_index
        transfer.sent_at = now
        transfer.in_transit.append((update.last_index, update.size))
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
