"""Check of a configuration as a whole against the capacity of its workers."""

import collections
import dataclasses
import enum
import functools
from collections.abc import Iterable, Iterator, Mapping

from magnoliaglade.configuration import _errors, _questionnaire, _schema
from magnoliaglade.types import AccountId, ZoneId

# Shares are given in decimals; ten times 0.1 is not exactly 1 in binary.
_SHARE_TOLERANCE = 1e-9


class Severity(enum.Enum):
    """Whether a problem prevents acceptance."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """Something about a configuration that does not add up."""

    severity: Severity
    path: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RackCapacity:
    """Accelerators of each worker in a rack."""

    zone: ZoneId
    accelerators: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Cell:
    account: AccountId
    index: int
    guarantee: _schema.Guarantee


def capacity_of(answers: _questionnaire.Answers) -> tuple[RackCapacity, ...]:
    """Returns the racks that the answers describe."""
    return tuple(
        RackCapacity(
            zone=z.zone,
            accelerators=(z.accelerators_per_worker,) * z.workers_per_rack,
        )
        for z in answers.zones
        for _ in range(z.racks)
    )


def check(
    configuration: _schema.Configuration,
    capacity: tuple[RackCapacity, ...],
) -> tuple[Problem, ...]:
    """Returns every problem: errors of the structure, and missing capacity.

    A guarantee that does not fit with all zones in service is an error, one
    that does not fit while a single zone is out is a warning that names it.
    """
    return (*check_structure(configuration), *_fit(configuration, capacity))


def check_structure(
    configuration: _schema.Configuration,
) -> tuple[Problem, ...]:
    """Returns the problems that need no knowledge of the workers."""
    problems = [
        Problem(
            severity=Severity.ERROR,
            path=path,
            text=f"{name!r} appears {count} times; names must be unique",
        )
        for path, names in _names(configuration)
        for name, count in collections.Counter(names).items()
        if count > 1
    ]
    total = sum(a.request_share for a in configuration.accounts)
    if total > 1 + _SHARE_TOLERANCE:
        text = f"request shares sum to {total:g}; allowed: at most 1"
        problems.append(
            Problem(severity=Severity.ERROR, path="accounts", text=text)
        )
    return (*problems, *_unknown_zones(configuration))


def require_structure(configuration: _schema.Configuration) -> None:
    """Raises for the first problem of the structure.

    Raises:
        InvalidConfigurationError: naming the place.
    """
    for problem in check_structure(configuration):
        raise _errors.InvalidConfigurationError(
            source=f"revision {configuration.revision}",
            path=problem.path,
            found=problem.text,
            allowed="a configuration that passes the check",
        )


def _names(
    configuration: _schema.Configuration,
) -> Iterator[tuple[str, list[str]]]:
    yield "zones", [z.zone for z in configuration.zones]
    yield "accounts", [a.account for a in configuration.accounts]
    yield "services", [s.service for s in configuration.services]
    for s in configuration.services:
        yield f"services[{s.service}].kinds", [k.name for k in s.kinds]
    # One key for two accounts would make the caller's account ambiguous.
    keys = [a.key_digest for a in configuration.accounts]
    yield "accounts[].key_digest", keys


def _unknown_zones(
    configuration: _schema.Configuration,
) -> Iterator[Problem]:
    zones = {z.zone for z in configuration.zones}
    for cell in _guarantees(configuration):
        zone = cell.guarantee.zone
        if zone is not None and zone not in zones:
            yield Problem(
                severity=Severity.ERROR,
                path=_path(cell),
                text=f"zone {zone!r} is not one of {', '.join(sorted(zones))}",
            )


def _fit(
    configuration: _schema.Configuration, capacity: tuple[RackCapacity, ...]
) -> Iterator[Problem]:
    cells = list(_guarantees(configuration))
    always = _missing(cells, capacity)
    for cell, count in always.items():
        text = f"{count} of {cell.guarantee.count} cells do not fit"
        yield Problem(severity=Severity.ERROR, path=_path(cell), text=text)
    for zone in (z.zone for z in configuration.zones):
        remaining = tuple(r for r in capacity if r.zone != zone)
        for cell, count in _missing(cells, remaining).items():
            if cell in always:
                continue
            yield Problem(
                severity=Severity.WARNING,
                path=_path(cell),
                text=f"{count} of {cell.guarantee.count} cells do not fit "
                f"while zone {zone} is out of service",
            )


def _missing(
    cells: Iterable[_Cell], capacity: tuple[RackCapacity, ...]
) -> Mapping[_Cell, int]:
    """Returns the number of cells without a place, by guarantee.

    Bound guarantees go first, then larger cells: a smaller cell fits into what
    larger ones leave, not the other way round.
    """
    racks = [(r.zone, list(r.accelerators)) for r in capacity]
    full = [tuple(r.accelerators) for r in capacity]
    missing: collections.Counter[_Cell] = collections.Counter()
    for cell in sorted(cells, key=_order):
        place = _places[cell.guarantee.level]
        for _ in range(cell.guarantee.count):
            if not place(cell.guarantee, racks, full):
                missing[cell] += 1
    return missing


def _order(cell: _Cell) -> tuple[bool, int, int]:
    levels = [
        _schema.CellLevel.RACK,
        _schema.CellLevel.WORKER,
        _schema.CellLevel.ACCELERATOR,
    ]
    guarantee = cell.guarantee
    level = levels.index(guarantee.level)
    return guarantee.zone is None, level, -guarantee.accelerators


_Racks = list[tuple[ZoneId, list[int]]]


def _usable(guarantee: _schema.Guarantee, racks: _Racks) -> list[int]:
    return [
        i for i, (zone, _) in enumerate(racks) if guarantee.zone in (None, zone)
    ]


def _place_rack(
    guarantee: _schema.Guarantee, racks: _Racks, full: list[tuple[int, ...]]
) -> bool:
    free = [
        i
        for i in _usable(guarantee, racks)
        if sum(full[i]) and tuple(racks[i][1]) == full[i]
    ]
    if not free:
        return False
    free_workers = racks[min(free, key=lambda i: sum(full[i]))][1]
    free_workers[:] = [0] * len(free_workers)
    return True


def _place_worker(
    guarantee: _schema.Guarantee,
    racks: _Racks,
    full: list[tuple[int, ...]],
    *,
    size: int | None = None,
) -> bool:
    # The fullest worker that has room, in the fullest rack.
    found = [
        (free, sum(racks[i][1]), i, w)
        for i in _usable(guarantee, racks)
        for w, free in enumerate(racks[i][1])
        if free >= (size or max(1, full[i][w]))
    ]
    if not found:
        return False
    free, _, i, w = min(found)
    racks[i][1][w] = free - size if size else 0
    return True


def _place_accelerators(
    guarantee: _schema.Guarantee, racks: _Racks, full: list[tuple[int, ...]]
) -> bool:
    size = guarantee.accelerators
    return _place_worker(guarantee, racks, full, size=size)


_places = {
    _schema.CellLevel.RACK: _place_rack,
    _schema.CellLevel.WORKER: functools.partial(_place_worker, size=None),
    _schema.CellLevel.ACCELERATOR: _place_accelerators,
}


def _guarantees(configuration: _schema.Configuration) -> Iterator[_Cell]:
    for account in configuration.accounts:
        for index, guarantee in enumerate(account.guarantees):
            yield _Cell(
                account=account.account, index=index, guarantee=guarantee
            )


def _path(cell: _Cell) -> str:
    return f"accounts[{cell.account}].guarantees[{cell.index}]"
