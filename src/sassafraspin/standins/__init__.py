"""Stand-ins for backend servers: simulated model engines and plain services."""

from sassafraspin.standins.engine import EngineServer
from sassafraspin.standins.engine_core import EngineCore
from sassafraspin.standins.model import (
    AnnouncerSettings,
    EngineSettings,
    FaultSettings,
    PlainServiceSettings,
)
from sassafraspin.standins.service import PlainServer

__all__ = [
    "AnnouncerSettings",
    "EngineCore",
    "EngineServer",
    "EngineSettings",
    "FaultSettings",
    "PlainServer",
    "PlainServiceSettings",
]
