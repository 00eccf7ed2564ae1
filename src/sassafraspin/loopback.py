"""Loopback ports for the demo, the soak test and the tests."""

import socket

__all__ = ["LOOPBACK_HOST", "free_ports"]

LOOPBACK_HOST = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return distinct loopback ports that are currently free.

    The ports are not reserved: another process may bind them before the caller does.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK_HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
