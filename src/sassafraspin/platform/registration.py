"""Decoder for registrations of runners."""

from typing import Literal

import msgspec

from sassafraspin.backends import Announcement
from sassafraspin.errors import InvalidInput, Problem
from sassafraspin.settings import Address

__all__ = ["decode_registration"]

_SOURCE = "registration"
_UNKNOWN_HARDWARE = "unknown"
_DRAINING = "draining"

_INITIAL_PREFILL_TOKENS_PER_SECOND = 40_000.0
_INITIAL_DECODE_TOKENS_PER_SECOND = 120.0
"""Initial estimates, corrected by observation. The users' engine specifications give
42.8 prompt tokens per ms and a decode step of at least 6.35 ms."""


class _Registration(msgspec.Struct):
    """A registration message.

    ``born`` is the Unix time of the runner's start in ms, ``sequence`` counts its
    messages since then, and ``version`` is its software version.
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
    """Decode a registration into the announcement of a backend server.

    Parameters
    ----------
    backend_id : str
        Name of the runner, from the request path.
    body : bytes
        Request body.
    ttl_ms : int
        Lifetime of the registration, in milliseconds.

    Raises
    ------
    InvalidInput
        If a field is missing, has the wrong type or is out of range.
    """
    try:
        item = _DECODER.decode(body)
        host, _, port = item.address.rpartition(":")
        address = Address(host, int(port))
    except (ValueError, msgspec.DecodeError, RecursionError) as error:
        raise InvalidInput(_SOURCE, (Problem("$", str(error)),)) from error
    _validate(item, address)
    return Announcement(
        id=backend_id,
        incarnation=item.born,
        service=item.service,
        address=address,
        availability_zone=item.zone,
        hardware=_UNKNOWN_HARDWARE,
        versions=(item.version,),
        ttl_ms=ttl_ms,
        slots=item.slots,
        prefill_tokens_per_second=_INITIAL_PREFILL_TOKENS_PER_SECOND,
        decode_tokens_per_second=_INITIAL_DECODE_TOKENS_PER_SECOND,
        leaving=item.state == _DRAINING,
        sequence=item.sequence,
    )


def _validate(item: _Registration, address: Address) -> None:
    problems = []
    if item.slots < 1:
        problems.append(Problem("$.slots", "must be at least 1"))
    if not address.host or not 0 < address.port < 65_536:
        problems.append(Problem("$.address", "must be IP:PORT"))
    if item.sequence < 0 or item.born < 0:
        problems.append(Problem("$.sequence", "must not be negative"))
    if problems:
        raise InvalidInput(_SOURCE, tuple(problems))
