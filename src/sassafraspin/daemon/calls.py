"""Parsing and validation of callers' HTTP requests."""

import hashlib
import uuid
from dataclasses import dataclass
from typing import Any

import msgspec

from sassafraspin.backends import prefix_hashes
from sassafraspin.daemon.problems import UnknownPath, UnknownProfile
from sassafraspin.http import Headers, InvalidField, Request
from sassafraspin.profiles import Profile, ProfileStore
from sassafraspin.settings import ClientAccountSettings, ServiceSettings

__all__ = ["MODELS_PATH", "Call", "CallReader", "ModelCall", "PlainCall"]

PROFILE_HEADER = "sassafraspin-profile"
DEADLINE_HEADER = "sassafraspin-deadline-ms"
KEY_HEADER = "idempotency-key"

MODELS_PATH = "/v1/models"
MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")

_MAX_KEY_LENGTH = 255
_MAX_DEADLINE_MS = 3_600_000
_BYTES_PER_TOKEN = 4
_DIGEST_BYTES = 16


@dataclass(frozen=True)
class ModelCall:
    """An OpenAI-compatible call.

    Parameters
    ----------
    document : dict
        The parsed body.
    streamed : bool
        Whether the caller asked for server-sent events.
    prompt : bytes
        Text of the prompt, from which the prefix hashes are computed.
    """

    document: dict[str, Any]
    streamed: bool
    prompt: bytes


@dataclass(frozen=True)
class PlainCall:
    """A call to a plain service, forwarded unchanged."""


@dataclass(frozen=True)
class Call:
    """A caller's request with the data needed to schedule it.

    Parameters
    ----------
    request_id : str
        Unique identifier of the request, prefixed with the service name.
    request : Request
        The HTTP request.
    account : ClientAccountSettings
        Client account that sent the request.
    profile : Profile
        Current version of the profile that applies.
    service : ServiceSettings
        Service that handles the call.
    key : str or None
        Idempotency key.
    digest : bytes
        Digest of the request, to detect a different request under the same key.
    deadline_ms : int
        Time allowed for the complete answer, in milliseconds.
    route : str
        Endpoint label under which versions are compared.
    prompt_tokens, answer_tokens : int
        Estimated prompt and answer lengths.
    kind : ModelCall or PlainCall
        Data specific to the kind of service.
    """

    request_id: str
    request: Request
    account: ClientAccountSettings
    profile: Profile
    service: ServiceSettings
    key: str | None
    digest: bytes
    deadline_ms: int
    route: str
    prompt_tokens: int
    answer_tokens: int
    kind: ModelCall | PlainCall

    def prefixes(self) -> tuple[int, ...]:
        """Return the hashes of the prompt's prefixes."""
        match self.kind:
            case ModelCall():
                return prefix_hashes(self.kind.prompt)
            case PlainCall():
                return ()


class CallReader:
    """Parses calls; every method raises typed problems with execution ``not-run``.

    Parameters
    ----------
    services : tuple of ServiceSettings
        Services of the deployment.
    """

    def __init__(self, services: tuple[ServiceSettings, ...]) -> None:
        self._services = {service.name: service for service in services}
        self._plain = sorted(
            (service for service in services if service.path_prefix is not None),
            key=lambda service: -len(service.path_prefix or ""),
        )

    def read(
        self,
        request: Request,
        account: ClientAccountSettings,
        profiles: ProfileStore,
    ) -> Call:
        """Parse an HTTP request into a call."""
        name = request.headers.get(PROFILE_HEADER) or account.default_profile
        change = profiles.current(name)
        if change is None:
            raise UnknownProfile(name)
        profile = change.profile
        service = self._services.get(profile.service)
        if service is None:
            raise UnknownProfile(name)
        kind = self._read_kind(request, service)
        prompt_tokens, answer_tokens = _estimate_cost(kind, profile)
        return Call(
            request_id=f"{service.name}:{uuid.uuid4().hex}",
            request=request,
            account=account,
            profile=profile,
            service=service,
            key=_read_key(request.headers),
            digest=_request_digest(request),
            deadline_ms=_read_deadline(request.headers, profile),
            route=_route_label(request, service),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            kind=kind,
        )

    def _read_kind(
        self, request: Request, service: ServiceSettings
    ) -> ModelCall | PlainCall:
        if request.path in MODEL_PATHS:
            if service.kind != "model":
                raise InvalidField("$.model", "the profile's service is not a model")
            return _read_model_call(request)
        for plain in self._plain:
            if request.path.startswith(plain.path_prefix or ""):
                if plain.name != service.name:
                    message = f"the profile is for service {service.name!r}"
                    raise InvalidField(PROFILE_HEADER, message)
                return PlainCall()
        raise UnknownPath(request.path)


def _read_model_call(request: Request) -> ModelCall:
    if request.method != "POST":
        raise InvalidField("method", "model calls use POST")
    try:
        document = msgspec.json.decode(request.body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidField("$", f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidField("$", "the body must be a JSON object")
    streamed = document.get("stream", False)
    if not isinstance(streamed, bool):
        raise InvalidField("$.stream", "must be true or false")
    return ModelCall(document, streamed, _read_prompt(request.path, document))


def _read_prompt(path: str, document: dict[str, Any]) -> bytes:
    if path == "/v1/completions":
        prompt = document.get("prompt")
        if not isinstance(prompt, str):
            raise InvalidField("$.prompt", "must be a string")
        return prompt.encode()
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidField("$.messages", "must be a list with at least one message")
    for position, message in enumerate(messages):
        if not isinstance(message, dict):
            raise InvalidField(f"$.messages[{position}]", "must be an object")
    return msgspec.json.encode(messages)


def _estimate_cost(kind: ModelCall | PlainCall, profile: Profile) -> tuple[int, int]:
    match kind:
        case PlainCall():
            return 1, 1
        case ModelCall():
            prompt_tokens = max(1, len(kind.prompt) // _BYTES_PER_TOKEN)
            return prompt_tokens, _answer_tokens(kind.document, profile)


def _answer_tokens(document: dict[str, Any], profile: Profile) -> int:
    """Return the expected answer length, capped by the caller's limit."""
    for field in ("max_completion_tokens", "max_tokens"):
        limit = document.get(field)
        if limit is None:
            continue
        if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
            raise InvalidField(f"$.{field}", "must be a positive whole number")
        return min(limit, profile.answer_tokens)
    return profile.answer_tokens


def _read_key(headers: Headers) -> str | None:
    key = headers.get(KEY_HEADER)
    if key is None:
        return None
    if not key or len(key) > _MAX_KEY_LENGTH or not key.isprintable():
        message = f"must have 1 to {_MAX_KEY_LENGTH} printable characters"
        raise InvalidField(KEY_HEADER, message)
    return key


def _read_deadline(headers: Headers, profile: Profile) -> int:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return profile.deadline_ms
    if not (text.isascii() and text.isdigit() and 0 < int(text) <= _MAX_DEADLINE_MS):
        message = f"must be a whole number from 1 to {_MAX_DEADLINE_MS}"
        raise InvalidField(DEADLINE_HEADER, message)
    return min(int(text), profile.deadline_ms)


def _request_digest(request: Request) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.digest()


def _route_label(request: Request, service: ServiceSettings) -> str:
    if service.path_prefix is None:
        return request.path
    rest = request.path[len(service.path_prefix) :].strip("/")
    return f"{request.method} {service.path_prefix}{rest.partition('/')[0]}"
