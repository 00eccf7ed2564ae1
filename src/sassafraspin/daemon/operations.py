"""HTTP API for operators and backend servers."""

import uuid
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec

from sassafraspin.backends import Announcement
from sassafraspin.control import (
    CommandOutcome,
    DeclareMove,
    PutProfile,
    UndoMove,
)
from sassafraspin.daemon.access import AccessControl
from sassafraspin.daemon.announcements import AnnouncementClient
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import UnknownPath
from sassafraspin.daemon.proposals import ProposalClient, require_in_force
from sassafraspin.daemon.status import InstanceStatus
from sassafraspin.http import (
    Headers,
    InvalidField,
    NotFound,
    Request,
    Response,
    read_body,
)
from sassafraspin.moves import MoveSpec
from sassafraspin.profiles import Profile

__all__ = ["OperationsApi"]

T = TypeVar("T")

_JSON = Headers((("content-type", "application/json"),))


class OperationsApi:
    """HTTP API for profiles, moves, status and backend server announcements.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    access : AccessControl
        Authenticates operators and backend servers.
    proposals : ProposalClient
        Proposes commands to the replicated control log.
    announcements : AnnouncementClient
        Forwards the announcements of backend servers.
    read_status : callable
        Returns the status of this instance.
    """

    def __init__(
        self,
        node: Node,
        access: AccessControl,
        proposals: ProposalClient,
        announcements: AnnouncementClient,
        read_status: Callable[[], InstanceStatus],
    ) -> None:
        self._node = node
        self._access = access
        self._proposals = proposals
        self._announcements = announcements
        self._read_status = read_status

    async def handle(self, request: Request) -> Response:
        """Answer one request; raises ``RequestProblem`` on failure."""
        parts = [part for part in request.path.split("/") if part]
        match (request.method, *parts):
            case ("GET", "healthz"):
                return Response(200)
            case ("POST", "v1", "backend-servers"):
                return await self._announce(request)
            case _:
                operator = self._access.authenticate_operator(request).name
                return await self._handle_operator(request, parts, operator)

    async def _handle_operator(
        self, request: Request, parts: list[str], operator: str
    ) -> Response:
        state = self._node.configuration.state
        match (request.method, *parts):
            case ("GET", "v1", "status"):
                return _json(self._read_status())
            case ("GET", "v1", "profiles"):
                return _json(state.profiles.all_current())
            case ("GET", "v1", "profiles", name):
                return _json(_existing(state.profiles.current(name), name))
            case ("GET", "v1", "profiles", name, "history"):
                return _json(_existing(state.profiles.history(name), name))
            case ("PUT", "v1", "profiles", name):
                return await self._put_profile(request, name, operator)
            case ("GET", "v1", "moves"):
                return _json(state.moves.all_moves())
            case ("GET", "v1", "moves", name):
                return _json(_existing(state.moves.get(name), name))
            case ("POST", "v1", "moves"):
                return await self._declare_move(request, operator)
            case ("POST", "v1", "moves", name, "undo"):
                return await self._undo_move(request, name, operator)
            case _:
                raise UnknownPath(request.path)

    async def _announce(self, request: Request) -> Response:
        self._access.check_backend_server(request)
        announcement = read_body(request, Announcement)
        services = {service.name for service in self._node.settings.services}
        if announcement.service not in services:
            raise InvalidField("$.service", f"must be one of {sorted(services)}")
        await self._announcements.announce(announcement)
        return Response(200 if announcement.leaving else 202)

    async def _put_profile(
        self, request: Request, name: str, operator: str
    ) -> Response:
        profile = read_body(request, Profile)
        if profile.name != name:
            raise InvalidField("$.name", f"must be {name!r} as in the path")
        services = {service.name for service in self._node.settings.services}
        if profile.service not in services:
            raise InvalidField("$.service", f"must be one of {sorted(services)}")
        # ``at_ms`` is 0 until the leader sets its wall clock time.
        command = PutProfile(_change_id(request), operator, 0, profile)
        outcome = await self._commit(command)
        return _json(outcome.profile)

    async def _declare_move(self, request: Request, operator: str) -> Response:
        spec = read_body(request, MoveSpec)
        services = {service.name for service in self._node.settings.services}
        if spec.service not in services:
            raise InvalidField("$.service", f"must be one of {sorted(services)}")
        # ``at_ms`` is 0 until the leader sets its wall clock time.
        command = DeclareMove(_change_id(request), operator, 0, spec)
        outcome = await self._commit(command)
        return _json(outcome.move)

    async def _undo_move(self, request: Request, name: str, operator: str) -> Response:
        # ``at_ms`` is 0 until the leader sets its wall clock time.
        command = UndoMove(_change_id(request), operator, 0, name)
        outcome = await self._commit(command)
        return _json(outcome.move)

    async def _commit(
        self, command: PutProfile | DeclareMove | UndoMove
    ) -> CommandOutcome:
        return require_in_force(await self._proposals.propose(command))


def _existing(value: T | None, name: str) -> T:
    """Return ``value``; raises ``NotFound`` if it is ``None`` or an empty history."""
    if not value:
        raise NotFound(f"{name!r} does not exist")
    return value


def _change_id(request: Request) -> str:
    values = parse_qs(request.query).get("change_id")
    return values[0] if values else uuid.uuid4().hex


def _json(value: Any) -> Response:
    return Response(200, _JSON, msgspec.json.encode(value))
