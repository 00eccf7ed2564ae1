"""Daemon settings, fully validated before the daemon starts."""

from sassafraspin.settings.check import load_settings
from sassafraspin.settings.constraints import (
    FORBID_UNKNOWN_FIELDS,
    Checked,
    Constraint,
)
from sassafraspin.settings.document import (
    check_document,
    load_document,
    parse_document,
    read_document,
)
from sassafraspin.settings.model import (
    AccessSettings,
    Address,
    ClientAccountSettings,
    ControlSettings,
    DaemonSettings,
    DispatchSettings,
    HttpLimits,
    InstanceSettings,
    LedgerSettings,
    ListenSettings,
    Name,
    NamedAddress,
    OperatorSettings,
    ServiceSettings,
    TelemetrySettings,
)

__all__ = [
    "FORBID_UNKNOWN_FIELDS",
    "AccessSettings",
    "Address",
    "Checked",
    "ClientAccountSettings",
    "Constraint",
    "ControlSettings",
    "DaemonSettings",
    "DispatchSettings",
    "HttpLimits",
    "InstanceSettings",
    "LedgerSettings",
    "ListenSettings",
    "Name",
    "NamedAddress",
    "OperatorSettings",
    "ServiceSettings",
    "TelemetrySettings",
    "check_document",
    "load_document",
    "load_settings",
    "parse_document",
    "read_document",
]
