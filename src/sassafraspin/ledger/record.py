"""Request record that decides whether a request may be dispatched."""

from enum import IntEnum

import msgspec

__all__ = ["RecordKey", "RecordState", "RequestRecord"]


class RecordState(IntEnum):
    """State of one attempt; a higher value supersedes a lower one.

    ``CLAIMED`` means that the request may have been sent. ``NOT_RUN`` is set only if
    the request was certainly not sent. ``UNKNOWN`` means that the request may have been
    executed, but its result is not known.
    """

    CLAIMED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    ANSWERED = 4


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """A client account and one of its idempotency keys."""

    client_account: str
    key: str

    @property
    def hash_key(self) -> str:
        """Return the hash key that determines the members storing the record."""
        return f"{self.client_account}\0{self.key}"


class RequestRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of the newest attempt of a request.

    Parameters
    ----------
    key : RecordKey
        Client account and idempotency key.
    digest : bytes
        Digest of the request; a different request with the same key is rejected.
    attempt : int
        Attempt number; a new attempt is allowed only after ``NOT_RUN``.
    request_id : str
        Request ID of the attempt.
    entry : str
        Entry instance that may dispatch the request.
    entry_incarnation : int
        Incarnation of the entry instance.
    state : RecordState
        State of the attempt.
    """

    key: RecordKey
    digest: bytes
    attempt: int
    request_id: str
    entry: str
    entry_incarnation: int
    state: RecordState

    def supersedes(self, other: "RequestRecord | None") -> bool:
        """Return whether this record is newer than another copy."""
        if other is None:
            return True
        return (self.attempt, self.state) > (other.attempt, other.state)
