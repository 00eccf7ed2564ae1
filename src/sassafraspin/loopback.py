"""Ports for processes on this machine: the demo, the soak and the tests."""

import socket

__all__ = ["LOOPBACK_HOST", "free_ports"]

LOOPBACK_HOST = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK_HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
