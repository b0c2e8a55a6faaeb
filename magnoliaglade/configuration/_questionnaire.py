"""The questionnaire for a team, and generation from its answers."""

import dataclasses
import hashlib
import pathlib
from typing import Any

from magnoliaglade.configuration import _codec, _constraints, _errors, _schema
from magnoliaglade.types import AccountId, Revision, ZoneId


def _question_field(
    question: str, constraint: _constraints.Constraint | None = None, **kw: Any
) -> Any:
    metadata: dict[str, Any] = {"question": question}
    if constraint is not None:
        metadata["constraint"] = constraint
    return dataclasses.field(metadata=metadata, **kw)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneAnswer:
    """An availability zone and the workers in it."""

    zone: ZoneId = _question_field("Name of the zone?", _constraints.NAME)
    region: str = _question_field("Region of the zone?", _constraints.NAME)
    racks: int = _question_field(
        "Number of racks with workers?", _constraints.COUNT
    )
    workers_per_rack: int = _question_field(
        "Workers per rack?", _constraints.COUNT
    )
    accelerators_per_worker: int = _question_field(
        "Accelerators per worker?", _constraints.COUNT
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountAnswer:
    """A client account."""

    account: AccountId = _question_field(
        "Name of the account?", _constraints.NAME
    )
    purpose: str = _question_field("What is the account used for?")
    key_digest: str = _question_field(
        "SHA-256 digest of the account's key?", _constraints.DIGEST
    )
    guarantees: tuple[_schema.Guarantee, ...] = _question_field(
        "Which cells must be reclaimable at any time?", default=()
    )
    request_share: float = _question_field(
        "Guaranteed share of request slots, 0 to 1?",
        _constraints.SHARE,
        default=0.0,
    )
    weight: float = _question_field(
        "Weight for capacity beyond the guarantees?",
        _constraints.POSITIVE,
        default=1.0,
    )
    max_accelerators: int | None = _question_field(
        "Largest number of accelerators in use? Null is unlimited.",
        _constraints.QUOTA,
        default=None,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class KindAnswer:
    """A kind of request; `idempotent` has no default."""

    name: str = _question_field(
        "Name of the kind of request?", _constraints.NAME
    )
    idempotent: bool = _question_field(
        "Is a second run of the request harmless?"
    )
    deadline_s: float = _question_field(
        "Deadline in seconds when the caller gives none?",
        _constraints.POSITIVE,
    )
    max_body_bytes: int = _question_field(
        "Largest request body in bytes?",
        _constraints.BODY_BYTES,
        default=1_048_576,
    )
    progress_timeout_s: float = _question_field(
        "Longest time in seconds without a byte of the answer?",
        _constraints.POSITIVE,
        default=5.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """A service that runs on the executors."""

    service: str = _question_field("Name of the service?", _constraints.NAME)
    kinds: tuple[KindAnswer, ...] = _question_field("Which kinds of request?")
    slots_per_upstream: int = _question_field(
        "Requests that an executor runs at once?", _constraints.COUNT
    )
    connections_per_upstream: int = _question_field(
        "Connections that an executor accepts?", _constraints.COUNT
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answers:
    """All answers of a deployment."""

    team: str = _question_field("Name of the team?", _constraints.NAME)
    work: str = _question_field("What does the team's work consist of?")
    zones: tuple[ZoneAnswer, ...] = _question_field("Which availability zones?")
    zone_policy: _schema.ZonePolicy = _question_field(
        "What happens to running tasks when their zone is removed?"
    )
    entry_instances: int = _question_field(
        "Largest number of entry instances?", _constraints.COUNT
    )
    accounts: tuple[AccountAnswer, ...] = _question_field(
        "Which client accounts?"
    )
    services: tuple[ServiceAnswer, ...] = _question_field("Which services?")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Question:
    """One question of the questionnaire.

    Attributes:
        path: place of the answer in the answers file; `[]` stands for the
            items of a list.
        text: text of the question.
        allowed: description of the accepted values; empty without a
            constraint.
        is_required: whether the answer has no default.
    """

    path: str
    text: str
    allowed: str
    is_required: bool


def questions() -> tuple[Question, ...]:
    """Returns all questions in the order of the answers file."""
    nested = {
        "zones": ZoneAnswer,
        "accounts": AccountAnswer,
        "services": ServiceAnswer,
        "services[].kinds": KindAnswer,
    }
    return tuple(_iter_questions(Answers, "", nested))


def load_answers(path: pathlib.Path) -> Answers:
    """Returns the answers read from a file.

    Raises:
        InvalidConfigurationError: the file cannot be read or an answer is not
            allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise _errors.InvalidConfigurationError(
            source=str(path),
            path="",
            found=str(error),
            allowed="a readable file in UTF-8",
        ) from error
    return _codec.from_yaml(Answers, text, source=str(path))


def generate(
    answers: Answers, *, previous: _schema.Configuration | None = None
) -> _schema.Configuration:
    """Returns the configuration generated as the successor of `previous`.

    Zones that operators have removed stay removed: the state of a zone is not
    an answer, so an amended answer cannot return a zone by accident.
    """
    states = {z.zone: z.state for z in previous.zones} if previous else {}
    revision = previous.revision + 1 if previous else 1
    return _schema.Configuration(
        revision=Revision(revision),
        zones=tuple(
            _schema.ZoneConfig(
                zone=z.zone,
                region=z.region,
                state=states.get(z.zone, _schema.ZoneState.IN_SERVICE),
            )
            for z in answers.zones
        ),
        accounts=tuple(_generate_account(a) for a in answers.accounts),
        services=tuple(_generate_service(s) for s in answers.services),
        zone_policy=answers.zone_policy,
        entry_instances=answers.entry_instances,
        answers=_codec.to_yaml(answers),
    )


def key_digest(key: str) -> str:
    """Returns the digest under which an account's key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def _generate_account(answer: AccountAnswer) -> _schema.AccountConfig:
    values = dict(vars(answer))
    del values["purpose"]
    return _schema.AccountConfig(**values)


def _generate_service(answer: ServiceAnswer) -> _schema.ServiceConfig:
    values = dict(vars(answer))
    kinds = tuple(_schema.RequestKind(**vars(k)) for k in answer.kinds)
    return _schema.ServiceConfig(**values | {"kinds": kinds})


def _iter_questions(cls: Any, prefix: str, nested: dict[str, Any]) -> Any:
    for field in dataclasses.fields(cls):
        path = prefix + field.name
        constraint = field.metadata.get("constraint")
        yield Question(
            path=path,
            text=field.metadata["question"],
            allowed=str(constraint or ""),
            is_required=field.default is dataclasses.MISSING,
        )
        if path in nested:
            yield from _iter_questions(nested[path], f"{path}[].", nested)
