"""The daemon process: network I/O and timers around the scheduling state machines."""

from sassafraspin.daemon.access import hash_token
from sassafraspin.daemon.status import InstanceStatus
from sassafraspin.deferred import deferred_attributes

__all__ = ["Daemon", "InstanceStatus", "hash_token"]

__getattr__ = deferred_attributes(__name__, {"Daemon": "sassafraspin.daemon.daemon"})
