"""Errors of the settings layer."""

import dataclasses
from typing import Any

from magnoliaglade import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One invalid entry of a settings file.

    Attributes:
        key: dotted key, or "(file)" for the file as a whole.
        found: the value; None if a required key is missing.
        allowed: description of the values that are accepted.
    """

    key: str
    found: Any
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.found!r}, allowed is {self.allowed}"


class SettingsError(exceptions.MagnoliagladeError):
    """A settings file is invalid; the message lists every problem."""

    def __init__(self, *, path: str, problems: list[Problem]) -> None:
        lines = "; ".join(str(p) for p in problems)
        super().__init__(f"{path}: {lines}")
        self.path = path
        self.problems = problems
