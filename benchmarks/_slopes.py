"""Points, fitted slopes and rows for the benchmarks of pure parts."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgpack

_REFERENCE_ROUNDS = 2000
_REFERENCE = {"names": [f"name-{n}" for n in range(100)]}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """Measured values of one subject by size.

    Attributes:
        subject: name in the metric.
        unit: unit of a value.
        per: what a size counts.
        points: pairs of size and value.
    """

    subject: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Value per unit of size, by least squares."""
        return statistics.linear_regression(*zip(*self.points, strict=True))[0]

    @property
    def fixed(self) -> float:
        """Value at size 0, by least squares."""
        return statistics.linear_regression(*zip(*self.points, strict=True))[1]


def series(subject: str, unit: str, per: str, points: Any) -> Series:
    """Returns a series of points."""
    return Series(subject=subject, unit=unit, per=per, points=tuple(points))


def rows(measured: Series, *, seed: int, reference_s: float) -> list[dict]:
    """Returns a row per size, the slope and the fixed part.

    Times are also given as multiples of the reference operation.
    """
    is_time = measured.unit == "CPU-s"
    baseline = reference_s if is_time else None
    per = f"{measured.unit} per {measured.per}"
    named = [
        (f"@{size:g}", measured.unit, value) for size, value in measured.points
    ]
    named += [(".slope", per, measured.slope)]
    named += [(".fixed", measured.unit, measured.fixed)]
    return [
        {
            "metric": f"slopes.{measured.subject}{suffix}",
            "unit": unit,
            "value": float(f"{value:.5g}"),
            "baseline": baseline and float(f"{baseline:.5g}"),
            "ratio": baseline and float(f"{value / baseline:.5g}"),
            "seed": seed,
        }
        for suffix, unit, value in named
    ]


def reference_s() -> float:
    """Returns the processor time of packing and unpacking 100 short texts."""

    def work() -> None:
        for _ in range(_REFERENCE_ROUNDS):
            msgpack.unpackb(msgpack.packb(_REFERENCE))

    return median_cpu_s(work) / _REFERENCE_ROUNDS


def median_cpu_s(work: Callable[[], Any], *, repeats: int = 5) -> float:
    """Returns the median processor time of a call."""
    times = []
    for _ in range(repeats):
        gc.collect()
        begun_s = time.process_time()
        work()
        times.append(time.process_time() - begun_s)
    return statistics.median(times)


def held_bytes(build: Callable[[], Any]) -> tuple[Any, int]:
    """Returns what `build` makes and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        made = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return made, after - before
