"""Message exchange between the instances of a deployment."""

from sassafraspin.rpc.frames import Acknowledgement, Frame, MessageCodec
from sassafraspin.rpc.link import LinkTimeouts, PeerLink
from sassafraspin.rpc.network import MessageHandler, NetworkUsage, PeerNetwork

__all__ = [
    "Acknowledgement",
    "Frame",
    "LinkTimeouts",
    "MessageCodec",
    "MessageHandler",
    "NetworkUsage",
    "PeerLink",
    "PeerNetwork",
]
