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
    """A scheduled request; ``at`` is in seconds after the start of the run."""

    at: float
    number: int
    request_class: RequestClass
    prompt: str
    answer_tokens: int


def plan_requests(settings: LoadSettings) -> Iterator[PlannedRequest]:
    """Yield the requests of a run, ordered by time."""
    generator = random.Random(settings.seed)
    weights = [item.weight for item in settings.classes]
    at = 0.0
    number = 0
    while True:
        at += generator.expovariate(_rate(settings, at))
        if at >= settings.seconds:
            return
        [request_class] = generator.choices(settings.classes, weights)
        yield PlannedRequest(
            at,
            number,
            request_class,
            _prompt(request_class, number, generator),
            _length(request_class.answer, generator),
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


def _prompt(request_class: RequestClass, number: int, generator: random.Random) -> str:
    prefix = ""
    if request_class.shared_prefixes:
        prefix_number = generator.randrange(request_class.shared_prefixes)
        prefix = _repeat_to_length(
            f"{request_class.name} prefix {prefix_number} ", request_class.prefix_tokens
        )
    tokens = _length(request_class.prompt, generator)
    return prefix + _repeat_to_length(f"request {number} ", tokens)


def _repeat_to_length(text: str, tokens: int) -> str:
    length = tokens * _BYTES_PER_TOKEN
    return (text * (length // len(text) + 1))[:length]
