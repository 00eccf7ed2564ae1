"""Signatures: what requests that crash servers may have in common.

A signature is the identifier of a prompt part, or the digest of a whole request. Parts
contain no colon, which tells the two apart.
"""

import enum
import hashlib

__all__ = ["SignatureKind", "request_signature", "signature_kind"]

_REQUEST_PREFIX = "request:"
_DIGEST_BYTES = 12


class SignatureKind(enum.Enum):
    """What a signature stands for."""

    PART = "part"
    REQUEST = "request"


def signature_kind(signature: str) -> SignatureKind:
    """Return what a signature stands for."""
    is_request = signature.startswith(_REQUEST_PREFIX)
    return SignatureKind.REQUEST if is_request else SignatureKind.PART


def request_signature(
    service: str, account: str, method: str, target: str, body: bytes
) -> str:
    """Return the signature that equal requests of an account to a service share.

    Identifiers, time limits and connection headers differ between equal requests and
    are not covered.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (service, account, method, target):
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return _REQUEST_PREFIX + digest.hexdigest()
