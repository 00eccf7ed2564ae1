"""Selection among heterogeneous backend servers."""

from sassafraspin.routing.choice import (
    BackendChoice,
    again_tokens,
    choose_backend,
    expected_first_token,
    expected_seconds,
    nominal_seconds,
    uncached_tokens,
)

__all__ = [
    "BackendChoice",
    "again_tokens",
    "choose_backend",
    "expected_first_token",
    "expected_seconds",
    "nominal_seconds",
    "uncached_tokens",
]
