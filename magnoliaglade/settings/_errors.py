"""Errors of the settings layer."""

import dataclasses
from typing import Any

from magnoliaglade import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One wrong entry of a settings file."""

    key: str
    found: Any
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.found!r}, allowed is {self.allowed}"


class SettingsError(exceptions.MagnoliagladeError):
    """A settings file cannot be used; lists every problem."""

    def __init__(self, *, path: str, problems: list[Problem]) -> None:
        lines = "; ".join(str(p) for p in problems)
        super().__init__(f"{path}: {lines}")
        self.path = path
        self.problems = problems
