"""Settings of an entry process in YAML, validated when they are loaded."""

from magnoliaglade.settings._errors import Problem, SettingsError
from magnoliaglade.settings._settings import FIELDS, Settings, load, parse

__all__ = ["FIELDS", "Problem", "Settings", "SettingsError", "load", "parse"]
