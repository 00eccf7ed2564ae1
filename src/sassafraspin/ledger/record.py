"""The record that decides whether a request may be dispatched."""

from enum import IntEnum

import msgspec

__all__ = ["RecordKey", "RecordState", "RequestRecord"]


class RecordState(IntEnum):
    """State of one attempt; a higher number is the later one.

    ``CLAIMED`` covers every step from the intent on: the request may have been
    sent. ``NOT_RUN`` is entered only when it is certain that it was not.
    """

    CLAIMED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    ANSWERED = 4


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """A client account and the idempotency key that it chose."""

    client_account: str
    key: str

    @property
    def placement(self) -> str:
        """Return the text by which the key is placed on members."""
        return f"{self.client_account}\0{self.key}"


class RequestRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest attempt of a request.

    Parameters
    ----------
    key : RecordKey
        Who asked and under which key.
    digest : bytes
        Digest of the request; another request under the same key is refused.
    attempt : int
        Number of the attempt; a new one starts only after ``NOT_RUN``.
    request_id : str
        Identity of the attempt.
    entry : str
        Entry instance that may dispatch it.
    entry_incarnation : int
        Run of that instance.
    state : RecordState
        How far it came.
    """

    key: RecordKey
    digest: bytes
    attempt: int
    request_id: str
    entry: str
    entry_incarnation: int
    state: RecordState

    def supersedes(self, other: "RequestRecord | None") -> bool:
        """Return whether this record says more than another copy."""
        if other is None:
            return True
        return (self.attempt, self.state) > (other.attempt, other.state)
