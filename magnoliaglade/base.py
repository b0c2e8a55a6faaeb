"""Base classes: parameters with declared constraints, components, estimators.

Constructors only store their parameters. The constraints that a class declares
in `_parameter_constraints` are checked in one place, `validate_params`, which
components call in `start` and estimators in `partial_fit`.
"""

import abc
import dataclasses
import inspect
from typing import Any, ClassVar

from magnoliaglade import exceptions

__all__ = [
    "BaseEstimator",
    "Component",
    "InstanceOf",
    "Interval",
    "Options",
    "Parameterized",
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Interval:
    """A numeric range; an end that is `None` is unbounded."""

    kind: type
    low: float | None = None
    high: float | None = None
    low_open: bool = False
    high_open: bool = False

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is a number of this kind in the range."""
        if isinstance(value, bool) or not self._is_kind(value):
            return False
        return self._above_low(value) and self._below_high(value)

    def _is_kind(self, value: Any) -> bool:
        if self.kind is float:
            return isinstance(value, int | float)
        return isinstance(value, self.kind)

    def _above_low(self, value: float) -> bool:
        if self.low is None:
            return True
        return value > self.low if self.low_open else value >= self.low

    def _below_high(self, value: float) -> bool:
        if self.high is None:
            return True
        return value < self.high if self.high_open else value <= self.high

    def __str__(self) -> str:
        left = "(" if self.low_open or self.low is None else "["
        right = ")" if self.high_open or self.high is None else "]"
        low = "-inf" if self.low is None else self.low
        high = "inf" if self.high is None else self.high
        return f"{self.kind.__name__} in {left}{low}, {high}{right}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """A closed set of allowed values."""

    values: frozenset[Any]

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is one of the allowed values."""
        return value in self.values

    def __str__(self) -> str:
        return "one of " + ", ".join(sorted(repr(v) for v in self.values))


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceOf:
    """Any instance of a class."""

    cls: type

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is an instance of the class."""
        return isinstance(value, self.cls)

    def __str__(self) -> str:
        return f"an instance of {self.cls.__name__}"


Constraint = Interval | Options | InstanceOf


class Parameterized:
    """A class whose keyword-only constructor parameters are attributes."""

    _parameter_constraints: ClassVar[dict[str, list[Constraint]]] = {}

    def get_params(self) -> dict[str, Any]:
        """Returns the constructor parameters by name."""
        names = inspect.signature(type(self).__init__).parameters
        return {n: getattr(self, n) for n in names if n != "self"}

    def validate_params(self) -> None:
        """Checks every parameter that has declared constraints.

        Raises:
            InvalidParameterError: a value violates all constraints of its
                parameter; the message names the class, the parameter, the
                value and the allowed values.
        """
        for name, constraints in self._parameter_constraints.items():
            value = getattr(self, name)
            if any(c.accepts(value) for c in constraints):
                continue
            allowed = " or ".join(str(c) for c in constraints)
            raise exceptions.InvalidParameterError(
                f"{type(self).__name__}: {name}={value!r} must be {allowed}"
            )


class Component(Parameterized, abc.ABC):
    """Base class of process parts that start, stop and dump their state."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Checks the parameters and starts background tasks."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stops gracefully; returns when no task of the component runs."""

    def dump(self) -> dict[str, Any]:
        """Returns the current state as plain data without secrets."""
        return {}


class BaseEstimator(Parameterized, abc.ABC):
    """Base class of estimators; fitted attributes end in an underscore."""

    @abc.abstractmethod
    def partial_fit(self, observations: Any) -> "BaseEstimator":
        """Updates the estimate with new observations and returns `self`."""

    @abc.abstractmethod
    def predict(self, queries: Any) -> Any:
        """Returns one estimate per query."""
