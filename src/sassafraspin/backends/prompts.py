"""Parts of a prompt, as a caller names them."""

from dataclasses import dataclass

__all__ = ["PromptPart", "cacheable_parts", "shared_parts"]

_MAX_SHARED_PARTS = 32
"""Largest number of parts of one prompt that messages and logs carry."""


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt.

    Parameters
    ----------
    id : str
        Identifier; requests with the same part name it alike.
    tokens : int
        Size of the part.
    """

    id: str
    tokens: int


def shared_parts(prompt: tuple[PromptPart, ...]) -> tuple[str, ...]:
    """Return the identifiers of the parts that other requests may have too.

    The last part belongs to the request itself or to its session.
    """
    return tuple(part.id for part in prompt[:-1][:_MAX_SHARED_PARTS])


def cacheable_parts(prompt: tuple[PromptPart, ...]) -> tuple[tuple[str, int], ...]:
    """Return identifier and size of the parts that a prefix cache may hold.

    The last part is included: it may be that of a session with further requests.
    """
    return tuple((part.id, part.tokens) for part in prompt[: _MAX_SHARED_PARTS + 1])
