"""Backend servers: announcements, load, prefix caches, speed and health."""

from sassafraspin.backends.announcement import Announcement, CacheReport, LoadReport
from sassafraspin.backends.backend import Backend, Reservation
from sassafraspin.backends.backlog import PrefillBacklog
from sassafraspin.backends.evacuation import Evacuation, EvacuationStore
from sassafraspin.backends.notices import (
    ServerNotice,
    ServerNotices,
    ServerRun,
)
from sassafraspin.backends.pace import Pace, PaceChange, PaceReason
from sassafraspin.backends.parts import HeldParts
from sassafraspin.backends.prefixes import (
    PREFIX_BLOCK_BYTES,
    PrefixCacheView,
    prefix_hashes,
)
from sassafraspin.backends.prompts import PromptPart, cacheable_parts, shared_parts
from sassafraspin.backends.rate_limit import STRICT_SHARE, RateLimit
from sassafraspin.backends.retirement import Retirement, RetirementStore
from sassafraspin.backends.speed import SpeedEstimate, TypicalOverhead

__all__ = [
    "PREFIX_BLOCK_BYTES",
    "STRICT_SHARE",
    "Pace",
    "PaceChange",
    "PaceReason",
    "Announcement",
    "Backend",
    "CacheReport",
    "Evacuation",
    "EvacuationStore",
    "HeldParts",
    "LoadReport",
    "PrefixCacheView",
    "PrefillBacklog",
    "PromptPart",
    "RateLimit",
    "Reservation",
    "Retirement",
    "RetirementStore",
    "ServerNotice",
    "ServerNotices",
    "ServerRun",
    "SpeedEstimate",
    "TypicalOverhead",
    "cacheable_parts",
    "prefix_hashes",
    "shared_parts",
]
