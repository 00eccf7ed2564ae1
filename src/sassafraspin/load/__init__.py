"""Open-loop load generator with a seeded mix of requests."""

from sassafraspin.load.model import (
    BurstSettings,
    LoadSettings,
    RequestClass,
    TokenLengths,
)
from sassafraspin.load.report import LoadRecorder, LoadReport, ResultKind, TierReport
from sassafraspin.load.runner import LoadRunner
from sassafraspin.load.schedule import PlannedRequest, plan_requests

__all__ = [
    "BurstSettings",
    "LoadRecorder",
    "LoadReport",
    "LoadRunner",
    "LoadSettings",
    "PlannedRequest",
    "RequestClass",
    "ResultKind",
    "TierReport",
    "TokenLengths",
    "plan_requests",
]
