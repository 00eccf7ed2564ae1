"""The daemon: a shell that moves bytes between trio and the aggregates."""

from sassafraspin.daemon.access import hash_token
from sassafraspin.daemon.daemon import Daemon
from sassafraspin.daemon.status import InstanceStatus

__all__ = ["Daemon", "InstanceStatus", "hash_token"]
