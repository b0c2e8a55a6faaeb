"""Configuration: schema, generation, revisions, zones and distribution."""

from magnoliaglade.configuration._schema import (
    AccountConfig,
    CellLevel,
    Configuration,
    Guarantee,
    RequestKind,
    ServiceConfig,
    ZoneConfig,
    ZonePolicy,
    ZoneState,
)

__all__ = [
    "AccountConfig",
    "CellLevel",
    "Configuration",
    "Guarantee",
    "RequestKind",
    "ServiceConfig",
    "ZoneConfig",
    "ZonePolicy",
    "ZoneState",
]
