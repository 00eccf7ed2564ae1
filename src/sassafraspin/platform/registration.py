"""What a runner says of itself, decoded into the announcement of a backend server."""

from typing import Literal

import msgspec

from sassafraspin.backends import Announcement
from sassafraspin.errors import InvalidInput, Problem
from sassafraspin.settings import Address

__all__ = ["decode_registration"]

_SOURCE = "registration"
_HARDWARE = "unknown"
_DRAINING = "draining"

_PREFILL_TOKENS_PER_SECOND = 40_000.0
_DECODE_TOKENS_PER_SECOND = 120.0
"""First guesses, from the engines on the users' sheet: 42.8 prompt tokens in a ms and
a step of 6.35 ms and more. What is observed corrects them."""


class _Registration(msgspec.Struct):
    """A message of a runner.

    ``born`` is the Unix time of its start in ms, ``sequence`` counts its messages since
    then, and ``version`` is that of its software.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal["ready", "draining"]
    sequence: int
    born: int = 0


_DECODER = msgspec.json.Decoder(_Registration)


def decode_registration(backend_id: str, body: bytes, ttl_ms: int) -> Announcement:
    """Return the announcement in a registration.

    Parameters
    ----------
    backend_id : str
        Name of the runner, from the path.
    body : bytes
        Body of the call.
    ttl_ms : int
        Time after which a silent runner counts as gone.

    Raises
    ------
    InvalidInput
        If a field is missing or has another type or meaning.
    """
    try:
        item = _DECODER.decode(body)
        host, _, port = item.address.rpartition(":")
        address = Address(host, int(port))
    except (ValueError, msgspec.DecodeError, RecursionError) as error:
        raise InvalidInput(_SOURCE, (Problem("$", str(error)),)) from error
    _check(item, address)
    return Announcement(
        id=backend_id,
        incarnation=item.born,
        service=item.service,
        address=address,
        availability_zone=item.zone,
        hardware=_HARDWARE,
        versions=(item.version,),
        ttl_ms=ttl_ms,
        slots=item.slots,
        prefill_tokens_per_second=_PREFILL_TOKENS_PER_SECOND,
        decode_tokens_per_second=_DECODE_TOKENS_PER_SECOND,
        leaving=item.state == _DRAINING,
        sequence=item.sequence,
    )


def _check(item: _Registration, address: Address) -> None:
    problems = []
    if item.slots < 1:
        problems.append(Problem("$.slots", "must be at least 1"))
    if not address.host or not 0 < address.port < 65_536:
        problems.append(Problem("$.address", "must be IP:PORT"))
    if item.sequence < 0 or item.born < 0:
        problems.append(Problem("$.sequence", "must not be negative"))
    if problems:
        raise InvalidInput(_SOURCE, tuple(problems))
