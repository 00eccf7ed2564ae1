"""Model of a pool with simulated backend servers, and the oracle for tier priority."""

import random
from dataclasses import dataclass

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import Announcement
from sassafraspin.dispatch import (
    RateLimitNotice,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.isolation import Suspects
from sassafraspin.settings import Address, ClientAccountSettings, DispatchSettings

SERVICE = "model"
DECODE_RATE = 100.0
PREFILL_RATE = 10_000.0
TICK_SECONDS = 0.1


@dataclass
class Running:
    """A granted request on a simulated server."""

    request: SlotRequest
    grant: SlotGrant
    ends_at: float
    revoked: bool = False


@dataclass(frozen=True)
class Refused:
    """A refused request with the reason and the time of the refusal."""

    request: SlotRequest
    reason: RefusalReason
    at: float


def announcement(number: int, **fields) -> Announcement:
    """Return the announcement of a simulated server."""
    return Announcement(
        **{
            "id": f"runner-{number}",
            "incarnation": 1,
            "service": SERVICE,
            "address": Address("127.0.0.1", 1 + number),
            "availability_zone": "z",
            "hardware": "gen1",
            "versions": ("v1",),
            "ttl_ms": 60_000,
            "slots": 2,
            "prefill_tokens_per_second": PREFILL_RATE,
            "decode_tokens_per_second": DECODE_RATE,
            **fields,
        }
    )


class PoolModel:
    """Drives a pool and checks each refusal against the tier priority.

    Parameters
    ----------
    servers : int
        Number of simulated servers.
    waiting_requests : int
        Maximum length of the queue.
    accounts : tuple of ClientAccountSettings
        Accounts with limits.
    suspects : Suspects or None
        Knows which requests may have crashed servers.
    """

    def __init__(
        self,
        servers: int = 2,
        waiting_requests: int = 8,
        accounts: tuple[ClientAccountSettings, ...] = (),
        suspects: Suspects | None = None,
    ) -> None:
        self.now = 10.0
        self.pool = Pool(
            SERVICE,
            DispatchSettings(waiting_requests=waiting_requests),
            AccountLimits(accounts),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "term",
            0.0,
            suspects=suspects,
        )
        self.waiting: dict[str, SlotRequest] = {}
        self.running: dict[str, Running] = {}
        self.refused: list[Refused] = []
        self.refusals: list[SlotRefusal] = []
        self.granted: list[str] = []
        self._counter = 0
        self._announcements = 0
        for number in range(servers):
            self.announce(number)

    def announce(self, number: int, **fields) -> None:
        """Send the next announcement of a server to the pool."""
        self._announcements += 1
        fields.setdefault("sequence", self._announcements)
        self._run(self.pool.announce(announcement(number, **fields), self.now))

    def ask(
        self,
        tier: int,
        answer_tokens: int = 100,
        deadline_ms: int = 5_000,
        cancellable: bool = False,
        account: str = "a",
        avoid: tuple[str, ...] = (),
        signature: str = "",
    ) -> SlotRequest:
        """Request a slot."""
        self._counter += 1
        request = SlotRequest(
            f"r{self._counter}",
            SERVICE,
            account,
            "profile",
            "/v1/completions",
            tier,
            10,
            answer_tokens,
            deadline_ms,
            cancellable,
            avoid=avoid,
            signature=signature,
        )
        self.waiting[request.request_id] = request
        self._run(self.pool.request("entry-1", request, self.now))
        return request

    def name_limit(
        self, number: int, rate_limit: float | None, grant_id: str = ""
    ) -> None:
        """Report the rate limit that a server named in the answer to a request."""
        notice = RateLimitNotice(SERVICE, grant_id, f"runner-{number}", 1, rate_limit)
        self._run(self.pool.record_rate_limit(notice, self.now))

    def grants_of(self, number: int) -> list[SlotGrant]:
        """Return the grants of a server that are in use."""
        grants = (item.grant for item in self.running.values())
        return [grant for grant in grants if grant.backend_id == f"runner-{number}"]

    def advance(self, seconds: float) -> None:
        """Advance the clock in the daemon's ticks; running requests end when due."""
        end = self.now + seconds
        while self.now < end:
            self._advance_to(min(end, self.now + TICK_SECONDS))

    def _advance_to(self, end: float) -> None:
        while self.running:
            first = min(self.running.values(), key=lambda item: item.ends_at)
            if first.ends_at > end:
                break
            self.now = max(self.now, first.ends_at)
            self._release(first, ReleaseResult.ANSWERED)
        self.now = end
        self._run(self.pool.tick(self.now))

    def end_revoked(self) -> None:
        """Release all revoked requests as cancelled by the entry instance."""
        for item in list(self.running.values()):
            if item.revoked:
                self._release(item, ReleaseResult.CANCELLED)

    def end_cancelled(self, item: Running, seconds: float) -> None:
        """Release a request whose caller left after some time without an answer."""
        del self.running[item.request.request_id]
        release = SlotRelease(
            SERVICE,
            item.request.request_id,
            item.grant.grant_id,
            item.grant.backend_id,
            ReleaseResult.CANCELLED,
            total_ms=int(seconds * 1000),
        )
        self._run(self.pool.release(release, self.now))

    def _release(self, item: Running, result: ReleaseResult) -> None:
        del self.running[item.request.request_id]
        release = SlotRelease(
            SERVICE,
            item.request.request_id,
            item.grant.grant_id,
            item.grant.backend_id,
            result,
            1,
            int(item.request.answer_tokens * 1000 / DECODE_RATE),
            item.request.answer_tokens,
        )
        self._run(self.pool.release(release, self.now))

    def _run(self, effects: list) -> None:
        for effect in effects:
            message = effect.message
            match message:
                case SlotGrant():
                    self._on_grant(message)
                case SlotRefusal():
                    self._on_refusal(message)
                case SlotRevoke():
                    self.running[message.request_id].revoked = True

    def _on_grant(self, grant: SlotGrant) -> None:
        request = self.waiting.pop(grant.request_id)
        self.granted.append(grant.request_id)
        seconds = 10 / PREFILL_RATE + request.answer_tokens / DECODE_RATE
        self.running[grant.request_id] = Running(request, grant, self.now + seconds)

    def _on_refusal(self, refusal: SlotRefusal) -> None:
        self.refusals.append(refusal)
        request = self.waiting.pop(refusal.request_id)
        self.refused.append(Refused(request, refusal.reason, self.now))
        self._check_refusal(request, refusal.reason)

    def _check_refusal(self, request: SlotRequest, reason: RefusalReason) -> None:
        """Check that no request of a lower tier could have been shed or cancelled."""
        if reason not in (RefusalReason.OVERLOADED, RefusalReason.TOO_LATE):
            return
        # If the deadline hardly suffices on an idle server, any refusal is justified.
        alone = request.answer_tokens / DECODE_RATE
        if request.deadline_ms / 1000 < alone * 1.2:
            return
        if reason is RefusalReason.OVERLOADED:
            lower = [item for item in self.waiting.values() if item.tier > request.tier]
            assert not lower, f"tier {request.tier} shed while {lower[0]} waits"
        cancellable = [
            item
            for item in self.running.values()
            if item.request.cancellable
            and item.request.tier > request.tier
            and not item.revoked
        ]
        assert not cancellable, (
            f"tier {request.tier} refused as {reason} while a request of tier "
            f"{cancellable[0].request.tier} could be cancelled"
        )
