"""Seeded schedule of the requests of a load run."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from sassafraspin.load.model import LoadSettings, RequestClass, TokenLengths

__all__ = ["PlannedRequest", "plan_requests"]

_BYTES_PER_TOKEN = 4


@dataclass(frozen=True)
class PlannedRequest:
    """A request with its time after the start, in seconds."""

    at: float
    number: int
    request_class: RequestClass
    prompt: str
    answer_tokens: int


def plan_requests(settings: LoadSettings) -> Iterator[PlannedRequest]:
    """Yield the requests of a run in the order of their times."""
    generator = random.Random(settings.seed)
    weights = [item.weight for item in settings.classes]
    at = 0.0
    number = 0
    while True:
        at += generator.expovariate(_rate(settings, at))
        if at >= settings.seconds:
            return
        [chosen] = generator.choices(settings.classes, weights)
        yield PlannedRequest(
            at,
            number,
            chosen,
            _prompt(chosen, number, generator),
            _length(chosen.answer, generator),
        )
        number += 1


def _rate(settings: LoadSettings, at: float) -> float:
    burst = settings.burst
    if burst is not None and at % burst.every_seconds < burst.length_seconds:
        return settings.requests_per_second * burst.factor
    return settings.requests_per_second


def _length(lengths: TokenLengths, generator: random.Random) -> int:
    length = lengths.median * math.exp(lengths.sigma * generator.gauss(0, 1))
    return max(1, min(int(length), lengths.most))


def _prompt(chosen: RequestClass, number: int, generator: random.Random) -> str:
    prefix = ""
    if chosen.shared_prefixes:
        which = generator.randrange(chosen.shared_prefixes)
        prefix = _text(f"{chosen.name} prefix {which} ", chosen.prefix_tokens)
    tokens = _length(chosen.prompt, generator)
    return prefix + _text(f"request {number} ", tokens)


def _text(seed_text: str, tokens: int) -> str:
    length = tokens * _BYTES_PER_TOKEN
    return (seed_text * (length // len(seed_text) + 1))[:length]
