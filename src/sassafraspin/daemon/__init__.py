"""The daemon process: network I/O and timers around the scheduling state machines."""

from sassafraspin.daemon.access import hash_token
from sassafraspin.daemon.daemon import Daemon
from sassafraspin.daemon.status import InstanceStatus

__all__ = ["Daemon", "InstanceStatus", "hash_token"]
