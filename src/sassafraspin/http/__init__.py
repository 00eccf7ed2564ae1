"""HTTP/1.1 server and client, server-sent events and problem documents."""

from sassafraspin.deferred import deferred_attributes
from sassafraspin.http.client import HttpClient, OpenResponse
from sassafraspin.http.client_connection import (
    AnswerTooLarge,
    BodyFraming,
    ClientLimits,
    ClientTimeouts,
    ConnectFailed,
    ConnectionLost,
)
from sassafraspin.http.connector import (
    Connector,
    Dial,
    DirectConnector,
    ServerPath,
    dial_tcp,
)
from sassafraspin.http.events import EventParser, ServerSentEvent, format_event
from sassafraspin.http.memory import (
    Claim,
    MemoryBudget,
    MemoryHold,
    MemoryKind,
    MemoryUsage,
)
from sassafraspin.http.messages import (
    Headers,
    Request,
    Response,
    decode_text,
    encode_text,
    is_header_text,
)
from sassafraspin.http.problems import (
    BadRequest,
    BodyTooLarge,
    Execution,
    InvalidField,
    NotFound,
    ProblemDocument,
    RequestProblem,
    RequestTimeout,
    TooManyConnections,
    Unauthorized,
    problem_response,
)
from sassafraspin.http.responder import Handler, Responder, as_handler
from sassafraspin.http.server import HttpServer

__all__ = [
    "AnswerTooLarge",
    "BadRequest",
    "BodyFraming",
    "BodyTooLarge",
    "Claim",
    "ClientLimits",
    "ClientTimeouts",
    "ConnectFailed",
    "ConnectionLost",
    "Connector",
    "Dial",
    "DirectConnector",
    "EventParser",
    "Execution",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpServer",
    "InvalidField",
    "MemoryBudget",
    "MemoryHold",
    "MemoryKind",
    "MemoryUsage",
    "NotFound",
    "OpenResponse",
    "ProblemDocument",
    "Request",
    "RequestProblem",
    "RequestTimeout",
    "Responder",
    "Response",
    "ServerPath",
    "ServerSentEvent",
    "TooManyConnections",
    "Unauthorized",
    "as_handler",
    "decode_text",
    "dial_tcp",
    "encode_text",
    "format_event",
    "is_header_text",
    "problem_response",
    "read_body",
]

__getattr__ = deferred_attributes(__name__, {"read_body": "sassafraspin.http.bodies"})
