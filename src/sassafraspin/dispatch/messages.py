"""Messages between entry instances and the dispatcher of a service."""

from enum import StrEnum

import msgspec

from sassafraspin.backends import Announcement

__all__ = [
    "ActiveGrant",
    "AnnounceBackend",
    "DispatchMessage",
    "FirstTokenNotice",
    "HeldGrants",
    "LOWEST_TIER",
    "RateLimitNotice",
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
"""Number of the lowest tier that dispatchers distinguish; profiles use 0 to 3."""


class RefusalReason(StrEnum):
    """Why a request gets no slot; a refused request was not executed."""

    NO_BACKEND = "no-backend"
    OVERLOADED = "overloaded"
    TOO_LATE = "too-late"
    ACCOUNT_LIMIT = "account-limit"
    NOT_DISPATCHER = "not-dispatcher"
    RETRY_BUDGET = "retry-budget"
    ON_TRIAL = "on-trial"


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
        Identifier of the request; a repeated message refers to the same slot.
    service, client_account, profile, route : str
        Service that is called, and the account, profile and kind of call; versions
        are compared by ``route``.
    tier : int
        Priority; 0 is the highest.
    prompt_tokens, answer_tokens : int
        Estimated cost in tokens.
    deadline_ms : int
        Time left until the complete answer is due.
    cancellable : bool
        Whether the running request may be preempted by a higher tier.
    prefixes : tuple of int
        Hashes of the prompt's prefixes.
    avoid : tuple of str
        Backend servers that must not be chosen because they were tried already.
    start_within_ms : int
        Time within which the request has to be sent to meet its latency objective;
        0 if only its deadline limits the time.
    first_token_within_ms : int
        Objective for the time to first token; 0 if only the deadline counts.
    leaves_within_ms : int
        Time after which the caller disconnects if it has not received the first token;
        0 if it waits until the deadline.
    charged_tokens : int
        Tokens charged against the account's usage cap.
    tries : int
        Number of backend servers that the request was sent to before.
    asked_at : float or None
        Time of the entry instance's clock at which it sent this message, in seconds.
    signature : str
        Signature that equal requests share, empty if it is not known.
    regions : tuple of str or None
        Regions whose servers may be used; ``None`` for all of them.
    parts : tuple of (str, int)
        Identifiers and sizes in tokens of the prompt's parts, in order; empty if
        placement does not depend on them.
    gap_ms : int
        Objective for the longest pause between events of the answer; 0 for none.
    lent : bool
        Whether another instance without a dispatcher asks for an unused slot of the
        receiver, which never passes the request on. Its sender has charged it to the
        usage caps and the retry budget.
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
    asked_at: float | None = None
    signature: str = ""
    regions: tuple[str, ...] | None = None
    parts: tuple[tuple[str, int], ...] = ()
    gap_ms: int = 0
    lent: bool = False

    @property
    def tokens(self) -> int:
        """Return the estimated number of tokens of the prompt and the answer."""
        return self.prompt_tokens + self.answer_tokens


class SlotGrant(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Grants a slot, which expires unless the request is sent within ``use_within_ms``.

    ``expected_first_ms`` is the dispatcher's estimate of the time to first token, and
    ``waited_ms`` is the time that the request waited for the slot. ``use_until`` is
    the time on the entry instance's clock at which the grant ends, whenever it
    arrives; ``None`` if the request did not say when it was sent. ``incarnation`` is
    that of the backend server, 0 from older builds. ``rate_limit`` is the limit of the
    server that the dispatcher knows, in requests a second, ``None`` if it knows none.
    ``reports_first_token`` asks for a ``FirstTokenNotice``.
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
    use_until: float | None = None
    incarnation: int = 0
    rate_limit: float | None = None
    reports_first_token: bool = False


class SlotWaiting(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Confirms that the request is queued and that its dispatcher is running."""

    request_id: str


class SlotRefusal(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Refuses a slot: the request was not executed and may be retried after a delay.

    ``wait_ms`` is the estimated waiting time, ``open_slots`` the number of slots of
    servers that accept work, ``busy_slots`` the number of granted slots, and
    ``waiting`` the length of the queue at the time of the decision.
    """

    request_id: str
    reason: RefusalReason
    retry_after_ms: int
    wait_ms: int = 0
    open_slots: int = 0
    busy_slots: int = 0
    waiting: int = 0


class ActiveGrant(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports to a new dispatcher a slot that its predecessor granted.

    ``deadline_ms`` in ``request`` is the time that was left at the time of the grant.
    """

    request: SlotRequest
    grant: SlotGrant


class SlotRelease(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports the end of a granted request; unknown times are 0.

    ``parts`` are the prompt parts that other requests may share.
    ``may_have_crashed_server`` says that the server crashed while it was to answer the
    request, or soon after it had begun to; ``was_broken_off`` says that the server
    closed or reset the connection then. ``server_leaves`` says that the server
    reported in its answer that it leaves, and ``server_failed_it`` that the answer was
    a complete one with an error status. ``path_failed`` says that the instance lost
    its own path to the server, so that the failure is no evidence against the server.
    ``lacked_room`` says that the server refused the request as it had no room for it.
    ``overload_tolerance`` is the number of refusals a second that it named in its
    answer, ``None`` if it named none. ``turned_away`` says that the server answered
    that it did not run the request.
    """

    service: str
    request_id: str
    grant_id: str
    backend_id: str
    result: ReleaseResult
    first_token_ms: int = 0
    total_ms: int = 0
    answer_tokens: int = 0
    parts: tuple[str, ...] = ()
    may_have_crashed_server: bool = False
    was_broken_off: bool = False
    server_leaves: bool = False
    server_failed_it: bool = False
    path_failed: bool = False
    lacked_room: bool = False
    overload_tolerance: float | None = None
    turned_away: bool = False


class RateLimitNotice(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports that an answer named another rate limit than the grant of its request.

    ``rate_limit`` is in requests a second, ``None`` if the answer named no limit.
    """

    service: str
    grant_id: str
    backend_id: str
    incarnation: int
    rate_limit: float | None


class FirstTokenNotice(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports the first token of a request before its answer is complete.

    Dispatchers ask for it while they find out how many requests a server bears, which
    the end of a long answer would tell too late.
    """

    service: str
    grant_id: str
    first_token_ms: int


class HeldGrants(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Lists all slots in use by an entry instance, to detect lost releases.

    With ``lent``, it lists only those that the receiver has lent.
    """

    service: str
    grant_ids: tuple[str, ...]
    lent: bool = False


class UnknownGrants(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks an entry instance for grants in use that the dispatcher does not know."""

    grant_ids: tuple[str, ...]


class SlotWithdraw(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports that a request no longer waits for a slot."""

    service: str
    request_id: str


class SlotRevoke(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Orders the entry instance to cancel a running request for a higher tier."""

    request_id: str
    grant_id: str


class AnnounceBackend(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Forwards an announcement to the dispatcher of the service."""

    announcement: Announcement


DispatchMessage = (
    SlotRequest
    | SlotGrant
    | SlotRefusal
    | ActiveGrant
    | SlotRelease
    | RateLimitNotice
    | FirstTokenNotice
    | HeldGrants
    | SlotWithdraw
    | SlotRevoke
    | SlotWaiting
    | UnknownGrants
    | AnnounceBackend
)
