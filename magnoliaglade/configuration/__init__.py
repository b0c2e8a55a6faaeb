"""Configuration: schema, generation, revisions, zones and distribution."""

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
from magnoliaglade.configuration._errors import (
    ConfigurationError,
    InvalidConfigurationError,
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

__all__ = [
    "AccountAnswer",
    "AccountConfig",
    "Answers",
    "CellLevel",
    "Change",
    "Configuration",
    "ConfigurationError",
    "Guarantee",
    "InvalidConfigurationError",
    "KindAnswer",
    "Problem",
    "Question",
    "RackCapacity",
    "RequestKind",
    "ServiceAnswer",
    "ServiceConfig",
    "Severity",
    "ZoneAnswer",
    "ZoneConfig",
    "ZonePolicy",
    "ZoneState",
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
]
