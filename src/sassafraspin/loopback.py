"""Loopback ports for the demo, the soak test and the tests."""

import random
import socket

__all__ = ["LOOPBACK_HOST", "free_ports"]

LOOPBACK_HOST = "127.0.0.1"

_PORTS = range(20_000, 32_000)
"""Below the range from which systems take the ports of outgoing connections: one of
these could take a port before the caller binds it."""


def free_ports(count: int) -> list[int]:
    """Return distinct loopback ports that are currently free.

    The ports are not reserved: another process may bind them before the caller does.
    """
    ports: list[int] = []
    for port in random.SystemRandom().sample(_PORTS, len(_PORTS)):
        if len(ports) == count:
            break
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as item:
        try:
            item.bind((LOOPBACK_HOST, port))
        except OSError:
            return False
    return True
