"""Signatures: what requests that crash servers may have in common."""

import hashlib

__all__ = ["request_signature"]

_DIGEST_BYTES = 12


def request_signature(
    service: str, account: str, method: str, target: str, body: bytes
) -> str:
    """Return the digest that equal requests of an account to a service share.

    Identifiers, time limits and connection headers differ between equal requests and
    are not covered.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (service, account, method, target):
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
