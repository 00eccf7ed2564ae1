"""Decoder for registrations of runners."""

import ipaddress
import math
from typing import Annotated, Literal

import msgspec

from sassafraspin.backends import Announcement
from sassafraspin.errors import InvalidInput, Problem
from sassafraspin.http import is_header_text
from sassafraspin.settings import Address

__all__ = ["decode_registration"]

_SOURCE = "registration"
_UNKNOWN_HARDWARE = "unknown"
_DRAINING = "draining"

_INITIAL_PREFILL_TOKENS_PER_SECOND = 40_000.0
_INITIAL_DECODE_TOKENS_PER_SECOND = 120.0
"""Initial estimates, corrected by observation. The users' engine specifications give
42.8 prompt tokens per ms and a decode step of at least 6.35 ms."""

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Bounds of what is passed on to other instances in small messages."""

_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

_MAX_PORT_DIGITS = 5


class _Registration(msgspec.Struct):
    """A registration message.

    ``born`` is the Unix time of the runner's start in ms, ``sequence`` counts its
    messages since then, ``version`` is its software version, and ``cold_remaining_ms``
    is how much longer it is slow after its start.
    """

    service: _Name
    address: _Name
    zone: _Name
    version: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    state: Literal["ready", "draining"]
    sequence: _Counter
    born: _Counter = 0
    cold_remaining_ms: _Milliseconds = 0


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
        msgspec.convert(backend_id, _Name)
    except (ValueError, msgspec.DecodeError, RecursionError) as error:
        raise InvalidInput(_SOURCE, (Problem("$", str(error)),)) from error
    if not is_header_text(backend_id):
        message = "no control characters, and no space around it"
        raise InvalidInput(_SOURCE, (Problem("$.id", message),))
    address = _parse_address(item.address)
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
        cold_ms=math.ceil(item.cold_remaining_ms),
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise _invalid_address() from None
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) < 65_536:
        raise _invalid_address()
    return Address(host, int(port))


def _invalid_address() -> InvalidInput:
    return InvalidInput(_SOURCE, (Problem("$.address", "must be IP:PORT"),))
