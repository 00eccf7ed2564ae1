"""Messages between entry instances and the dispatcher of a service."""

from enum import StrEnum

import msgspec

from sassafraspin.backends import Announcement

__all__ = [
    "ActiveGrant",
    "AnnounceBackend",
    "DispatchMessage",
    "HeldGrants",
    "LOWEST_TIER",
    "RefusalReason",
    "ReleaseResult",
    "SlotGrant",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "SlotRevoke",
    "SlotWaiting",
    "SlotWithdraw",
    "UnknownGrants",
]


LOWEST_TIER = 15
"""Lowest urgency that dispatchers tell apart; profiles use the first four."""


class RefusalReason(StrEnum):
    """Why a request gets no slot; in each case it was not run."""

    NO_BACKEND = "no-backend"
    OVERLOADED = "overloaded"
    TOO_LATE = "too-late"
    ACCOUNT_LIMIT = "account-limit"
    NOT_DISPATCHER = "not-dispatcher"
    RETRY_BUDGET = "retry-budget"


class ReleaseResult(StrEnum):
    """How a granted request ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_SENT = "not-sent"
    CANCELLED = "cancelled"


class SlotRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks the dispatcher of a service for a slot at one of its backend servers.

    Parameters
    ----------
    request_id : str
        Identity of the request; a repeated message asks for the same slot.
    service, client_account, profile, route : str
        What the request is for and who sent it; ``route`` is the kind of call,
        by which versions are compared.
    tier : int
        Urgency from 0, the highest.
    prompt_tokens, answer_tokens : int
        Estimated cost.
    deadline_ms : int
        Time left until the whole answer is due.
    cancellable : bool
        Whether the running request may be cancelled for a higher tier.
    prefixes : tuple of int
        Hashes of the prompt's prefixes.
    avoid : tuple of str
        Backend servers that were tried already.
    start_within_ms : int
        Time within which the request has to be sent, 0 for as long as its deadline
        allows.
    first_token_within_ms : int
        Time within which the first token is on time, 0 if only the deadline counts.
    leaves_within_ms : int
        Time after which the caller leaves unless it has the first token, 0 if it waits
        for the whole deadline.
    charged_tokens : int
        Tokens that the account's usage cap is charged.
    tries : int
        Backend servers that the request was sent to before.
    """

    request_id: str
    service: str
    client_account: str
    profile: str
    route: str
    tier: int
    prompt_tokens: int
    answer_tokens: int
    deadline_ms: int
    cancellable: bool
    prefixes: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    start_within_ms: int = 0
    first_token_within_ms: int = 0
    leaves_within_ms: int = 0
    charged_tokens: int = 0
    tries: int = 0

    @property
    def tokens(self) -> int:
        """Return the estimated tokens of the prompt and the answer together."""
        return self.prompt_tokens + self.answer_tokens


class SlotGrant(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A slot; it lapses unless the request is sent within ``use_within_ms``.

    ``expected_first_ms`` is the time until the first token as the dispatcher expects
    it, and ``waited_ms`` the time that the request waited for the slot.
    """

    request_id: str
    grant_id: str
    backend_id: str
    host: str
    port: int
    version: str
    use_within_ms: int
    expected_first_ms: int = 0
    waited_ms: int = 0


class SlotWaiting(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The request waits for a slot, so its dispatcher is alive."""

    request_id: str


class SlotRefusal(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """No slot: the request was not run and may come back after some time.

    The figures tell what decided: the wait that was expected, the slots of servers
    that accept work, those that are granted, and the requests that wait.
    """

    request_id: str
    reason: RefusalReason
    retry_after_ms: int
    wait_ms: int = 0
    open_slots: int = 0
    busy_slots: int = 0
    waiting: int = 0


class ActiveGrant(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tells a new dispatcher of a slot that an older one granted.

    ``deadline_ms`` in ``request`` is the time that was left when it was granted.
    """

    request: SlotRequest
    grant: SlotGrant


class SlotRelease(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A granted request has ended; times are 0 where they are not known."""

    service: str
    request_id: str
    grant_id: str
    backend_id: str
    result: ReleaseResult
    first_token_ms: int = 0
    total_ms: int = 0
    answer_tokens: int = 0


class HeldGrants(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Every slot that an entry instance uses now, so that lost releases are found."""

    service: str
    grant_ids: tuple[str, ...]


class UnknownGrants(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Slots in use that the dispatcher does not know; it asks for their grants."""

    grant_ids: tuple[str, ...]


class SlotWithdraw(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The request is no longer waiting for a slot."""

    service: str
    request_id: str


class SlotRevoke(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Cancel the running request to make room for a higher tier."""

    request_id: str
    grant_id: str


class AnnounceBackend(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An announcement passed on to the dispatcher of the service."""

    announcement: Announcement


DispatchMessage = (
    SlotRequest
    | SlotGrant
    | SlotRefusal
    | ActiveGrant
    | SlotRelease
    | HeldGrants
    | SlotWithdraw
    | SlotRevoke
    | SlotWaiting
    | UnknownGrants
    | AnnounceBackend
)
