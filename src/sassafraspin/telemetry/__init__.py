"""Logs and metrics."""

from sassafraspin.telemetry.logs import LogFormat, configure_logs, part_logger
from sassafraspin.telemetry.metrics import HistogramSummary, Metrics, RequestLabels

__all__ = [
    "HistogramSummary",
    "LogFormat",
    "Metrics",
    "RequestLabels",
    "configure_logs",
    "part_logger",
]
