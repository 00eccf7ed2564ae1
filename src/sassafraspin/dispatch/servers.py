"""Table of a service's backend servers, indexed for fast selection."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from statistics import median

from sassafraspin.backends import (
    STRICT_SHARE,
    Announcement,
    Backend,
    RateLimit,
    Reservation,
    TypicalOverhead,
)
from sassafraspin.dispatch.messages import SlotRequest
from sassafraspin.dispatch.pacing import ServerPacing
from sassafraspin.dispatch.part_index import PartIndex
from sassafraspin.settings import Address
from sassafraspin.telemetry.events import ServerCold, log_event

__all__ = ["ServerTable"]

_FULL_SCAN_MAX_SERVERS = 16
_SAMPLE_SERVERS = 10
_MAX_PREFIX_HOLDERS = 2
_MAX_PART_HOLDERS = 6
"""Holders of parts that are compared besides the sample."""

_ADOPTION_SECONDS = 0.3
"""Time in which entry instances report the requests in flight to a new dispatcher.
Until then it sends nothing to servers that tolerate few refusals."""

_MAX_TRACKED_PREFIXES = 100_000
_MAX_EJECTED_SHARE = 0.34


class _RandomSet:
    """Set of names with constant-time insertion, removal and random sampling."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def set(self, name: str, member: bool) -> None:
        """Add or remove a name."""
        if member == (name in self._positions):
            return
        if member:
            self._positions[name] = len(self._names)
            self._names.append(name)
            return
        position = self._positions.pop(name)
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def draw(self, count: int, generator: random.Random) -> list[str]:
        """Return ``count`` distinct random names, or all if there are fewer."""
        if count >= len(self._names):
            return list(self._names)
        return generator.sample(self._names, count)


class ServerTable:
    """Backend servers by name, with indexes of those that accept work or have a slot.

    Expiry and ejection depend on time: ``refresh`` updates the indexes, and
    ``candidates`` checks each server again before it is chosen.

    Parameters
    ----------
    generator : random.Random
        Samples the servers to compare when there are many.
    rate_share : float
        Part of the servers' rate limits that this table may use.
    zone_regions : mapping of str to str or None
        Region of each availability zone. Requests that are bound to some regions use
        no server in a zone that is not listed.
    pacing : ServerPacing or None
        Limits the requests in flight at servers that have just started; ``None`` if
        another instance decides.
    cold_share : callable
        Returns the part of the rate of a cold server that this table may use, given its
        name and the rate.
    reuse_seconds : float
        Time within which parts of prompts are expected to be used again.
    """

    def __init__(
        self,
        generator: random.Random,
        rate_share: float = 1.0,
        zone_regions: Mapping[str, str] | None = None,
        pacing: ServerPacing | None = None,
        cold_share: Callable[[str, float], float] = lambda name, rate: STRICT_SHARE,
        reuse_seconds: float = 10.0,
    ) -> None:
        self._generator = generator
        self._rate_share = rate_share
        self._zone_regions = zone_regions or {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._pacing = pacing or ServerPacing(False, 0.0)
        self._cold_share = cold_share
        self._cold_rate = 0.0
        self._tolerance: float | None = None
        self._backends: dict[str, Backend] = {}
        self._by_address: dict[Address, str] = {}
        self._accepting: list[Backend] = []
        self._free = _RandomSet()
        self._unlimited_slots = 0
        self._unlimited_free: dict[str, int] = {}
        self._unlimited_free_slots = 0
        self._limited: list[Backend] = []
        self._best_prefill_rate = 1.0
        self._typical_prefill_rate = 1.0
        self._best_decode_rate = 1.0
        self._least_overhead = 0.0
        self._prefix_holders: OrderedDict[int, str] = OrderedDict()
        self._overhead = TypicalOverhead()
        self._part_index = PartIndex(reuse_seconds)
        self._reuse_seconds = reuse_seconds
        self._cache_tokens = 0

    @property
    def all(self) -> tuple[Backend, ...]:
        """Return every known backend server."""
        return tuple(self._backends.values())

    @property
    def accepting(self) -> tuple[Backend, ...]:
        """Return the servers that accepted work at the last refresh, by name."""
        return tuple(self._accepting)

    def open_slots(self, now: float) -> int:
        """Return the number of slots of servers that accept work, free or busy.

        Of a server with a rate limit, only those free slots count that it allows to use
        now.
        """
        limited = sum(backend.usable_slots(now) for backend in self._limited)
        return self._unlimited_slots + limited

    def free_slots(self, now: float) -> int:
        """Return the number of free slots of servers that accept work.

        This is not the difference between slots and requests in flight: requests also
        run on servers that accept no more, or beyond the pace of a server.
        """
        limited = sum(
            max(0, backend.usable_slots(now) - backend.busy_slots)
            for backend in self._limited
        )
        return self._unlimited_free_slots + limited

    def rate_wait(self, position: int, now: float) -> float:
        """Return the time until the rate limits allow a request, in seconds.

        It is 0 if a server that accepts work has no limit, and no longer than until one
        that is limited only while it is cold is warm.

        Parameters
        ----------
        position : int
            Number of requests that are sent before.
        now : float
            Monotonic time in seconds.
        """
        if len(self._limited) < len(self._accepting):
            return 0.0
        rate = sum(item.request_rate for item in self._limited)
        level = sum(item.request_level(now) for item in self._limited)
        missing = position + 1 - level
        if missing <= 0 or not self._limited:
            return 0.0
        if rate:
            wait = missing / rate
        else:
            # The rates of these cold servers are left to other instances.
            wait = max(item.cold_seconds(now) for item in self._limited)
        ends = (
            item.cold_seconds(now) for item in self._limited if item.rate_limit is None
        )
        return min([wait, *ends])

    @property
    def accepts_work(self) -> bool:
        """Return whether any server accepts work."""
        return bool(self._accepting)

    def accepts_work_in(self, regions: tuple[str, ...] | None) -> bool:
        """Return whether a server in some regions accepts work, ``None`` for all."""
        return any(self._is_in_regions(item, regions) for item in self._accepting)

    def is_out_of_bounds(
        self, backend_id: str, regions: tuple[str, ...] | None
    ) -> bool:
        """Return whether a server's zone is evacuated or not in some regions."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return False
        return backend.is_evacuated or not self._is_in_regions(backend, regions)

    def avoids_all(self, request: SlotRequest) -> bool:
        """Return whether a request may use none of the servers that accept work."""
        if request.regions is None and len(request.avoid) < len(self._accepting):
            return False
        avoided = set(request.avoid)
        return bool(self._accepting) and all(
            item.announcement.id in avoided
            or not self._is_in_regions(item, request.regions)
            for item in self._accepting
        )

    def _is_in_regions(self, backend: Backend, regions: tuple[str, ...] | None) -> bool:
        """Return whether a server is in one of some regions, ``None`` for all."""
        if regions is None:
            return True
        zone = backend.announcement.availability_zone
        return self._zone_regions.get(zone) in regions

    @property
    def has_free_slot(self) -> bool:
        """Return whether a server that accepts work has a free slot."""
        return len(self._free) > 0

    def has_free_slot_in(self, regions: tuple[str, ...] | None) -> bool:
        """Return the same for some regions, ``None`` for all of them."""
        if regions is None:
            return self.has_free_slot
        return any(
            self._is_in_regions(self._backends[name], regions) for name in self._free
        )

    def get(self, backend_id: str) -> Backend | None:
        """Return a backend server by name."""
        return self._backends.get(backend_id)

    def fastest_seconds(self, request: SlotRequest) -> float:
        """Return the time for a request at the best rates of all servers, in seconds.

        It is 0 if no server accepts work.
        """
        if not self._accepting:
            return 0.0
        decode = request.answer_tokens / self._best_decode_rate
        return self.fastest_first_token(request) + decode

    def fastest_first_token(self, request: SlotRequest) -> float:
        """Return the time to first token at the best prefill rate of all servers.

        Parts of the prompt that any server may hold need no time.
        """
        return self._first_token(request, self._best_prefill_rate)

    def typical_first_token(self, request: SlotRequest) -> float:
        """Return the same at the median prefill rate of all servers."""
        return self._first_token(request, self._typical_prefill_rate)

    def _first_token(self, request: SlotRequest, prefill_rate: float) -> float:
        cached = self._part_index.indexed_tokens(request.parts)
        uncached = max(1, request.prompt_tokens - cached)
        return self._least_overhead + uncached / prefill_rate

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement; return whether the server is a new one.

        A server replaces an older one that was announced with the same address. The
        announcement is ignored if a newer server has that address.
        """
        if not self._claim_address(announcement):
            return False
        backend = self._backends.get(announcement.id)
        if backend is not None:
            self._update(backend, announcement, now)
            return False
        self._add(announcement, now)
        self._start_with_tolerance(self._backends[announcement.id], now)
        self._pacing.on_new_server(self._backends[announcement.id], now)
        self.refresh(now)
        return True

    def _start_with_tolerance(self, backend: Backend, now: float) -> None:
        """Expect of a new server what the others of the service say of themselves.

        It may be a new process of one of them that has failed.
        """
        if self._tolerance is not None:
            backend.pace.set_tolerance(self._tolerance, self._rate_share, now)
            self._pacing.restart(backend, now)

    def _update(self, backend: Backend, announcement: Announcement, now: float) -> None:
        """Apply an announcement of a known server."""
        before = backend.announcement
        was_expired, was_cold = backend.is_expired(now), backend.is_cold(now)
        backend.apply_announcement(announcement, now)
        self._index_address(backend)
        self._pacing.on_announcement(backend, before, was_expired, was_cold, now)
        is_same = _has_same_capacity(before, announcement)
        if not is_same or was_expired or was_cold != backend.is_cold(now):
            self.refresh(now)

    def adopt(self, announcements: tuple[Announcement, ...], now: float) -> None:
        """Add all servers that the previous dispatcher knew.

        Of several at one address, the newest is added.
        """
        for announcement in sorted(announcements, key=lambda item: item.incarnation):
            if self._claim_address(announcement):
                self._add_published(announcement, now)
        self.refresh(now)

    def replace(self, announcements: tuple[Announcement, ...], now: float) -> None:
        """Keep exactly the servers that are announced, with what is known of them."""
        names = {announcement.id for announcement in announcements}
        for backend_id in self._backends.keys() - names:
            self._remove(backend_id)
        for announcement in announcements:
            backend = self._backends.get(announcement.id)
            if backend is None:
                self._add_published(announcement, now)
            else:
                backend.apply_announcement(announcement, now)
                self._index_address(backend)
                self._follow_limits(backend, announcement, now)
        self.refresh(now)

    def close_zones(self, zones: frozenset[str], now: float) -> None:
        """Send no new requests to the servers of exactly these availability zones.

        Requests that run there are not affected.
        """
        if zones != self._evacuated_zones:
            self._evacuated_zones = zones
            self.refresh(now)

    def _add(self, announcement: Announcement, now: float) -> None:
        backend = Backend(announcement, now, self._overhead)
        self._backends[announcement.id] = backend
        self._index_address(backend)

    def _add_published(self, announcement: Announcement, now: float) -> None:
        self._add(announcement, now)
        backend = self._backends[announcement.id]
        self._follow_limits(backend, announcement, now)
        if backend.pace.tolerance is not None:
            # Instances without a dispatcher know nothing of each other's requests.
            spread = (1 - self._rate_share) * self._generator.random()
            backend.pace.pause(now + _ADOPTION_SECONDS + spread)

    def _follow_limits(
        self, backend: Backend, announcement: Announcement, now: float
    ) -> None:
        """Apply the pace and the rate limit that a dispatcher has published.

        Only an answer of the server ends a rate limit, or what it says of the refusals
        that it tolerates.
        """
        backend.pace.adopt(announcement.pace or announcement.slots)
        tolerance = announcement.overload_tolerance
        if tolerance is not None and tolerance != backend.pace.tolerance:
            self._tolerance = tolerance
            backend.pace.set_tolerance(tolerance, self._rate_share, now)
        named = announcement.rate_limit
        if named is not None and named != backend.named_rate_limit:
            backend.limit_rate(RateLimit(named, self._rate_share, now))

    def _remove(self, backend_id: str) -> None:
        backend = self._backends.pop(backend_id)
        self._free.set(backend_id, False)
        self._set_unlimited_free(backend_id, 0)
        self._unlimited_free.pop(backend_id, None)
        if self._by_address.get(backend.announcement.address) == backend_id:
            del self._by_address[backend.announcement.address]

    def _index_address(self, backend: Backend) -> None:
        announcement = backend.announcement
        self._by_address[announcement.address] = announcement.id

    def _claim_address(self, announcement: Announcement) -> bool:
        """Remove an older server with the address; return whether none is newer."""
        backend_id = self._by_address.get(announcement.address)
        if backend_id is None or backend_id == announcement.id:
            return True
        backend = self._backends.get(backend_id)
        if backend is None or backend.announcement.address != announcement.address:
            # It has left, or moved to another address.
            return True
        other = backend.announcement
        if other.incarnation > announcement.incarnation:
            return False
        self._remove(backend_id)
        return True

    def refresh(self, now: float) -> None:
        """Remove expired servers and recompute which ones accept work."""
        for backend_id, backend in list(self._backends.items()):
            if backend.is_expired(now) and not backend.busy_slots:
                self._remove(backend_id)
            else:
                self._apply_conditions(backend, now)
        self._accepting = sorted(
            (item for item in self._backends.values() if item.accepts_work(now)),
            key=lambda item: item.announcement.id,
        )
        self._limited = [item for item in self._accepting if item.is_rate_limited]
        self._unlimited_slots = sum(
            item.slot_limit for item in self._accepting if not item.is_rate_limited
        )
        speeds = [item.speed for item in self._accepting]
        self._best_prefill_rate = max((s.prefill_rate for s in speeds), default=1.0)
        rates = [s.prefill_rate for s in speeds]
        self._typical_prefill_rate = median(rates) if rates else 1.0
        self._best_decode_rate = max((s.decode_rate for s in speeds), default=1.0)
        self._least_overhead = min((s.overhead for s in speeds), default=0.0)
        accepting = {item.announcement.id for item in self._accepting}
        for backend_id, backend in self._backends.items():
            self._index_free(backend_id, backend, backend_id in accepting, now)

    def _apply_conditions(self, backend: Backend, now: float) -> None:
        """Update whether a server's zone is evacuated, its pace, and its cold limit."""
        backend.pace.advance(backend.busy_slots, now)
        zone = backend.announcement.availability_zone
        if backend.set_evacuated(zone in self._evacuated_zones):
            self._pacing.restart(backend, now)
        limit = backend.cold_limit
        if not self._cold_rate or not backend.is_cold(now):
            if limit is not None:
                backend.limit_cold_rate(None)
                _log_cold(backend, limit, now)
        elif limit is None or limit.named != self._cold_rate:
            share = self._cold_share(backend.announcement.id, self._cold_rate)
            limit = RateLimit(self._cold_rate, share, now)
            backend.limit_cold_rate(limit)
            _log_cold(backend, limit, now)

    def set_cold_rate(self, rate: float, now: float) -> None:
        """Set the requests a second that a cold server takes, 0 for no limit."""
        if rate != self._cold_rate:
            self._cold_rate = rate
            self.refresh(now)

    def limit_rate(self, backend: Backend, named: float | None, now: float) -> None:
        """Set the rate limit that a server has named, or end it."""
        limit = None if named is None else RateLimit(named, self._rate_share, now)
        backend.limit_rate(limit)
        self.refresh(now)

    def follow_tolerance(
        self, backend: Backend, tolerance: float | None, now: float
    ) -> None:
        """Follow what a server says about the refusals a second that it tolerates."""
        self._tolerance = tolerance
        self._pacing.follow_tolerance(backend, tolerance, self._rate_share, now)
        self.update_free(backend, now)

    def reserve(self, backend: Backend, reservation: Reservation, now: float) -> None:
        """Reserve capacity on a server."""
        backend.reserve(reservation)
        self.update_free(backend, now)

    def release(self, backend_id: str, grant_id: str, now: float) -> None:
        """Release the capacity reserved for a grant."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return
        backend.release(grant_id)
        self.update_free(backend, now)

    def update_free(self, backend: Backend, now: float) -> None:
        """Update the indexes after a change of a server's free slots or of its pace."""
        self._index_free(
            backend.announcement.id, backend, backend.accepts_work(now), now
        )

    def _index_free(
        self, backend_id: str, backend: Backend, accepts_work: bool, now: float
    ) -> None:
        free = backend.slot_limit - backend.busy_slots if accepts_work else 0
        self._free.set(backend_id, free > 0 and backend.allows_request(now))
        is_counted = free > 0 and not backend.is_rate_limited
        self._set_unlimited_free(backend_id, free if is_counted else 0)

    def _set_unlimited_free(self, backend_id: str, free: int) -> None:
        before = self._unlimited_free.get(backend_id, 0)
        if free != before:
            self._unlimited_free[backend_id] = free
            self._unlimited_free_slots += free - before

    def withdraw(self, backend_id: str, now: float) -> bool:
        """Stop sending requests to a server; return whether it is known."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return False
        backend.withdraw()
        self.refresh(now)
        return True

    def record_failure(self, backend: Backend, reporter: str, now: float) -> None:
        """Record a failed request and eject a server that fails too often.

        The share of servers that are ejected at the same time is limited: if all of
        them fail, ejecting most would only overload the remaining ones.
        """
        ejected = sum(item.is_ejected(now) for item in self._backends.values())
        allowed = max(1, int(_MAX_EJECTED_SHARE * len(self._backends)))
        if backend.record_failure(now, ejected < allowed, reporter):
            self._pacing.restart(backend, now)
            self.refresh(now)

    def withdraw_failures(self, reporter: str, now: float) -> None:
        """Forget the failures that an entry instance without a path has reported.

        Servers that were ejected only for them are used again.
        """
        readmitted = [
            item
            for item in self._backends.values()
            if item.withdraw_failures(reporter, now)
        ]
        for backend in readmitted:
            self._pacing.restore(backend)
        if readmitted:
            self.refresh(now)

    def set_cache_tokens(self, tokens: int) -> None:
        """Set the size of each server's prefix cache in tokens, 0 if not known."""
        self._cache_tokens = tokens

    def reused_tokens(self, request: SlotRequest, now: float) -> int:
        """Return the size of a prompt's leading parts that some server got lately."""
        return self._part_index.reused_tokens(request.parts, now)

    def record_prompt(
        self, backend: Backend, request: SlotRequest, grant_id: str, now: float
    ) -> None:
        """Record that a prompt was sent to a server."""
        if request.parts:
            capacity = 0
            if self._cache_tokens:
                # The cache gives way to the requests that run.
                capacity = max(1, self._cache_tokens - backend.reserved_tokens)
            backend.parts.record_sent(
                request.parts, grant_id, now, capacity, self._reuse_seconds
            )
            self._part_index.record_sent(request.parts, backend.announcement.id, now)
        backend.cache.record_sent(request.prefixes)
        for value in request.prefixes:
            self._prefix_holders[value] = backend.announcement.id
            self._prefix_holders.move_to_end(value)
        while len(self._prefix_holders) > _MAX_TRACKED_PREFIXES:
            self._prefix_holders.popitem(last=False)

    def candidates(
        self, request: SlotRequest, version: str, limit: int | None, now: float
    ) -> list[Backend]:
        """Return the servers to choose from: with the version and free capacity.

        Parameters
        ----------
        request : SlotRequest
            The request.
        version : str
            Version that serves the request.
        limit : int or None
            Maximum number of servers with the version that may serve it, counted in
            the order of their names; ``None`` for no limit.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Backend
            All that qualify if there is a limit or there are few servers. Otherwise,
            those that qualify among a random sample and the servers that were last
            sent the same prefixes or parts; if none of these does, all that qualify.
        """
        if limit is not None:
            with_version = [
                item for item in self._accepting if _has_version(item, version)
            ]
            compared = with_version[:limit]
        elif len(self._accepting) <= _FULL_SCAN_MAX_SERVERS:
            compared = self._accepting
        else:
            compared = self._sample_servers(request)
        fitting = self._fitting(compared, request, version, now)
        if fitting or limit is not None or len(compared) == len(self._accepting):
            return fitting
        return self._fitting(self._accepting, request, version, now)

    def _fitting(
        self, servers: list[Backend], request: SlotRequest, version: str, now: float
    ) -> list[Backend]:
        return [
            item
            for item in servers
            if _fits(item, request, version, now)
            and self._is_in_regions(item, request.regions)
        ]

    def _sample_servers(self, request: SlotRequest) -> list[Backend]:
        names = self._free.draw(_SAMPLE_SERVERS, self._generator)
        for value in request.prefixes[::-1]:
            holder = self._prefix_holders.get(value)
            if holder is None or holder in names:
                continue
            names.append(holder)
            if len(names) >= _SAMPLE_SERVERS + _MAX_PREFIX_HOLDERS:
                break
        names += self._free_part_holders(request, names)
        return [self._backends[name] for name in names if name in self._backends]

    def free_held_tokens(self, request: SlotRequest) -> int:
        """Return the size of the leading parts that a server with a free slot holds."""
        return max(
            (
                self._backends[name].parts.leading_tokens(request.parts)
                for name in self._free_part_holders(request, [])
            ),
            default=0,
        )

    def _free_part_holders(
        self, request: SlotRequest, excluded: list[str]
    ) -> list[str]:
        """Return servers with a free slot that hold parts, the longest run first."""
        names: list[str] = []
        for name in self._part_index.holders(request.parts):
            if name in self._free and name not in excluded and name not in names:
                names.append(name)
                if len(names) >= _MAX_PART_HOLDERS:
                    break
        return names


def _fits(backend: Backend, request: SlotRequest, version: str, now: float) -> bool:
    return (
        _has_version(backend, version)
        and backend.has_room(request.tokens)
        and backend.announcement.id not in request.avoid
        and backend.accepts_work(now)
        and backend.allows_request(now)
    )


def _has_version(backend: Backend, version: str) -> bool:
    return version in backend.announcement.versions


def _log_cold(backend: Backend, limit: RateLimit, now: float) -> None:
    if not limit.rate:
        # This instance sends the server nothing; others log what they grant.
        return
    announcement = backend.announcement
    log_event(
        ServerCold(
            announcement.id,
            announcement.incarnation,
            int(backend.cold_seconds(now) * 1000),
            limit.rate,
            limit.counted,
        )
    )


def _has_same_capacity(before: Announcement, after: Announcement) -> bool:
    """Return whether two announcements agree in all fields used by the indexes."""
    return (
        before.incarnation == after.incarnation
        and before.versions == after.versions
        and before.slots == after.slots
        and before.leaving == after.leaving
        and before.availability_zone == after.availability_zone
    )
