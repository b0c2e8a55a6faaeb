"""Configuration: schema, generation, revisions, zones and distribution."""

from magnoliaglade.configuration._agent import (
    READER_COUNT,
    AgentState,
    ConfigurationAgent,
)
from magnoliaglade.configuration._check import (
    Problem,
    RackCapacity,
    Severity,
    capacity_of,
    check,
    check_structure,
)
from magnoliaglade.configuration._codec import (
    decode,
    encode,
    from_bytes,
    from_yaml,
    to_bytes,
    to_yaml,
)
from magnoliaglade.configuration._diff import Change, diff
from magnoliaglade.configuration._edits import with_zone_state
from magnoliaglade.configuration._errors import (
    ConfigurationError,
    ConfigurationOutcomeUnknownError,
    ConfigurationUnavailableError,
    ConflictingChangeError,
    InvalidConfigurationError,
)
from magnoliaglade.configuration._intents import ZoneIntentTable
from magnoliaglade.configuration._messages import (
    ConfigRequest,
    ConfigUpdate,
    StoreState,
    ZoneIntent,
    ZoneIntentAck,
)
from magnoliaglade.configuration._questionnaire import (
    AccountAnswer,
    Answers,
    KindAnswer,
    Question,
    ServiceAnswer,
    ZoneAnswer,
    generate,
    key_digest,
    load_answers,
    questions,
)
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
from magnoliaglade.configuration._steps import ConfigurationStep, ZoneStep
from magnoliaglade.configuration._store import (
    ConfigurationStore,
)
from magnoliaglade.configuration._stored import (
    PendingWrite,
    StoredConfiguration,
)
from magnoliaglade.configuration._zones import (
    CONFIRMATION_MAX_AGE_S,
    ZoneControl,
    ZoneGate,
    ZoneReport,
)

__all__ = [
    "CONFIRMATION_MAX_AGE_S",
    "READER_COUNT",
    "AccountAnswer",
    "AccountConfig",
    "AgentState",
    "Answers",
    "CellLevel",
    "Change",
    "ConfigRequest",
    "ConfigUpdate",
    "Configuration",
    "ConfigurationAgent",
    "ConfigurationError",
    "ConfigurationOutcomeUnknownError",
    "ConfigurationStep",
    "ConfigurationStore",
    "ConfigurationUnavailableError",
    "ConflictingChangeError",
    "Guarantee",
    "InvalidConfigurationError",
    "KindAnswer",
    "PendingWrite",
    "Problem",
    "Question",
    "RackCapacity",
    "RequestKind",
    "ServiceAnswer",
    "ServiceConfig",
    "Severity",
    "StoreState",
    "StoredConfiguration",
    "ZoneAnswer",
    "ZoneConfig",
    "ZoneControl",
    "ZoneGate",
    "ZoneIntent",
    "ZoneIntentAck",
    "ZoneIntentTable",
    "ZonePolicy",
    "ZoneReport",
    "ZoneState",
    "ZoneStep",
    "capacity_of",
    "check",
    "check_structure",
    "decode",
    "diff",
    "encode",
    "from_bytes",
    "from_yaml",
    "generate",
    "key_digest",
    "load_answers",
    "questions",
    "to_bytes",
    "to_yaml",
    "with_zone_state",
]
