"""Registry of plug-ins by kind and name.

A plug-in module registers its classes with the `register` decorator when it is
imported, so adding a plug-in needs no change in the code that selects one.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from magnoliaglade import exceptions

T = TypeVar("T", bound=Callable[..., Any])

_factories: dict[tuple[str, str], Callable[..., Any]] = {}


class PluginError(exceptions.MagnoliagladeError):
    """A plug-in name is unknown or is registered twice."""


def register(kind: str, name: str) -> Callable[[T], T]:
    """Returns a decorator that registers a factory.

    Raises:
        PluginError: another factory is registered under the name.
    """

    def decorate(factory: T) -> T:
        registered = _factories.get((kind, name))
        if registered is not None and registered is not factory:
            raise PluginError(f"{kind} plug-in {name!r} is registered twice")
        _factories[kind, name] = factory
        return factory

    return decorate


def names(kind: str) -> list[str]:
    """Returns the registered names of a kind, sorted."""
    return sorted(name for k, name in _factories if k == kind)


def create(kind: str, name: str, **params: Any) -> Any:
    """Returns a new instance of a registered plug-in.

    Args:
        kind: kind of the plug-in.
        name: name under which it is registered.
        **params: keyword arguments of the factory.

    Raises:
        PluginError: no factory is registered under the name.
    """
    factory = _factories.get((kind, name))
    if factory is None:
        known = ", ".join(names(kind)) or "none"
        raise PluginError(f"unknown {kind} plug-in {name!r}; known: {known}")
    return factory(**params)
