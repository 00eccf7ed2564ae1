"""Aggregate of one service's backend servers and of the requests that wait for them.

The dispatcher of a service decides in one place, so tiers, limits and exposure to
new versions hold for all instances together.
"""

import random
from dataclasses import dataclass

from sassafraspin.admission import (
    AccountLimits,
    LimitExceeded,
    WaitingQueue,
    WaitingRequest,
)
from sassafraspin.backends import Announcement, Backend, Reservation
from sassafraspin.dispatch.messages import (
    ActiveGrant,
    DispatchMessage,
    HeldGrants,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWithdraw,
)
from sassafraspin.dispatch.versions import ServerCounts, ServerTime, VersionGate
from sassafraspin.routing import (
    BackendChoice,
    choose_backend,
    expected_seconds,
    nominal_seconds,
)
from sassafraspin.settings import ClientAccountSettings, DispatchSettings

__all__ = ["Pool", "PoolStatus", "SendToEntry"]

_MIN_RETRY_MS = 200
_MAX_RETRY_MS = 30_000
_GRANT_SLACK_SECONDS = 2.0
_LATE_SCAN_SECONDS = 0.05
_RECONCILE_AFTER_SECONDS = 2.0
_ROOM_SCAN_REQUESTS = 64
_GRANT_SCAN_REQUESTS = 16
_NO_BACKEND_RETRY = 1.0

_WARM_UP_SECONDS = 2.0
"""Time in which a new dispatcher waits for backend servers to announce themselves."""


@dataclass(frozen=True)
class SendToEntry:
    """Effect: send a message to an entry instance."""

    entry: str
    message: DispatchMessage


@dataclass(frozen=True)
class PoolStatus:
    """Figures of a pool for operators."""

    service: str
    backends: int
    accepting: int
    slots: int
    busy_slots: int
    waiting: int


@dataclass
class _Grant:
    entry: str
    request: SlotRequest
    message: SlotGrant
    granted_at: float
    lapses_at: float
    revoked: bool = False

    @property
    def is_cancellable(self) -> bool:
        """Return whether the request may be cancelled and is not yet."""
        return self.request.cancellable and not self.revoked


class Pool:
    """Grants slots of a service's backend servers to waiting requests.

    Parameters
    ----------
    service : str
        Name of the service.
    settings : DispatchSettings
        Timeouts and bounds.
    accounts : tuple of ClientAccountSettings
        Limits of the client accounts.
    gate : VersionGate
        Decides which version a request is shown.
    generator : random.Random
        Source of random choices.
    term : str
        Prefix of grant identities; differs between dispatchers over time.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        service: str,
        settings: DispatchSettings,
        accounts: tuple[ClientAccountSettings, ...],
        gate: VersionGate,
        generator: random.Random,
        term: str,
        now: float,
    ) -> None:
        self._warm_at = now + _WARM_UP_SECONDS
        self._service = service
        self._settings = settings
        self._limits = AccountLimits(accounts)
        self._gate = gate
        self._generator = generator
        self._term = term
        self._backends: dict[str, Backend] = {}
        self._queue = WaitingQueue()
        self._grants: dict[str, _Grant] = {}
        self._grant_of_request: dict[str, str] = {}
        self._grant_counter = 0
        self._expected_end_sum = 0.0
        self._next_late_scan = 0.0
        self._effects: list[SendToEntry] = []

    @property
    def gate(self) -> VersionGate:
        """Return the gate that decides which version a request is shown."""
        return self._gate

    @property
    def backends(self) -> tuple[Backend, ...]:
        """Return the known backend servers."""
        return tuple(self._backends.values())

    def entries(self) -> frozenset[str]:
        """Return the entry instances with waiting or granted requests."""
        waiting = (item.entry for item in self._queue)
        granted = (grant.entry for grant in self._grants.values())
        return frozenset((*waiting, *granted))

    def status(self, now: float) -> PoolStatus:
        """Return figures for operators."""
        accepting = [item for item in self.backends if item.accepts_work(now)]
        return PoolStatus(
            self._service,
            len(self._backends),
            len(accepting),
            sum(item.announcement.slots for item in accepting),
            len(self._grants),
            len(self._queue),
        )

    def announce(self, announcement: Announcement, now: float) -> list[SendToEntry]:
        """Take in an announcement of a backend server."""
        backend = self._backends.get(announcement.id)
        if backend is None:
            self._backends[announcement.id] = Backend(announcement, now)
            self._reserve_adopted(announcement.id, now)
        else:
            backend.take_announcement(announcement, now)
        return self._pump(now)

    def request(
        self, entry: str, request: SlotRequest, now: float
    ) -> list[SendToEntry]:
        """Grant a slot, let the request wait, or refuse it."""
        granted = self._grant_of_request.get(request.request_id)
        if granted is not None:
            self._send(entry, self._grants[granted].message)
            return self._take_effects()
        if request.request_id in self._queue:
            return []
        self._admit(entry, request, now)
        return self._pump(now)

    def adopt(self, entry: str, active: ActiveGrant, now: float) -> list[SendToEntry]:
        """Take over a slot that an older dispatcher granted."""
        grant_id = active.grant.grant_id
        if grant_id in self._grants:
            return []
        lapses_at = now + active.request.deadline_ms / 1000 + _GRANT_SLACK_SECONDS
        self._grants[grant_id] = _Grant(
            entry, active.request, active.grant, now, lapses_at
        )
        self._grant_of_request[active.request.request_id] = grant_id
        self._gate.note_start(active.grant.version)
        self._reserve_adopted(active.grant.backend_id, now)
        return []

    def withdraw(self, message: SlotWithdraw, now: float) -> list[SendToEntry]:
        """Forget a request that no longer waits, or give back its unused slot."""
        waiting = self._queue.remove(message.request_id)
        if waiting is not None:
            self._give_back_limits(waiting.request)
        grant_id = self._grant_of_request.get(message.request_id)
        if grant_id is not None:
            self._end_grant(grant_id)
        return self._pump(now)

    def release(self, release: SlotRelease, now: float) -> list[SendToEntry]:
        """Give back the slot of a request that has ended, and learn from it."""
        grant = self._end_grant(release.grant_id)
        if grant is None:
            return []
        self._learn(grant, release, now)
        return self._pump(now)

    def reconcile(self, entry: str, held: HeldGrants, now: float) -> list[SendToEntry]:
        """End the grants whose release was lost on the way."""
        known = frozenset(held.grant_ids)
        for grant_id, grant in list(self._grants.items()):
            is_old = now - grant.granted_at > _RECONCILE_AFTER_SECONDS
            if grant.entry == entry and is_old and grant_id not in known:
                self._end_grant(grant_id)
        return self._pump(now)

    def drop_entry(self, entry: str, now: float) -> list[SendToEntry]:
        """Forget what an entry instance that has left was waiting for."""
        for waiting in self._queue:
            if waiting.entry == entry:
                self._queue.remove(waiting.request.request_id)
                self._give_back_limits(waiting.request)
        for grant_id, grant in list(self._grants.items()):
            if grant.entry == entry:
                self._end_grant(grant_id)
        return self._pump(now)

    def tick(self, now: float) -> list[SendToEntry]:
        """Let time pass: expire backend servers, grants and late requests."""
        for grant_id, grant in list(self._grants.items()):
            if now >= grant.lapses_at:
                self._end_grant(grant_id)
        for backend_id, backend in list(self._backends.items()):
            if backend.is_expired(now) and not backend.busy_slots:
                del self._backends[backend_id]
        self._refuse_late(now)
        return self._pump(now)

    def server_counts(self, now: float) -> ServerCounts:
        """Return how many servers accept work, in all and with the new version."""
        accepting = [item for item in self.backends if item.accepts_work(now)]
        move = self._gate.move
        if move is None:
            return ServerCounts(len(accepting), 0)
        with_new = [
            item
            for item in accepting
            if move.spec.to_version in item.announcement.versions
        ]
        return ServerCounts(len(accepting), len(with_new))

    # Admission

    def _admit(self, entry: str, request: SlotRequest, now: float) -> None:
        if not self._accepts_work(now) and now >= self._warm_at:
            self._refuse(entry, request, RefusalReason.NO_BACKEND, _NO_BACKEND_RETRY)
            return
        tokens = request.prompt_tokens + request.answer_tokens
        decision = self._limits.admit(request.client_account, tokens, now)
        if isinstance(decision, LimitExceeded):
            reason = RefusalReason.ACCOUNT_LIMIT
            self._refuse(entry, request, reason, decision.retry_after)
            return
        seconds = self._typical_seconds(request, now)
        deadline = now + request.deadline_ms / 1000
        waiting = WaitingRequest(entry, request, seconds, deadline)
        wait = self._expected_wait(request.tier, now)
        is_late = now + wait > waiting.latest_start
        if is_late and (now > waiting.latest_start or not self._victim(request.tier)):
            self._give_back_limits(request)
            late_by = now + wait - waiting.latest_start
            self._refuse(entry, request, RefusalReason.TOO_LATE, late_by)
            return
        self._queue.add(waiting)
        self._bound_queue(now)

    def _typical_seconds(self, request: SlotRequest, now: float) -> float:
        """Return the expected time at the fastest server that accepts work."""
        times = (
            backend.speed.seconds(request.prompt_tokens, request.answer_tokens)
            for backend in self.backends
            if backend.accepts_work(now)
        )
        return min(times, default=0.0)

    def _accepts_work(self, now: float) -> bool:
        return any(backend.accepts_work(now) for backend in self.backends)

    def _expected_wait(self, tier: int, now: float) -> float:
        """Return how long a new request of a tier would wait for a slot."""
        slots = self._open_slots(now)
        if slots == 0 and now < self._warm_at:
            return 0.0
        free = slots - len(self._grants)
        if free > len(self._queue):
            return 0.0
        running = max(0.0, self._expected_end_sum - now * len(self._grants))
        return (self._queue.seconds_ahead(tier) + running) / max(slots, 1)

    def _open_slots(self, now: float) -> int:
        return sum(
            backend.announcement.slots
            for backend in self.backends
            if backend.accepts_work(now)
        )

    def _bound_queue(self, now: float) -> None:
        """Shed the last requests of the lowest tiers when too many wait.

        While running work of a still lower tier can be cancelled instead, that is
        done; a slot that is being made free lets one more request wait.
        """
        while len(self._queue) > self._settings.waiting_requests + self._revoked():
            last = self._queue.last_of_lowest_tier()
            assert last is not None
            victim = self._victim(last.request.tier)
            if victim is None:
                self._shed(last, RefusalReason.OVERLOADED, now)
            else:
                self._revoke(victim)

    def _revoked(self) -> int:
        return sum(grant.revoked for grant in self._grants.values())

    def _refuse_late(self, now: float) -> None:
        """Refuse waiting requests that can no longer be answered in time."""
        if now < self._next_late_scan:
            return
        self._next_late_scan = now + _LATE_SCAN_SECONDS
        is_served = self._accepts_work(now) or now < self._warm_at
        for waiting in self._queue:
            if not is_served:
                self._shed(waiting, RefusalReason.NO_BACKEND, now)
            elif now > waiting.latest_start:
                self._shed(waiting, RefusalReason.TOO_LATE, now)

    def _shed(self, waiting: WaitingRequest, reason: RefusalReason, now: float) -> None:
        request = waiting.request
        self._queue.remove(request.request_id)
        self._give_back_limits(request)
        wait = self._expected_wait(request.tier, now)
        self._refuse(waiting.entry, request, reason, wait)

    def _refuse(
        self, entry: str, request: SlotRequest, reason: RefusalReason, retry: float
    ) -> None:
        retry_ms = min(max(int(retry * 1000), _MIN_RETRY_MS), _MAX_RETRY_MS)
        self._send(entry, SlotRefusal(request.request_id, reason, retry_ms))

    def _give_back_limits(self, request: SlotRequest) -> None:
        tokens = request.prompt_tokens + request.answer_tokens
        self._limits.finish(request.client_account, tokens)

    # Granting

    def _pump(self, now: float) -> list[SendToEntry]:
        """Grant slots in the order of the queue.

        A request that no server with room can answer in time leaves the room to
        the next ones and goes on waiting for a faster server.
        """
        while self._has_free_slot(now):
            granted = False
            for waiting in self._queue.in_order(_GRANT_SCAN_REQUESTS):
                if now > waiting.latest_start:
                    self._shed(waiting, RefusalReason.TOO_LATE, now)
                    granted = True
                elif self._try_grant(waiting, now):
                    granted = True
                    break
            if not granted:
                break
        self._make_room(now)
        return self._take_effects()

    def _has_free_slot(self, now: float) -> bool:
        return len(self._queue) > 0 and any(
            backend.busy_slots < backend.announcement.slots
            and backend.accepts_work(now)
            for backend in self._backends.values()
        )

    def _try_grant(self, waiting: WaitingRequest, now: float) -> bool:
        request = waiting.request
        version = self._gate.choose_version()
        choice = self._choose(waiting, version, now)
        other = self._gate.other_version(version)
        if choice is None and other is not None:
            version = other
            choice = self._choose(waiting, version, now)
        if choice is None:
            return False
        self._queue.serve(request.request_id)
        self._grant(waiting, choice, version, now)
        return True

    def _choose(
        self, waiting: WaitingRequest, version: str, now: float
    ) -> BackendChoice | None:
        """Return a server that has room and is expected to answer in time."""
        request = waiting.request
        tokens = request.prompt_tokens + request.answer_tokens
        candidates = [
            backend
            for backend in self._candidates(request, version, tokens, now)
            if now + expected_seconds(backend, request) <= waiting.deadline
        ]
        return choose_backend(candidates, request, self._generator)

    def _grant(
        self, waiting: WaitingRequest, choice: BackendChoice, version: str, now: float
    ) -> None:
        request = waiting.request
        self._grant_counter += 1
        announcement = choice.backend.announcement
        message = SlotGrant(
            request.request_id,
            f"{self._term}-{self._grant_counter}",
            announcement.id,
            announcement.address.host,
            announcement.address.port,
            version,
            self._settings.grant_use_within_ms,
        )
        lapses_at = waiting.deadline + _GRANT_SLACK_SECONDS
        grant = _Grant(waiting.entry, request, message, now, lapses_at)
        self._reserve(choice.backend, grant, now + choice.expected_seconds)
        choice.backend.cache.note_sent(request.prefixes)
        self._grants[message.grant_id] = grant
        self._grant_of_request[request.request_id] = message.grant_id
        self._gate.note_start(version)
        self._send(waiting.entry, message)

    def _candidates(
        self, request: SlotRequest, version: str, tokens: int, now: float
    ) -> list[Backend]:
        able = [
            backend
            for backend in self._backends.values()
            if version in backend.announcement.versions
            and backend.accepts_work(now)
            and backend.announcement.id not in request.avoid
        ]
        limit = self._gate.server_limit(version, len(self._backends))
        if limit is not None:
            able = sorted(able, key=lambda item: item.announcement.id)[:limit]
        return [backend for backend in able if backend.has_room(tokens)]

    def _reserve_adopted(self, backend_id: str, now: float) -> None:
        """Take room for adopted grants once their backend server is known."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return
        reserved = {item.grant_id for item in backend.reservations}
        for grant_id, grant in self._grants.items():
            if grant.message.backend_id == backend_id and grant_id not in reserved:
                seconds = expected_seconds(backend, grant.request)
                self._reserve(backend, grant, now + seconds)

    def _reserve(self, backend: Backend, grant: _Grant, expected_end: float) -> None:
        request = grant.request
        tokens = request.prompt_tokens + request.answer_tokens
        backend.reserve(
            Reservation(grant.message.grant_id, request.tier, tokens, expected_end)
        )
        self._expected_end_sum += expected_end

    def _end_grant(self, grant_id: str) -> _Grant | None:
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._grant_of_request.pop(grant.request.request_id, None)
        self._give_back_limits(grant.request)
        self._gate.note_end(grant.message.version)
        backend = self._backends.get(grant.message.backend_id)
        reservation = None if backend is None else backend.release(grant_id)
        if reservation is not None:
            self._expected_end_sum -= reservation.expected_end
        if not self._grants:
            self._expected_end_sum = 0.0
        return grant

    def _learn(self, grant: _Grant, release: SlotRelease, now: float) -> None:
        backend = self._backends.get(grant.message.backend_id)
        server = None
        if backend is not None:
            nominal = nominal_seconds(backend, grant.request, release.answer_tokens)
            server = ServerTime(backend.announcement.hardware, nominal)
        version = grant.message.version
        self._gate.note_outcome(version, grant.request, release, server)
        if backend is None:
            return
        match release.result:
            case ReleaseResult.ANSWERED:
                backend.note_success()
                backend.speed.observe(
                    grant.request.prompt_tokens,
                    release.first_token_ms / 1000,
                    release.answer_tokens,
                    (release.total_ms - release.first_token_ms) / 1000,
                )
            case ReleaseResult.FAILED | ReleaseResult.NOT_SENT:
                backend.note_failure(now)
            case ReleaseResult.CANCELLED:
                pass

    # Making room for higher tiers

    def _make_room(self, now: float) -> None:
        """Cancel running work of lower tiers for requests that would be late."""
        if not self._has_cancellable():
            return
        free_at = self._slot_times(now)
        for item in self._queue.in_order(_ROOM_SCAN_REQUESTS):
            if free_at and free_at[0] <= item.latest_start:
                free_at.pop(0)
                continue
            victim = self._victim(item.request.tier)
            if victim is not None:
                self._revoke(victim)

    def _slot_times(self, now: float) -> list[float]:
        """Return when each running request is expected to end, soonest first."""
        times = []
        for backend in self.backends:
            for reservation in backend.reservations:
                grant = self._grants.get(reservation.grant_id)
                is_ending = grant is not None and grant.revoked
                end = now if is_ending else max(reservation.expected_end, now)
                times.append(end)
        return sorted(times)

    def _revoke(self, grant: _Grant) -> None:
        grant.revoked = True
        message = SlotRevoke(grant.request.request_id, grant.message.grant_id)
        self._send(grant.entry, message)

    def _has_cancellable(self) -> bool:
        return any(grant.is_cancellable for grant in self._grants.values())

    def _victim(self, tier: int) -> _Grant | None:
        """Return the cancellable grant of the lowest tier below ``tier``."""
        lower = [
            grant
            for grant in self._grants.values()
            if grant.is_cancellable and grant.request.tier > tier
        ]
        return max(
            lower,
            key=lambda grant: (grant.request.tier, grant.granted_at),
            default=None,
        )

    def _send(self, entry: str, message: DispatchMessage) -> None:
        self._effects.append(SendToEntry(entry, message))

    def _take_effects(self) -> list[SendToEntry]:
        effects, self._effects = self._effects, []
        return effects
