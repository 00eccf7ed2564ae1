"""Errors of routed calls; each states whether the request ran."""

from sassafraspin.dispatch import SlotRefusal
from sassafraspin.http import Execution, RequestProblem
from sassafraspin.isolation import SignatureKind, signature_kind

__all__ = [
    "AccountOverCap",
    "AnswerLost",
    "InstanceStops",
    "NoAnswerInTime",
    "NoRoute",
    "NotCurrent",
    "NotDispatched",
    "PartRefused",
    "RequestRefused",
    "RetirementPending",
    "ServerRefused",
    "StoppedBeforeAnswer",
    "UnknownKey",
    "isolation_problem",
]


class NoRoute(RequestProblem):
    """No declared route matches the request."""

    status = 404
    reason = "no-route"
    title = "No route"


class UnknownKey(RequestProblem):
    """No API key was sent, or it belongs to no client account."""

    status = 401
    reason = "unknown-key"
    title = "Unknown key"


class NotCurrent(RequestProblem):
    """The instance cannot confirm that its configuration is current."""

    status = 503
    reason = "not-current"
    title = "Configuration not confirmed"
    retry_after_ms = 500


class InstanceStops(RequestProblem):
    """The instance stops, and the answer might not be complete before its end."""

    status = 503
    reason = "instance-stops"
    title = "Not run"
    retry_after_ms = 100

    def __init__(self) -> None:
        super().__init__("the instance stops; send the request again")


class StoppedBeforeAnswer(RequestProblem):
    """The request was sent, and the instance stopped before its answer was complete."""

    status = 504
    reason = "stopped-before-answer"
    title = "No answer before the stop"
    execution = Execution.UNKNOWN


class RetirementPending(RequestProblem):
    """Some instances may still send requests to a backend server that leaves.

    Parameters
    ----------
    server : str
        Name of the backend server.
    instances : tuple of str
        These instances; empty if the control log did not accept the change in time.
    """

    status = 503
    reason = "retirement-pending"
    title = "Not in force everywhere"
    retry_after_ms = 500

    def __init__(self, server: str, instances: tuple[str, ...]) -> None:
        self.instances = instances
        names = ", ".join(instances) or "the control log"
        super().__init__(f"{server} is not retired on {names} yet; send it again")


class NotDispatched(RequestProblem):
    """The request got no slot, so it was not run.

    Parameters
    ----------
    refusal : SlotRefusal
        Reason of the refusal and time after which to retry.
    """

    status = 503
    title = "Not run"

    def __init__(self, refusal: SlotRefusal) -> None:
        self.refusal = refusal
        self.reason = refusal.reason.value
        self.retry_after_ms = refusal.retry_after_ms
        super().__init__(f"no slot: {self.reason}; come back later")


class AccountOverCap(NotDispatched):
    """The client account has exceeded its usage cap."""

    status = 429
    title = "Over the usage cap"


class ServerRefused(RequestProblem):
    """Every backend server that was tried refused to run the request."""

    status = 503
    reason = "server-refused"
    title = "Not run"
    retry_after_ms = 300


class PartRefused(RequestProblem):
    """A part of the prompt is isolated because servers crashed when they answered it.

    The status states that the request was not run, which holds also for a caller whose
    part was isolated by mistake; only an operator ends an isolation.
    """

    status = 503
    reason = "part-isolated"
    title = "Part of the prompt is isolated"
    retry_after_ms = 60_000

    def __init__(self, part: str) -> None:
        super().__init__(
            f"backend servers crashed under the prompt part {part!r}; send the request "
            "without it, or ask an operator to readmit it"
        )


class RequestRefused(RequestProblem):
    """An equal request was isolated because servers crashed when they answered it.

    The status states that the request was not run.
    """

    status = 503
    reason = "request-isolated"
    title = "The request is isolated"
    retry_after_ms = 60_000

    def __init__(self, signature: str) -> None:
        super().__init__(
            f"backend servers crashed under equal requests ({signature}); change the "
            "request, or ask an operator to readmit it"
        )


def isolation_problem(signature: str) -> RequestProblem:
    """Return the problem of a call with an isolated signature."""
    match signature_kind(signature):
        case SignatureKind.PART:
            return PartRefused(signature)
        case SignatureKind.REQUEST:
            return RequestRefused(signature)


class AnswerLost(RequestProblem):
    """The request was sent and no complete answer arrived; it may have run."""

    status = 502
    reason = "answer-lost"
    title = "Answer lost"
    execution = Execution.UNKNOWN


class NoAnswerInTime(RequestProblem):
    """The request was sent and its deadline passed; it may have run."""

    status = 504
    reason = "no-answer-in-time"
    title = "No answer in time"
    execution = Execution.UNKNOWN
