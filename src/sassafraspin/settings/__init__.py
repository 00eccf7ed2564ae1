"""Daemon settings, fully validated before the daemon starts."""

from sassafraspin.deferred import deferred_attributes
from sassafraspin.settings.constraints import (
    FORBID_UNKNOWN_FIELDS,
    Checked,
    Constraint,
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

__getattr__ = deferred_attributes(
    __name__,
    {
        "check_document": "sassafraspin.settings.document",
        "load_document": "sassafraspin.settings.document",
        "load_settings": "sassafraspin.settings.check",
        "parse_document": "sassafraspin.settings.document",
        "read_document": "sassafraspin.settings.document",
    },
)
