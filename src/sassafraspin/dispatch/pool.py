"""Pool of one service: its backend servers and the requests that wait for a slot.

A single dispatcher decides for each service, so tiers, limits and the exposure to new
versions hold across all instances.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache

import msgspec

from sassafraspin.admission import Limits, WaitingQueue, WaitingRequest
from sassafraspin.backends import STRICT_SHARE, Announcement, Backend, Reservation
from sassafraspin.dispatch.admission import Admission
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.grants import Grant, GrantTable
from sassafraspin.dispatch.held_outcomes import HeldOutcomes, Outcome
from sassafraspin.dispatch.messages import (
    ActiveGrant,
    DispatchMessage,
    FirstTokenNotice,
    HeldGrants,
    RateLimitNotice,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
    SlotWithdraw,
    UnknownGrants,
)
from sassafraspin.dispatch.overload import OverloadControl
from sassafraspin.dispatch.pacing import ServerPacing
from sassafraspin.dispatch.rate_limits import replaces_limit
from sassafraspin.dispatch.reporters import Reporters, ServerVersion
from sassafraspin.dispatch.servers import ServerTable
from sassafraspin.dispatch.slot_order import order_for_slots
from sassafraspin.dispatch.trials import Trials
from sassafraspin.dispatch.versions import ServerCounts, ServerTime, VersionGate
from sassafraspin.isolation import NoSuspects, Suspects
from sassafraspin.routing import (
    BackendChoice,
    again_tokens,
    choose_backend,
    expected_first_token,
    expected_seconds,
    nominal_seconds,
    uncached_tokens,
)
from sassafraspin.settings import DispatchSettings
from sassafraspin.telemetry.events import (
    InstanceCutOff,
    RateLimitChanged,
    log_event,
)

__all__ = ["Pool", "PoolStatus", "SendToEntry"]

_GRANT_EXPIRY_MARGIN_SECONDS = 2.0
_RECONCILE_MIN_AGE_SECONDS = 2.0
_GRANT_SCAN_REQUESTS = 16
_MS_PER_SECOND = 1000

_SILENCE_INTERVAL_SECONDS = 0.2
_SILENT_SECONDS = 0.4
_SILENT_FACTOR = 3.0
"""A request that takes longer than both times counts as unanswered. That alone is no
fault of its instance: it has to be one at several servers that answer others."""

_SPARE_SHARE = 0.25
"""Share of free slots above which instances without answers are not limited."""

_DISCOVERY_SECONDS = 2.0
"""Time that a dispatcher that knows no servers at its start waits for them to announce
themselves."""


@dataclass(frozen=True)
class SendToEntry:
    """Effect that sends a message to an entry instance."""

    entry: str
    message: DispatchMessage


@dataclass(frozen=True)
class PoolStatus:
    """Status of a pool, as shown to operators.

    Of all granted prompts that name parts, ``uncached_tokens`` were expected to be
    prefilled, ``again_tokens`` of them because the server lacked parts that another one
    was sent within the reuse window.
    """

    service: str
    backends: int
    accepting: int
    slots: int
    busy_slots: int
    waiting: int
    uncached_tokens: int = 0
    again_tokens: int = 0


class Pool:
    """Grants slots of a service's backend servers to waiting requests.

    Parameters
    ----------
    service : str
        Name of the service.
    settings : DispatchSettings
        Timeouts and bounds.
    limits : Limits
        Limits of the client accounts.
    gate : VersionGate
        Decides which version serves a request.
    generator : random.Random
        Source of randomness.
    grant_id_prefix : str
        Prefix of grant identifiers; each successive dispatcher has another one.
    now : float
        Monotonic time in seconds.
    known : tuple of Announcement
        Servers known to the previous dispatcher. If empty, the pool waits for a limited
        time for servers to announce themselves.
    budget : RetryBudget or None
        Retry budget of the service, ``None`` for a new one.
    rate_share : float
        Part of the servers' rate limits that the pool may use.
    suspects : Suspects or None
        Knows which requests may have crashed servers, ``None`` if nobody does.
    cold_share : callable
        Returns the part of the rate of a cold server that the pool may use, given its
        name and the rate.
    """

    def __init__(
        self,
        service: str,
        settings: DispatchSettings,
        limits: Limits,
        gate: VersionGate,
        generator: random.Random,
        grant_id_prefix: str,
        now: float,
        known: tuple[Announcement, ...] = (),
        budget: RetryBudget | None = None,
        rate_share: float = 1.0,
        suspects: Suspects | None = None,
        cold_share: Callable[[str, float], float] = lambda name, rate: STRICT_SHARE,
    ) -> None:
        self._service = service
        self._settings = settings
        self._limits = limits
        self._budget = budget or RetryBudget(settings)
        self._gate = gate
        self._grant_id_prefix = grant_id_prefix
        self._pacing = ServerPacing(settings.paces_servers, now)
        self._servers = ServerTable(
            generator,
            rate_share,
            settings.zone_regions,
            self._pacing,
            cold_share,
            settings.reuse_window_ms / _MS_PER_SECOND,
        )
        self._queue = WaitingQueue()
        self._grants = GrantTable()
        self._reporters = Reporters()
        self._held_outcomes = HeldOutcomes()
        self._trials = Trials(suspects or NoSuspects(), self._grants, now)
        self._grant_counter = 0
        self._next_silence_at = now
        self._uncached_tokens = 0
        self._again_tokens = 0
        self._effects: list[SendToEntry] = []
        self._overload = OverloadControl(
            settings,
            self._limits,
            self._queue,
            self._grants,
            self._servers,
            self._send,
            None if known else now + _DISCOVERY_SECONDS,
        )
        self._admission = Admission(
            limits,
            self._budget,
            self._queue,
            self._servers,
            self._overload,
            self._trials,
            settings.lends_slots,
        )
        self._servers.adopt(known, now)

    @property
    def gate(self) -> VersionGate:
        """Return the gate that decides which version serves a request."""
        return self._gate

    @property
    def backends(self) -> tuple[Backend, ...]:
        """Return the known backend servers."""
        return self._servers.all

    def grant(self, grant_id: str) -> Grant | None:
        """Return a grant that is in use, ``None`` if it is not known."""
        return self._grants.get(grant_id)

    def server(self, backend_id: str) -> Backend | None:
        """Return a backend server by name, ``None`` if it is not known."""
        return self._servers.get(backend_id)

    def entry_instances(self) -> frozenset[str]:
        """Return the names of the entry instances that have asked for slots."""
        waiting = (item.entry for item in self._queue)
        granted = (grant.entry for grant in self._grants)
        return frozenset((*waiting, *granted, *self._reporters.names))

    @property
    def cut_off(self) -> frozenset[str]:
        """Return the entry instances that reach no servers, though others do."""
        return self._reporters.cut_off

    def status(self, now: float) -> PoolStatus:
        """Return the status of the pool."""
        return PoolStatus(
            self._service,
            len(self._servers.all),
            len(self._servers.accepting),
            self._servers.open_slots(now),
            len(self._grants),
            len(self._queue),
            self._uncached_tokens,
            self._again_tokens,
        )

    def announce(self, announcement: Announcement, now: float) -> list[SendToEntry]:
        """Apply an announcement received from a backend server; grant free slots."""
        if self._servers.announce(announcement, now):
            self._reserve_adopted(announcement.id, now)
        return self._grant_free_slots(now)

    def replace_servers(
        self, announcements: tuple[Announcement, ...], now: float
    ) -> list[SendToEntry]:
        """Use exactly these servers from now on; grants of others are kept."""
        self._servers.replace(announcements, now)
        for announcement in announcements:
            self._reserve_adopted(announcement.id, now)
        return self._grant_free_slots(now)

    def close_zones(self, zones: frozenset[str], now: float) -> list[SendToEntry]:
        """Send no new requests to the servers of exactly these availability zones."""
        self._servers.close_zones(zones, now)
        return self._grant_free_slots(now)

    def withdraw_server(self, backend_id: str, now: float) -> bool:
        """Stop sending requests to a backend server; return whether it is known.

        This holds until the server restarts.
        """
        return self._servers.withdraw(backend_id, now)

    def request(
        self, entry: str, request: SlotRequest, now: float
    ) -> list[SendToEntry]:
        """Grant a slot, queue the request, or refuse it."""
        granted = self._grants.of_request(request.request_id)
        if granted is not None:
            if self._renew(granted, request, now):
                self._send(entry, granted.message)
                return self._drain_effects()
            self._end_grant(granted.grant_id, now)
        if request.lent:
            return self._lend(entry, request, now)
        effects = []
        if not self.is_waiting(request.request_id):
            self._admission.admit(entry, request, now)
            effects = self._grant_free_slots(now)
        if self.is_waiting(request.request_id):
            waiting = SlotWaiting(request.request_id)
            effects.append(SendToEntry(entry, waiting))
        return effects

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request waits for a slot, here or of another instance."""
        return request_id in self._queue or self._admission.is_unserved(request_id)

    def may_borrow(self, request_id: str) -> bool:
        """Return whether a slot of another instance may be used for a request.

        Only the first requests that wait may, so that tiers are served in order and few
        messages are sent.
        """
        first = self._queue.in_order(_GRANT_SCAN_REQUESTS)
        first += self._admission.first_unserved(_GRANT_SCAN_REQUESTS)
        return any(item.request.request_id == request_id for item in first)

    def borrowed(self, request_id: str, now: float) -> bool:
        """Remove a request for which another instance has granted a slot.

        It stays charged to this pool. Returns whether it was still waiting.
        """
        waiting = self._admission.take_unserved(request_id)
        waiting = waiting or self._queue.serve(request_id)
        if waiting is None:
            return False
        if not waiting.request.tries:
            self._budget.record_first_attempt(now)
        return True

    def _lend(self, entry: str, request: SlotRequest, now: float) -> list[SendToEntry]:
        """Grant a slot that no waiting request can use to another instance, or refuse.

        The other instance has charged the request to the limits and the retry budget.
        """
        effects = self._grant_free_slots(now)
        is_scanned = len(self._queue) < _GRANT_SCAN_REQUESTS
        may_hold_more = not self._holds_its_share(entry, now)
        waiting = self._admission.waiting(entry, request, now)
        if (
            not is_scanned
            or not may_hold_more
            or now > waiting.latest_start
            or not self._servers.has_free_slot
            or not self._try_grant(waiting, now)
        ):
            reason = RefusalReason.OVERLOADED
            self._overload.refuse(entry, request, reason, 0.0, now)
        return effects + self._drain_effects()

    def adopt(self, entry: str, active: ActiveGrant, now: float) -> list[SendToEntry]:
        """Take over a slot that a previous dispatcher granted."""
        if self._grants.get(active.grant.grant_id) is not None:
            return []
        ends_by = now + active.request.deadline_ms / 1000
        grant = Grant(
            entry,
            active.request,
            active.grant,
            now,
            ends_by + _GRANT_EXPIRY_MARGIN_SECONDS,
            self._expected_end(active, ends_by, now),
        )
        self._add_grant(grant)
        if active.request.tries and not active.request.lent:
            self._budget.record_retry(now)
        self._gate.record_start(active.grant.version)
        self._reserve_adopted(active.grant.backend_id, now)
        return []

    def _expected_end(self, active: ActiveGrant, ends_by: float, now: float) -> float:
        """Return when a slot that was taken over is expected to become free.

        A standby that counted on the deadline would refuse requests as too late that
        it can serve in time.
        """
        backend = self._servers.get(active.grant.backend_id)
        if backend is None or not self._settings.lends_slots:
            return ends_by
        return min(ends_by, now + expected_seconds(backend, active.request))

    def withdraw(self, message: SlotWithdraw, now: float) -> list[SendToEntry]:
        """Remove a request from the queue, or release its unused slot."""
        waiting = self._queue.remove(message.request_id)
        waiting = waiting or self._admission.take_unserved(message.request_id)
        if waiting is not None:
            self._limits.withdraw(waiting.request)
        grant = self._grants.of_request(message.request_id)
        if grant is not None:
            self._end_grant(grant.grant_id, now)
            self._forget_parts(grant)
        return self._grant_free_slots(now)

    def release(self, release: SlotRelease, now: float) -> list[SendToEntry]:
        """Release the slot of a request that has ended and record its outcome."""
        self._record_first_token(release, now)
        is_refunded = _is_undelivered(release)
        grant = self._end_grant(release.grant_id, now, is_refunded)
        if grant is None:
            return []
        if not _was_prefilled(release):
            self._forget_parts(grant)
        if release.server_leaves:
            self._withdraw_run(grant, now)
        counts = self._record_report(grant, release, now)
        self._record_version(grant, release, now)
        if counts:
            self._record_outcome(grant, release, now)
        return self._grant_free_slots(now)

    def record_rate_limit(
        self, notice: RateLimitNotice, now: float
    ) -> list[SendToEntry]:
        """Apply the rate limit of a server, as one of its answers has named it."""
        backend = self._servers.get(notice.backend_id)
        if backend is None or backend.announcement.incarnation != notice.incarnation:
            return []
        grant = self._grants.get(notice.grant_id)
        if not replaces_limit(notice, backend.rate_limit, grant):
            return []
        log_event(
            RateLimitChanged(notice.backend_id, notice.incarnation, notice.rate_limit)
        )
        self._servers.limit_rate(backend, notice.rate_limit, now)
        return self._grant_free_slots(now)

    def record_first_token(
        self, notice: FirstTokenNotice, now: float
    ) -> list[SendToEntry]:
        """Adapt the pace of a server to the first token of a request that runs on."""
        grant = self._grants.get(notice.grant_id)
        if grant is None:
            return []
        self._record_answer(grant, now)
        self._adapt_pace(grant, notice.first_token_ms / _MS_PER_SECOND, now)
        return self._grant_free_slots(now)

    def _adapt_pace(self, grant: Grant, first_token: float, now: float) -> None:
        backend = self._servers.get(grant.message.backend_id)
        if backend is not None:
            self._pacing.record_first_token(backend, grant, first_token, now)
            self._servers.update_free(backend, now)

    def set_cold_rate(self, rate: float, now: float) -> None:
        """Set the requests a second that a cold server takes, 0 for no limit."""
        self._servers.set_cold_rate(rate, now)

    def set_cache_tokens(self, tokens: int) -> None:
        """Set the size of each server's prefix cache in tokens, 0 if not known."""
        self._servers.set_cache_tokens(tokens)

    def reconcile(self, entry: str, held: HeldGrants, now: float) -> list[SendToEntry]:
        """End the grants whose release was lost; request those that are unknown."""
        known = frozenset(held.grant_ids)
        unknown = tuple(item for item in held.grant_ids if item not in self._grants)
        if unknown:
            self._send(entry, UnknownGrants(unknown))
        for grant in self._grants:
            is_old = now - grant.granted_at > _RECONCILE_MIN_AGE_SECONDS
            if grant.entry == entry and is_old and grant.grant_id not in known:
                self._end_grant(grant.grant_id, now)
        return self._grant_free_slots(now)

    def drop_entry_instance(self, entry: str, now: float) -> list[SendToEntry]:
        """Remove the requests and grants of an entry instance that has left."""
        for waiting in self._queue:
            if waiting.entry == entry:
                self._queue.remove(waiting.request.request_id)
                self._limits.withdraw(waiting.request)
        for grant in self._grants:
            if grant.entry == entry:
                self._end_grant(grant.grant_id, now)
        self._reporters.forget(entry)
        return self._grant_free_slots(now)

    def tick(self, now: float) -> list[SendToEntry]:
        """Remove expired servers and grants, refuse requests, and grant free slots.

        Requests are refused that can no longer be answered in time, and all of them if
        no backend server is available.
        """
        for grant in self._grants:
            if now >= grant.expires_at:
                self._end_grant(grant.grant_id, now)
        self._record_silence(now)
        self._compare_versions(self._held_outcomes.take_due(now))
        self._servers.refresh(now)
        self._overload.expire_late(now)
        self._admission.expire_unserved(now)
        return self._grant_free_slots(now)

    def _record_silence(self, now: float) -> None:
        """Look for instances that get no answers at all, at intervals.

        Requests that hang do not fail before their time limits.
        """
        self._reporters.expire(now)
        if now < self._next_silence_at or self._reporters.is_alone:
            return
        self._next_silence_at = now + _SILENCE_INTERVAL_SECONDS
        self._reporters.set_server_count(len(self._servers.all))
        for grant in self._grants:
            if now < grant.granted_at + _SILENT_SECONDS:
                continue
            seconds = _SILENT_FACTOR * (grant.expected_end - grant.granted_at)
            is_overdue = now > grant.granted_at + seconds
            if is_overdue and not self._reporters.has_answer_since(
                grant.entry, grant.granted_at
            ):
                self._reporters.record_silence(grant.entry, _server_version(grant), now)

    def record_overdue(self, now: float) -> None:
        """Count the running requests that are slow already during a move.

        The old version's come first: a delay of both versions raises the baseline
        before the new version is compared with it. Those of an instance that has had no
        answer meanwhile may hang on its path.
        """
        move = self._gate.move
        if move is None:
            return
        new_version = move.spec.to_version
        for grant in sorted(
            self._grants, key=lambda item: item.message.version == new_version
        ):
            backend = self._servers.get(grant.message.backend_id)
            if backend is None or not self._has_path(grant):
                continue
            grant.limits_counted = self._gate.record_unfinished(
                grant.message.version,
                grant.request,
                now - grant.granted_at,
                _server_time(backend, grant.request, 0),
                grant.limits_counted,
            )

    def _has_path(self, grant: Grant) -> bool:
        """Return whether an instance has reached a server since it got a slot."""
        return self._reporters.is_alone or self._reporters.has_answer_since(
            grant.entry, grant.granted_at
        )

    def server_counts(self) -> ServerCounts:
        """Count the servers that accept work: all, and those with the new version."""
        accepting = self._servers.accepting
        move = self._gate.move
        if move is None:
            return ServerCounts(len(accepting), 0)
        with_new = [
            item
            for item in accepting
            if move.spec.to_version in item.announcement.versions
        ]
        return ServerCounts(len(accepting), len(with_new))

    def _grant_free_slots(self, now: float) -> list[SendToEntry]:
        """Grant free slots in queue order, then preempt lower tiers.

        A request that no free server can answer in time stays in the queue for a
        faster server, and the requests behind it may take the slot. Requests that wait
        for a region without a free slot are passed over: there may be more of them
        than are tried.
        """
        has_slot_in = cache(self._servers.has_free_slot_in)
        while len(self._queue) > 0 and self._servers.has_free_slot:
            granted = False
            batch = self._queue.in_order(
                _GRANT_SCAN_REQUESTS, lambda request: has_slot_in(request.regions)
            )
            for waiting in order_for_slots(
                batch, self._queue.is_same_rank, self._servers.free_held_tokens, now
            ):
                if now > waiting.latest_start:
                    self._overload.time_out(waiting, now)
                    granted = True
                    break
                elif self._holds_its_share(waiting.entry, now):
                    self._overload.shed(waiting, RefusalReason.OVERLOADED, now)
                    granted = True
                    break
                elif self._try_grant(waiting, now):
                    granted = True
                    break
            if not granted:
                break
        self._grant_to_unserved(now)
        self._overload.preempt_lower_tiers(now)
        return self._drain_effects()

    def _holds_its_share(self, entry: str, now: float) -> bool:
        """Return whether an instance without answers may get no further slot now.

        It may while many are free: it may also be one with a few slow requests.
        """
        if not self._reporters.is_limited(entry):
            return False
        slots = self._servers.open_slots(now)
        if self._servers.free_slots(now) > _SPARE_SHARE * slots:
            return False
        return not self._reporters.may_hold_more(slots)

    def _grant_to_unserved(self, now: float) -> None:
        """Grant slots that became free earlier than expected, and nobody waits for."""
        if not self._servers.has_free_slot:
            return
        for waiting in self._admission.first_unserved(_GRANT_SCAN_REQUESTS):
            if self._holds_its_share(waiting.entry, now):
                continue
            if now <= waiting.latest_start and self._try_grant(waiting, now):
                self._admission.take_unserved(waiting.request.request_id)

    def _renew(self, grant: Grant, request: SlotRequest, now: float) -> bool:
        """Return whether a grant that is asked for again may still be used.

        If its server accepts work, the grant is as good as a new one.
        """
        backend = self._servers.get(grant.message.backend_id)
        if backend is not None and backend.takes_requests(now):
            use_until = self._use_until(request, now, now)
            grant.message = msgspec.structs.replace(grant.message, use_until=use_until)
            return True
        use_within = self._settings.grant_use_within_ms / _MS_PER_SECOND
        return now - grant.granted_at < use_within

    def _use_until(
        self, request: SlotRequest, received_at: float, now: float
    ) -> float | None:
        """Return until when a grant made now may be used, on the clock of the entry.

        The request left the entry instance before it was received here, so the time
        never ends later than ``grant_use_within_ms`` from now.
        """
        if request.asked_at is None:
            return None
        use_within = self._settings.grant_use_within_ms / _MS_PER_SECOND
        return request.asked_at + (now - received_at) + use_within

    def _try_grant(self, waiting: WaitingRequest, now: float) -> bool:
        request = waiting.request
        if not self._trials.may_start(request, now):
            return False
        version = self._gate.choose_version()
        choice = self._choose(waiting, version, now)
        other = self._gate.fallback_version(version)
        if choice is None and other is not None:
            version = other
            choice = self._choose(waiting, version, now)
        if choice is None:
            return False
        if not request.lent:
            if self._queue.is_queued_late(request.request_id):
                self._overload.record_late_start(request.tier)
            self._queue.serve(request.request_id)
        self._grant(waiting, choice, version, now)
        return True

    def _choose(
        self, waiting: WaitingRequest, version: str, now: float
    ) -> BackendChoice | None:
        """Return a server with free capacity that is expected to answer in time."""
        request = waiting.request
        limit = self._gate.server_limit(version, len(self._servers.accepting))
        candidates = [
            backend
            for backend in self._servers.candidates(request, version, limit, now)
            if now + expected_seconds(backend, request) <= waiting.deadline
            and now + expected_first_token(backend, request, now)
            <= waiting.disconnects_at
        ]
        return choose_backend(
            self._trials.choose(candidates, request, now),
            request,
            now,
            now - waiting.queued_at,
            self._servers.reused_tokens(request, now),
        )

    def _grant(
        self, waiting: WaitingRequest, choice: BackendChoice, version: str, now: float
    ) -> None:
        request = waiting.request
        self._grant_counter += 1
        announcement = choice.backend.announcement
        first_token = expected_first_token(choice.backend, request, now)
        message = SlotGrant(
            request.request_id,
            f"{self._grant_id_prefix}-{self._grant_counter}",
            announcement.id,
            announcement.address.host,
            announcement.address.port,
            version,
            self._settings.grant_use_within_ms,
            int(first_token * 1000),
            int((now - waiting.queued_at) * 1000),
            self._use_until(request, waiting.queued_at, now),
            announcement.incarnation,
            choice.backend.named_rate_limit,
            not choice.backend.pace.is_full,
        )
        grant = Grant(
            waiting.entry,
            request,
            message,
            now,
            waiting.deadline + _GRANT_EXPIRY_MARGIN_SECONDS,
            now + choice.expected_seconds,
            expected_first_token=first_token,
            prefill_rate=choice.backend.speed.prefill_rate,
            overhead=choice.backend.speed.overhead,
            uncached_tokens=uncached_tokens(choice.backend, request),
            in_flight=choice.backend.busy_slots + 1,
        )
        prefill = choice.backend.speed.prefill_seconds(grant.uncached_tokens)
        choice.backend.backlog.add(grant.grant_id, prefill, now)
        if not request.tries and not request.lent:
            self._budget.record_first_attempt(now)
        self._add_grant(grant)
        self._trials.record_start(grant, now)
        choice.backend.count_request(now)
        self._reserve(choice.backend, grant, now)
        if request.parts:
            self._count_prefill(grant, now)
        self._servers.record_prompt(choice.backend, request, grant.grant_id, now)
        self._gate.record_start(version)
        self._send(waiting.entry, message)

    def _count_prefill(self, grant: Grant, now: float) -> None:
        """Count the tokens of a prompt that its server is expected to prefill."""
        request = grant.request
        reused = self._servers.reused_tokens(request, now)
        self._uncached_tokens += grant.uncached_tokens
        self._again_tokens += again_tokens(request, grant.uncached_tokens, reused)

    def _reserve_adopted(self, backend_id: str, now: float) -> None:
        """Reserve capacity for adopted grants once their backend server is known."""
        backend = self._servers.get(backend_id)
        if backend is None:
            return
        reserved = {item.grant_id for item in backend.reservations}
        for grant in self._grants:
            is_here = grant.message.backend_id == backend_id
            if is_here and grant.grant_id not in reserved:
                self._reserve(backend, grant, now)
                if grant.message.incarnation == backend.announcement.incarnation:
                    self._servers.record_prompt(
                        backend, grant.request, grant.grant_id, now
                    )

    def _reserve(self, backend: Backend, grant: Grant, now: float) -> None:
        request = grant.request
        gap = request.gap_ms / _MS_PER_SECOND
        reservation = Reservation(grant.grant_id, request.tokens, gap)
        self._servers.reserve(backend, reservation, now)

    def _add_grant(self, grant: Grant) -> None:
        self._grants.add(grant)
        self._reporters.record_grant(grant.entry)

    def _end_grant(
        self, grant_id: str, now: float, is_refunded: bool = False
    ) -> Grant | None:
        grant = self._grants.remove(grant_id)
        if grant is None:
            return None
        self._reporters.record_end(grant.entry)
        if not grant.request.lent:
            self._finish_charges(grant.request, is_refunded)
        self._gate.record_end(grant.message.version)
        backend = self._servers.get(grant.message.backend_id)
        if backend is not None:
            backend.backlog.cancel(grant_id, now)
        self._servers.release(grant.message.backend_id, grant_id, now)
        return grant

    def _finish_charges(self, request: SlotRequest, is_refunded: bool) -> None:
        """End what a request is charged, and take it back if it reached no server."""
        if is_refunded:
            self._limits.withdraw(request)
            self._budget.refund(is_retry=request.tries > 0)
        else:
            self._limits.finish(request)

    def _forget_parts(self, grant: Grant) -> None:
        """Forget the parts that a server holds only if it has run the request."""
        backend = self._servers.get(grant.message.backend_id)
        if backend is not None:
            backend.parts.forget_grant(grant.grant_id, grant.request.parts)

    def _withdraw_run(self, grant: Grant, now: float) -> None:
        """Stop sending requests to a server that has said that it leaves."""
        backend = self._servers.get(grant.message.backend_id)
        if backend is None:
            return
        if backend.announcement.incarnation == grant.message.incarnation:
            self._servers.withdraw(grant.message.backend_id, now)

    def _record_report(self, grant: Grant, release: SlotRelease, now: float) -> bool:
        """Record whether an instance reached a server.

        Returns whether the outcome says something about the server.
        """
        entry, source = grant.entry, _server_version(grant)
        if release.path_failed:
            if self._reporters.record_path_failure(entry, now):
                self._withdraw_reports(entry, True, now)
            return False
        match release.result:
            case ReleaseResult.ANSWERED:
                self._record_answer(grant, now)
            case ReleaseResult.FAILED if release.server_failed_it:
                self._record_contact(entry, now)
            case ReleaseResult.NOT_SENT if release.turned_away:
                self._record_contact(entry, now)
            case ReleaseResult.FAILED | ReleaseResult.NOT_SENT:
                return self._reporters.record_failure(entry, source, now)
            case ReleaseResult.CANCELLED if release.answer_tokens:
                self._record_contact(entry, now)
        return True

    def _record_contact(self, entry: str, now: float) -> None:
        """Record that an instance has a path, so that its other reports count."""
        self._reporters.record_contact(entry, now)
        self._compare_versions(self._held_outcomes.take(entry))

    def _record_answer(self, grant: Grant, now: float) -> None:
        """Record an answer, which shows that other instances are cut off."""
        source = _server_version(grant)
        for entry in self._reporters.record_answer(grant.entry, source, now):
            self._withdraw_reports(entry, False, now)
        self._compare_versions(self._held_outcomes.take(grant.entry))

    def _withdraw_reports(self, entry: str, is_reported: bool, now: float) -> None:
        """Forget what an instance without a path has reported about servers."""
        log_event(InstanceCutOff(self._service, entry, is_reported))
        self._servers.withdraw_failures(entry, now)
        self._held_outcomes.take(entry)

    def _record_outcome(self, grant: Grant, release: SlotRelease, now: float) -> None:
        backend = self._servers.get(grant.message.backend_id)
        if backend is None:
            return
        is_same_run = backend.announcement.incarnation == grant.message.incarnation
        if is_same_run:
            self._follow_tolerance(backend, grant, release, now)
        match release.result:
            case ReleaseResult.NOT_SENT if release.lacked_room and self._is_probed(
                backend, now
            ):
                if is_same_run:
                    self._pacing.record_refusal(backend, grant, now)
                    self._servers.update_free(backend, now)
            case ReleaseResult.ANSWERED:
                backend.record_success()
                backend.speed.observe_decode(
                    release.answer_tokens,
                    (release.total_ms - release.first_token_ms) / 1000,
                )
            case ReleaseResult.FAILED | ReleaseResult.NOT_SENT:
                self._pacing.record_failure(backend, grant, now)
                self._servers.record_failure(backend, grant.entry, now)
            case ReleaseResult.CANCELLED:
                pass

    def _record_version(self, grant: Grant, release: SlotRelease, now: float) -> None:
        """Compare the versions, unless the path of the instance may have failed."""
        entry = grant.entry
        if self._gate.move is None or self._reporters.is_cut_off(entry):
            return
        backend = self._servers.get(grant.message.backend_id)
        server = None
        if backend is not None:
            server = _server_time(backend, grant.request, release.answer_tokens)
        outcome = Outcome(
            grant.message.version, grant.request, release, server, grant.limits_counted
        )
        if outcome.may_be_due_to_path and not self._reporters.is_alone:
            self._held_outcomes.hold(entry, outcome, now)
        else:
            self._compare_versions([outcome])

    def _compare_versions(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            self._gate.record_outcome(
                outcome.version,
                outcome.request,
                outcome.release,
                outcome.server,
                outcome.limits_counted,
            )

    def _follow_tolerance(
        self, backend: Backend, grant: Grant, release: SlotRelease, now: float
    ) -> None:
        """Follow what a server says about the refusals that it tolerates.

        Answers to requests from before the last change do not count, nor does a
        missing statement in what may be no answer of the server.
        """
        named, known = release.overload_tolerance, backend.pace.tolerance
        if named == known or grant.granted_at < backend.pace.tolerance_set_at:
            return
        is_answered = release.result is ReleaseResult.ANSWERED and grant.in_flight > 0
        if named is not None or is_answered:
            self._servers.follow_tolerance(backend, named, now)

    def _is_probed(self, backend: Backend, now: float) -> bool:
        """Return whether refusals tell how many requests a server takes at a time."""
        return backend.pace.tolerance is not None and not backend.is_cold(now)

    def _record_first_token(self, release: SlotRelease, now: float) -> None:
        """Correct the estimates for a server by the first token of a request."""
        grant = self._grants.get(release.grant_id)
        if grant is None or release.result is not ReleaseResult.ANSWERED:
            return
        backend = self._servers.get(grant.message.backend_id)
        if backend is None:
            return
        seconds = release.first_token_ms / _MS_PER_SECOND
        self._adapt_pace(grant, seconds, now)
        backend.backlog.finish(grant.grant_id, min(now, grant.granted_at + seconds))
        if not grant.request.first_token_within_ms:
            # The time of a whole answer says nothing about that of a first token.
            return
        backend.speed.observe_first_token(
            grant.uncached_tokens,
            grant.expected_first_token,
            seconds,
            grant.prefill_rate,
            grant.overhead,
            grant.request.first_token_within_ms > 0,
        )

    def _send(self, entry: str, message: DispatchMessage) -> None:
        self._effects.append(SendToEntry(entry, message))

    def _drain_effects(self) -> list[SendToEntry]:
        effects, self._effects = self._effects, []
        return effects


def _was_prefilled(release: SlotRelease) -> bool:
    """Return whether the server has read the whole prompt, as its answer has begun."""
    match release.result:
        case ReleaseResult.ANSWERED:
            return True
        case ReleaseResult.CANCELLED:
            return release.answer_tokens > 0
        case ReleaseResult.FAILED | ReleaseResult.NOT_SENT:
            return False


def _is_undelivered(release: SlotRelease) -> bool:
    """Return whether a request certainly never left its entry instance.

    Without a path it was not sent; otherwise the server may have turned it away.
    """
    return release.path_failed and release.result is ReleaseResult.NOT_SENT


def _server_version(grant: Grant) -> ServerVersion:
    message = grant.message
    return ServerVersion(message.backend_id, message.incarnation, message.version)


def _server_time(
    backend: Backend, request: SlotRequest, answer_tokens: int
) -> ServerTime:
    nominal = nominal_seconds(backend, request, answer_tokens)
    return ServerTime(backend.announcement.hardware, nominal)
