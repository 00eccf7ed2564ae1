"""Bearer-token authentication of callers, operators and backend servers."""

import hashlib
import hmac

from sassafraspin.http import Request, Unauthorized
from sassafraspin.settings import (
    AccessSettings,
    ClientAccountSettings,
    OperatorSettings,
)

__all__ = ["AccessControl", "hash_token"]


def hash_token(token: str) -> str:
    """Return the hexadecimal SHA-256 of a token, the form stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


class AccessControl:
    """Authenticates requests by their bearer token.

    Parameters
    ----------
    settings : AccessSettings
        Accounts and operators with the hashes of their tokens.
    """

    def __init__(self, settings: AccessSettings) -> None:
        self._accounts = {item.token_sha256: item for item in settings.client_accounts}
        self._operators = {item.token_sha256: item for item in settings.operators}
        self._backend_server_hash = settings.backend_server_token_sha256

    def authenticate_client(self, request: Request) -> ClientAccountSettings:
        """Return the client account that sent a request; raises ``Unauthorized``."""
        account = self._accounts.get(_token_hash(request))
        if account is None:
            raise Unauthorized
        return account

    def authenticate_operator(self, request: Request) -> OperatorSettings:
        """Return the operator that sent a request; raises ``Unauthorized``."""
        operator = self._operators.get(_token_hash(request))
        if operator is None:
            raise Unauthorized
        return operator

    def check_backend_server(self, request: Request) -> None:
        """Check the token of a backend server; raises ``Unauthorized``."""
        token_hash = _token_hash(request)
        if not hmac.compare_digest(token_hash, self._backend_server_hash):
            raise Unauthorized


def _token_hash(request: Request) -> str:
    """Return the hash of the bearer token; raises ``Unauthorized`` without one.

    Tokens are looked up by hash, so the lookup time reveals nothing about a token.
    """
    scheme, _, token = (request.headers.get("authorization") or "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise Unauthorized
    return hash_token(token.strip())
