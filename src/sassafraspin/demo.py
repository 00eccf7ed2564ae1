"""Demo in one process: a daemon, two stand-in engines, a load and two moves."""

import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from sassafraspin.daemon import Daemon, hash_token
from sassafraspin.errors import CommandError
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request, Response
from sassafraspin.load import (
    LoadReport,
    LoadRunner,
    LoadSettings,
    RequestClass,
    TokenLengths,
)
from sassafraspin.loopback import LOOPBACK_HOST, free_ports
from sassafraspin.moves import Move, MoveSpec
from sassafraspin.profiles import Profile
from sassafraspin.settings import (
    AccessSettings,
    Address,
    ClientAccountSettings,
    ControlSettings,
    DaemonSettings,
    InstanceSettings,
    ListenSettings,
    NamedAddress,
    OperatorSettings,
    ServiceSettings,
)
from sassafraspin.standins import (
    AnnouncerSettings,
    EngineServer,
    EngineSettings,
    FaultSettings,
)

__all__ = ["DemoResult", "run_demo"]

_TOKEN = "demo"
_SERVICE = "sorter-model"
_LOAD_SECONDS = 15.0
_REQUESTS_PER_SECOND = 45.0
_POLL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True)
class DemoResult:
    """Load report and final state of both moves."""

    load: LoadReport
    moves: tuple[Move, ...]


@dataclass(frozen=True)
class _Ports:
    callers: Address
    operators: Address
    peers: Address
    engines: tuple[Address, ...]


async def run_demo(seed: int) -> DemoResult:
    """Run the demo on free loopback ports, which are closed at the end.

    Parameters
    ----------
    seed : int
        Random seed of the request mix.

    Returns
    -------
    DemoResult
        Load report by tier and the outcomes of the moves.
    """
    ports = _free_ports()
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            daemon = Daemon(_daemon_settings(ports), Path(folder), seed)
            await nursery.start(daemon.run)
            for settings in _engine_settings(ports):
                await nursery.start(EngineServer(settings).run)
            operator = _Operator(ports.operators)
            await _wait_for_engines(daemon)
            await operator.put_profiles()
            result = await _run_load_and_moves(ports, operator, seed)
            await daemon.shut_down()
            nursery.cancel_scope.cancel()
    return result


async def _run_load_and_moves(
    ports: _Ports, operator: "_Operator", seed: int
) -> DemoResult:
    reports: list[LoadReport] = []

    async def run_load() -> None:
        reports.append(await LoadRunner(_load_settings(ports, seed)).run())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_load)
        good_move = await operator.run_move(_move("to-good", "good"))
        bad_move = await operator.run_move(_move("to-bad", "bad", "good"))
    return DemoResult(reports[0], (good_move, bad_move))


class _Operator:
    """Client of the operator API, used by the demo."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client = HttpClient(ClientTimeouts())

    async def put_profiles(self) -> None:
        """Store one profile for each of the two tiers."""
        for name, tier, answer_tokens in (("question", 0, 12), ("summary", 2, 40)):
            profile = Profile(name, 1, _SERVICE, tier, 8_000, answer_tokens)
            body = msgspec.json.encode(profile)
            await self._send("PUT", f"/v1/profiles/{name}", body)

    async def run_move(self, spec: MoveSpec) -> Move:
        """Declare a move and poll it until it has ended."""
        await self._send("POST", "/v1/moves", msgspec.json.encode(spec))
        while True:
            response = await self._send("GET", f"/v1/moves/{spec.name}", b"")
            move = msgspec.json.decode(response.body, type=Move)
            if move.phase.is_final:
                return move
            await trio.sleep(_POLL_INTERVAL_SECONDS)

    async def _send(self, method: str, target: str, body: bytes) -> Response:
        headers = Headers((("host", "demo"), ("authorization", f"Bearer {_TOKEN}")))
        request = Request(method, target, headers, body)
        response = await self._client.send(self._address, request)
        if response.status >= 300:
            raise CommandError(f"demo request refused: {response.body.decode()}")
        return response


async def _wait_for_engines(daemon: Daemon) -> None:
    while True:
        pools = daemon.status().pools
        if pools and pools[0].accepting == 2:
            return
        await trio.sleep(_POLL_INTERVAL_SECONDS)


def _free_ports() -> _Ports:
    callers, operators, peers, *engines = (
        Address(LOOPBACK_HOST, port) for port in free_ports(5)
    )
    return _Ports(callers, operators, peers, tuple(engines))


def _daemon_settings(ports: _Ports) -> DaemonSettings:
    token_hash = hash_token(_TOKEN)
    peers = NamedAddress("entry-1", ports.peers.host, ports.peers.port)
    return DaemonSettings(
        instance=InstanceSettings("entry-1", "marmara", "marmara-1"),
        listen=ListenSettings(ports.callers, ports.operators, ports.peers),
        control=ControlSettings(
            (peers,),
            data_folder="data",
            heartbeat_interval_ms=100,
            member_lease_ms=1_000,
            election_timeout_ms=200,
        ),
        access=AccessSettings(
            (ClientAccountSettings("mill-floor", token_hash, "question"),),
            (OperatorSettings("demo", token_hash),),
            token_hash,
        ),
        services=(
            ServiceSettings(
                _SERVICE, "model", checks_fencing=True, weight_load_interval_ms=50
            ),
        ),
        readiness_grace_ms=0,
    )


def _engine_settings(ports: _Ports) -> list[EngineSettings]:
    announcer = AnnouncerSettings((ports.operators,), _TOKEN, 2_000, 200, 200)
    fault = FaultSettings("bad", "fail", share=0.8)
    return [
        EngineSettings(
            id=f"runner-{number}",
            service=_SERVICE,
            listen=address,
            availability_zone="marmara-1",
            announcer=announcer,
            hardware=f"gen{number}",
            slots=24,
            decode_tokens_per_second=decode_rate,
            crowding=0.01,
            load_ms=200,
            faults=(fault,),
            seed=number,
        )
        for number, (address, decode_rate) in enumerate(
            zip(ports.engines, (200.0, 90.0), strict=True), start=1
        )
    ]


def _load_settings(ports: _Ports, seed: int) -> LoadSettings:
    return LoadSettings(
        targets=(ports.callers,),
        seconds=_LOAD_SECONDS,
        requests_per_second=_REQUESTS_PER_SECOND,
        classes=(
            RequestClass(
                "question",
                3.0,
                0,
                "question",
                _TOKEN,
                8_000,
                prompt=TokenLengths(20, 0.5),
                answer=TokenLengths(6, 0.4, 30),
            ),
            RequestClass(
                "summary",
                1.0,
                2,
                "summary",
                _TOKEN,
                8_000,
                prompt=TokenLengths(400, 0.8, 4_000),
                answer=TokenLengths(20, 0.4, 60),
                shared_prefixes=4,
                prefix_tokens=128,
            ),
        ),
        engines=ports.engines,
        seed=seed,
    )


def _move(name: str, to_version: str, from_version: str = "v1") -> MoveSpec:
    return MoveSpec(
        name,
        _SERVICE,
        from_version,
        to_version,
        finish_within_ms=12_000,
        exposed_requests=10,
        exposed_share=0.3,
        soak_ms=1_000,
        runners=1,
    )
