"""Errors returned to callers; each states whether the request was executed."""

from sassafraspin.dispatch import RefusalReason
from sassafraspin.http import Execution, RequestProblem

__all__ = [
    "AlreadyAnswered",
    "BackendUnreachable",
    "Conflict",
    "ControlUnavailable",
    "InternalFailure",
    "KeyReused",
    "LeaveUnconfirmed",
    "LedgerUnavailable",
    "NotMember",
    "OutcomeUnknown",
    "SlotRefused",
    "StillRunning",
    "UnknownPath",
    "UnknownProfile",
]

_RETRY_AFTER_MS = 500


class UnknownProfile(RequestProblem):
    """The named profile does not exist."""

    status = 404
    reason = "unknown-profile"
    title = "Unknown profile"

    def __init__(self, name: str) -> None:
        super().__init__(f"profile {name!r} is not in force; put it first")


class UnknownPath(RequestProblem):
    """No service or operator endpoint matches the method and path."""

    status = 404
    reason = "unknown-path"
    title = "Unknown path"

    def __init__(self, path: str) -> None:
        super().__init__(f"no service takes the path {path!r}")


class Conflict(RequestProblem):
    """The change conflicts with the current state."""

    status = 409
    reason = "conflict"
    title = "Conflict"


class ControlUnavailable(RequestProblem):
    """The control quorum did not answer in time; it may still accept the change."""

    status = 503
    reason = "control-unavailable"
    title = "Control unavailable"
    execution = Execution.UNKNOWN
    retry_after_ms = _RETRY_AFTER_MS

    def __init__(self) -> None:
        super().__init__(
            "the change may or may not be accepted; send it again with the same "
            "change identity to learn which"
        )


class NotMember(RequestProblem):
    """An instance without a lease may not know which instances dispatch."""

    status = 503
    reason = "not-member"
    title = "Not a member"
    retry_after_ms = _RETRY_AFTER_MS

    def __init__(self) -> None:
        super().__init__("this instance holds no lease; send it to another one")


class LeaveUnconfirmed(RequestProblem):
    """The dispatcher may still use a backend server that leaves."""

    status = 503
    reason = "leave-unconfirmed"
    title = "Not in force"
    retry_after_ms = _RETRY_AFTER_MS

    def __init__(self, server: str) -> None:
        super().__init__(
            f"the dispatcher did not confirm in time that {server!r} leaves; send it "
            "again"
        )


class SlotRefused(RequestProblem):
    """The request got no slot: the dispatcher refused, or none was known in time."""

    _STATUSES = {RefusalReason.ACCOUNT_LIMIT: 429}

    def __init__(self, reason: RefusalReason, retry_after_ms: int) -> None:
        super().__init__("the request was not run; send it again after the pause")
        self.status = self._STATUSES.get(reason, 503)
        self.reason = reason.value
        self.title = "No capacity for the request"
        self.retry_after_ms = retry_after_ms


class BackendUnreachable(RequestProblem):
    """No attempt sent the request: no connection, or the grant was no longer valid."""

    status = 503
    reason = "backend-unreachable"
    title = "Backend server unreachable"
    retry_after_ms = _RETRY_AFTER_MS

    def __init__(self) -> None:
        super().__init__("no byte of the request was sent to a backend server")


class LedgerUnavailable(RequestProblem):
    """The idempotency key could not be recorded: timeout, or the ledger is full."""

    status = 503
    reason = "ledger-unavailable"
    title = "Request record unavailable"
    retry_after_ms = _RETRY_AFTER_MS

    def __init__(self) -> None:
        super().__init__("the request was not run; send it again with the same key")


class KeyReused(RequestProblem):
    """The idempotency key was used for a different request."""

    status = 422
    reason = "key-reused"
    title = "Idempotency key reused"

    def __init__(self) -> None:
        super().__init__("use another Idempotency-Key for another request")


class StillRunning(RequestProblem):
    """An earlier request with the same idempotency key is still in flight."""

    status = 409
    reason = "in-flight"
    title = "Request in flight"
    execution = Execution.UNKNOWN
    retry_after_ms = _RETRY_AFTER_MS

    def __init__(self) -> None:
        super().__init__("the first try under this key has not ended yet")


class OutcomeUnknown(RequestProblem):
    """The outcome of a request that may have run is unknown.

    It is this request, or an earlier one with the same idempotency key.
    """

    status = 502
    reason = "outcome-unknown"
    title = "Outcome unknown"
    execution = Execution.UNKNOWN


class AlreadyAnswered(RequestProblem):
    """The request was executed and answered earlier."""

    status = 409
    reason = "already-answered"
    title = "Already answered"
    execution = Execution.ANSWERED

    def __init__(self) -> None:
        super().__init__("this key was answered; the answer is not kept")


class InternalFailure(RequestProblem):
    """An unhandled exception; whether the request was executed is unknown."""

    status = 500
    reason = "internal-failure"
    title = "Internal failure"
    execution = Execution.UNKNOWN

    def __init__(self) -> None:
        super().__init__("see the log of the entry instance")
