"""Stores the lasting speeds of the workers across terms.

A new coordinator starts with them, since learning them anew takes 10 to 15 s of
an ordinary load, in which urgent gangs are placed on slow workers.
"""

import math
from collections.abc import Mapping
from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade import exceptions, observability, placement
from magnoliaglade.coordinator._journal import Journal
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.jobs import keys
from magnoliaglade.placement import SpeedEvidence
from magnoliaglade.types import Lifetime, WorkerId

# Interval between two checks for changes, and so between two writes, in
# seconds.
STORE_INTERVAL_S = 2.0
# Changes of the logarithm of a speed, and of its standard deviation as a
# factor, that are stored. A step of placement is 0.2.
MIN_LOG_CHANGE = 0.1
MIN_DEVIATION_FACTOR = 1.5
# Limits on the value: some thousand workers, and well below the 64 KB of a
# transaction, which it shares with the records of jobs.
MAX_WORKERS = 2_000
MAX_BYTES = 32_768
# Numbers are stored as integers in this unit, which keeps the value small.
UNIT = 0.001
# Time, in seconds, for which estimates of unlisted workers are kept after they
# were loaded: the list of workers may be late.
UNLISTED_RETENTION_S = 30.0
# Range of what is read: a logarithm of a speed, and a variance.
_MAX_LOG = 3.0
_MIN_VARIANCE = 1.0 / 1_000.0

# Logarithm of the speed and its variance in `UNIT`, and the lifetime.
_Row = tuple[int, int, Lifetime]


class SpeedRecordError(exceptions.MagnoliagladeError):
    """The stored estimates cannot be read."""


class SpeedStore:
    """Writes the lasting speeds when they have changed, and loads them.

    Nothing is written while the workers of the pool count as equal.

    Attributes:
        clock: source of time.
        journal: stores the estimates on the condition that the term lasts.
        speeds: estimates the speeds of the workers.
        links: links to the workers.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        journal: Journal,
        speeds: placement.SpeedEstimator,
        links: Mapping[WorkerId, WorkerLink],
    ) -> None:
        self.clock = clock
        self.journal = journal
        self.speeds = speeds
        self.links = links
        self._stored: dict[WorkerId, _Row] = {}
        self._spread_known = False
        self._loaded_at_s = float("-inf")

    def load(self, value: bytes) -> None:
        """Sets the estimates to stored ones; without effect if unreadable."""
        try:
            rows = decode_speeds(value)
        except SpeedRecordError as error:
            observability.log_event(
                "speeds", state="unreadable", reason=str(error)
            )
            return
        self._stored = rows
        self._loaded_at_s = self.clock.now()
        self.speeds.load(
            {
                worker: SpeedEvidence(
                    mean=log * UNIT, precision=1.0 / (variance * UNIT)
                )
                for worker, (log, variance, _) in rows.items()
            },
            lifetimes={w: lifetime for w, (_, _, lifetime) in rows.items()},
        )
        self._log_spread("loaded")

    async def run(self) -> None:
        """Stores changed estimates at a fixed interval until cancelled."""
        while True:
            await self.clock.sleep(STORE_INTERVAL_S)
            self._remove_unlisted()
            spread_known = bool(self.speeds.lasting_.spread_)
            if spread_known != self._spread_known:
                self._log_spread("different" if spread_known else "equal")
            rows = self._current_rows()
            if _has_changed(self._stored, rows):
                self._stored = rows
                # Encoded when it is written, as an earlier write may wait for
                # the store.
                self.journal.write(
                    keys.SPEEDS_KEY, lambda: encode_speeds(self._stored)
                )

    def _log_spread(self, state: str) -> None:
        lasting = self.speeds.lasting_
        self._spread_known = bool(lasting.spread_)
        observability.log_event(
            "speeds",
            state=state,
            spread=round(lasting.spread_, 3),
            workers=len(lasting.evidence_),
            known=lasting.known_count,
        )

    def _remove_unlisted(self) -> None:
        """Removes loaded estimates of workers that have left meanwhile."""
        if self.clock.now() - self._loaded_at_s < UNLISTED_RETENTION_S:
            return
        for worker in list(self.speeds.lasting_.evidence_):
            if worker not in self.links:
                self.speeds.reset_worker(worker)

    def _current_rows(self) -> dict[WorkerId, _Row]:
        """Returns what should be stored; nothing if the workers are equal."""
        lasting = self.speeds.lasting_
        if not lasting.spread_:
            return {}
        found = sorted(
            lasting.evidence_.items(), key=lambda x: (-x[1].precision, x[0])
        )
        return {
            worker: (
                round((evidence.mean - lasting.center_) / UNIT),
                max(1, round(evidence.variance / UNIT)),
                self.speeds.lifetimes_[worker],
            )
            for worker, evidence in found[:MAX_WORKERS]
            if worker in self.speeds.lifetimes_
        }


def encode_speeds(rows: Mapping[WorkerId, _Row]) -> bytes:
    """Returns the stored form, with as many workers as the limit allows."""
    packed: list[tuple[bytes, bytes]] = []
    size_bytes = 0
    for worker, row in rows.items():
        item = (msgpack.packb(worker), msgpack.packb(row))
        size_bytes += len(item[0]) + len(item[1])
        if size_bytes > MAX_BYTES:
            break
        packed.append(item)
    header = msgpack.Packer().pack_map_header(len(packed))
    return header + b"".join(key + value for key, value in packed)


def decode_speeds(value: bytes) -> dict[WorkerId, _Row]:
    """Returns the logarithm, the variance and the lifetime by worker.

    Raises:
        SpeedRecordError: the value is unreadable.
    """
    try:
        plain = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise SpeedRecordError(f"no msgpack: {error}") from error
    if not isinstance(plain, dict):
        raise SpeedRecordError("not a map")
    return {
        WorkerId(worker): _decode_row(worker, row)
        for worker, row in plain.items()
    }


def _decode_row(worker: Any, row: Any) -> _Row:
    if not isinstance(worker, str) or not isinstance(row, list):
        raise SpeedRecordError("not a row for a worker")
    if len(row) != 3 or not all(_is_integer(x) for x in row):
        raise SpeedRecordError(f"row of {worker!r} is not three integers")
    log, variance, lifetime = row
    if abs(log) * UNIT > _MAX_LOG or variance * UNIT < _MIN_VARIANCE:
        raise SpeedRecordError(f"row of {worker!r} is out of range")
    return (log, variance, Lifetime(lifetime))


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _has_changed(
    stored: Mapping[WorkerId, _Row], current: Mapping[WorkerId, _Row]
) -> bool:
    """Returns whether the difference matters to a successor."""
    if stored.keys() != current.keys():
        return True
    return any(_differ(row, stored[worker]) for worker, row in current.items())


def _differ(first: _Row, second: _Row) -> bool:
    deviations = sorted(math.sqrt(x[1]) for x in (first, second))
    return (
        first[2] != second[2]
        or abs(first[0] - second[0]) * UNIT >= MIN_LOG_CHANGE
        or deviations[1] >= MIN_DEVIATION_FACTOR * deviations[0]
    )
