"""Checks a whole configuration against the capacity of its workers."""

import collections
import dataclasses
import enum
import functools
from collections.abc import Iterable, Iterator, Mapping

from magnoliaglade.configuration import _errors, _questionnaire, _schema
from magnoliaglade.types import AccountId, ZoneId

# Shares are decimal fractions: in binary floating point, ten times 0.1 does not
# add up to exactly 1.
_SHARE_TOLERANCE = 1e-9


class Severity(enum.Enum):
    """Severity of a problem; an error prevents acceptance."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """A problem that the check found in a configuration.

    Attributes:
        severity: whether the problem prevents acceptance.
        path: place in the configuration, such as `accounts[a].guarantees[0]`.
        text: description of the problem.
    """

    severity: Severity
    path: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RackCapacity:
    """Capacity of one rack.

    Attributes:
        zone: availability zone of the rack.
        accelerators: number of accelerators of each worker in the rack.
    """

    zone: ZoneId
    accelerators: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _GuaranteeEntry:
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

    A guarantee that does not fit with all zones in service is an error. One
    that does not fit while a single zone is out of service is a warning that
    names the zone.
    """
    return (
        *check_structure(configuration),
        *_check_capacity(configuration, capacity),
    )


def check_structure(
    configuration: _schema.Configuration,
) -> tuple[Problem, ...]:
    """Returns the problems that can be found without the capacity."""
    problems = [
        Problem(
            severity=Severity.ERROR,
            path=path,
            text=f"{name!r} appears {count} times; names must be unique",
        )
        for path, names in _iter_names(configuration)
        for name, count in collections.Counter(names).items()
        if count > 1
    ]
    total = sum(a.request_share for a in configuration.accounts)
    if total > 1 + _SHARE_TOLERANCE:
        text = f"request shares sum to {total:g}; allowed: at most 1"
        problems.append(
            Problem(severity=Severity.ERROR, path="accounts", text=text)
        )
    return (*problems, *_check_zones(configuration))


def require_structure(configuration: _schema.Configuration) -> None:
    """Raises an error for the first problem of the structure.

    Raises:
        InvalidConfigurationError: the structure has a problem; `path` is its
            place.
    """
    for problem in check_structure(configuration):
        raise _errors.InvalidConfigurationError(
            source=f"revision {configuration.revision}",
            path=problem.path,
            found=problem.text,
            allowed="a configuration that passes the check",
        )


def _iter_names(
    configuration: _schema.Configuration,
) -> Iterator[tuple[str, list[str]]]:
    yield "zones", [z.zone for z in configuration.zones]
    yield "accounts", [a.account for a in configuration.accounts]
    yield "services", [s.service for s in configuration.services]
    for s in configuration.services:
        yield f"services[{s.service}].kinds", [k.name for k in s.kinds]
    # A key shared by two accounts would make the caller's account ambiguous.
    keys = [a.key_digest for a in configuration.accounts]
    yield "accounts[].key_digest", keys


def _check_zones(
    configuration: _schema.Configuration,
) -> Iterator[Problem]:
    zones = {z.zone for z in configuration.zones}
    for entry in _iter_guarantees(configuration):
        zone = entry.guarantee.zone
        if zone is not None and zone not in zones:
            yield Problem(
                severity=Severity.ERROR,
                path=_path(entry),
                text=f"zone {zone!r} is not one of {', '.join(sorted(zones))}",
            )


def _check_capacity(
    configuration: _schema.Configuration, capacity: tuple[RackCapacity, ...]
) -> Iterator[Problem]:
    entries = list(_iter_guarantees(configuration))
    unplaced_with_all_zones = _count_unplaced(entries, capacity)
    for entry, count in unplaced_with_all_zones.items():
        text = f"{count} of {entry.guarantee.count} cells do not fit"
        yield Problem(severity=Severity.ERROR, path=_path(entry), text=text)
    for zone in (z.zone for z in configuration.zones):
        remaining = tuple(r for r in capacity if r.zone != zone)
        for entry, count in _count_unplaced(entries, remaining).items():
            if entry in unplaced_with_all_zones:
                continue
            yield Problem(
                severity=Severity.WARNING,
                path=_path(entry),
                text=f"{count} of {entry.guarantee.count} cells do not fit "
                f"while zone {zone} is out of service",
            )


def _count_unplaced(
    entries: Iterable[_GuaranteeEntry], capacity: tuple[RackCapacity, ...]
) -> Mapping[_GuaranteeEntry, int]:
    """Returns the number of cells that could not be placed, by guarantee.

    Guarantees bound to a zone are placed first, then larger cells before
    smaller ones: a small cell fits into the capacity that large cells leave
    over, but not vice versa.
    """
    racks = [(r.zone, list(r.accelerators)) for r in capacity]
    capacities = [tuple(r.accelerators) for r in capacity]
    unplaced: collections.Counter[_GuaranteeEntry] = collections.Counter()
    for entry in sorted(entries, key=_packing_order):
        place = _place_by_level[entry.guarantee.level]
        for _ in range(entry.guarantee.count):
            if not place(entry.guarantee, racks, capacities):
                unplaced[entry] += 1
    return unplaced


def _packing_order(entry: _GuaranteeEntry) -> tuple[bool, int, int]:
    levels = [
        _schema.CellLevel.RACK,
        _schema.CellLevel.WORKER,
        _schema.CellLevel.ACCELERATOR,
    ]
    guarantee = entry.guarantee
    level = levels.index(guarantee.level)
    return guarantee.zone is None, level, -guarantee.accelerators


_FreeRacks = list[tuple[ZoneId, list[int]]]


def _eligible_racks(
    guarantee: _schema.Guarantee, racks: _FreeRacks
) -> list[int]:
    return [
        i for i, (zone, _) in enumerate(racks) if guarantee.zone in (None, zone)
    ]


def _place_rack(
    guarantee: _schema.Guarantee,
    racks: _FreeRacks,
    capacities: list[tuple[int, ...]],
) -> bool:
    empty = [
        i
        for i in _eligible_racks(guarantee, racks)
        if sum(capacities[i]) and tuple(racks[i][1]) == capacities[i]
    ]
    if not empty:
        return False
    free_workers = racks[min(empty, key=lambda i: sum(capacities[i]))][1]
    free_workers[:] = [0] * len(free_workers)
    return True


def _place_worker(
    guarantee: _schema.Guarantee,
    racks: _FreeRacks,
    capacities: list[tuple[int, ...]],
    *,
    size: int | None = None,
) -> bool:
    # Best fit: the worker with the least sufficient free capacity; among equals
    # the one in the rack with the least free capacity.
    candidates = [
        (free, sum(racks[i][1]), i, w)
        for i in _eligible_racks(guarantee, racks)
        for w, free in enumerate(racks[i][1])
        if free >= (size or max(1, capacities[i][w]))
    ]
    if not candidates:
        return False
    free, _, i, w = min(candidates)
    racks[i][1][w] = free - size if size else 0
    return True


def _place_accelerators(
    guarantee: _schema.Guarantee,
    racks: _FreeRacks,
    capacities: list[tuple[int, ...]],
) -> bool:
    size = guarantee.accelerators
    return _place_worker(guarantee, racks, capacities, size=size)


_place_by_level = {
    _schema.CellLevel.RACK: _place_rack,
    _schema.CellLevel.WORKER: functools.partial(_place_worker, size=None),
    _schema.CellLevel.ACCELERATOR: _place_accelerators,
}


def _iter_guarantees(
    configuration: _schema.Configuration,
) -> Iterator[_GuaranteeEntry]:
    for account in configuration.accounts:
        for index, guarantee in enumerate(account.guarantees):
            yield _GuaranteeEntry(
                account=account.account, index=index, guarantee=guarantee
            )


def _path(entry: _GuaranteeEntry) -> str:
    return f"accounts[{entry.account}].guarantees[{entry.index}]"
