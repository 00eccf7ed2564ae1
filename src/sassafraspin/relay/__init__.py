"""Tunnels to backend servers through other instances.

An instance that is partitioned from all backend servers reaches them through a tunnel
that ends in the same state as a direct connection: whatever concerns a call stays at
the instance that accepted it (docs/design/relay.md).
"""

from sassafraspin.relay.connector import RelayConnector
from sassafraspin.relay.messages import TunnelReply, TunnelRequest
from sassafraspin.relay.reachability import PathMonitor
from sassafraspin.relay.tunnel_server import TUNNEL_BYTES, TunnelRefused, TunnelServer

__all__ = [
    "PathMonitor",
    "RelayConnector",
    "TUNNEL_BYTES",
    "TunnelRefused",
    "TunnelReply",
    "TunnelRequest",
    "TunnelServer",
]
