"""Rows and columns of the fault matrix, and what a cell observes."""

import dataclasses
import enum
import itertools
from collections.abc import Awaitable, Callable, Iterable

from magnoliaglade.faults import Fault, Promise


@dataclasses.dataclass(kw_only=True)
class Findings:
    """Checks that a run made, and the violations that they found."""

    checked: set = dataclasses.field(default_factory=set)
    violations: list = dataclasses.field(default_factory=list)
    crossed: set = dataclasses.field(default_factory=set)
    has_fired: bool = False

    def check(self, promise: Promise, problems: Iterable[str]) -> None:
        self.checked.add(promise)
        self.violations += [(promise, problem) for problem in problems]

    def broken(self) -> set:
        return {promise for promise, _ in self.violations}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Protocol:
    """A protocol: its steps, promises, exceptions and driver.

    Attributes:
        not_applicable: reasons by fault, or by step and fault.
        unchecked: promises that say nothing under a fault.
        run: brings each of the `(step, fault)` pairs about in one run.
    """

    name: str
    steps: tuple
    promises: frozenset
    not_applicable: dict
    run: Callable[[list], Awaitable[Findings]]
    unchecked: dict = dataclasses.field(default_factory=dict)

    def reason(self, step: enum.Enum, fault: Fault) -> str | None:
        by_step = self.not_applicable.get((step, fault))
        return by_step or self.not_applicable.get(fault)

    def promises_under(self, fault: Fault) -> frozenset:
        return self.promises - self.unchecked.get(fault, frozenset())

    def cells(self):
        return itertools.product(self.steps, Fault)


class Probe:
    """Injects each fault when its step is crossed for the first time."""

    def __init__(self, cells, inject):
        self.pending = list(cells)
        self.inject = inject
        self.crossed = set()
        self.has_failed = False

    @property
    def has_fired(self):
        """Whether every fault was injected without an error."""
        return not self.pending and not self.has_failed

    async def cross(self, step, **context):
        self.crossed.add(step)
        due = [c for c in self.pending if c[0] is step]
        self.pending = [c for c in self.pending if c[0] is not step]
        for _, fault in due:
            try:
                await self.inject(step, fault, **context)
            except Exception:
                # The part that made the call may swallow the error.
                self.has_failed = True
                raise
