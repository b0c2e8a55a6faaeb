"""Ordered start and stop of components."""

from typing import Any

from magnoliaglade import base


class Runtime(base.Component):
    """Starts named components in order and stops them in reverse order."""

    def __init__(self, *, components: dict[str, base.Component]) -> None:
        self.components = components
        self._started: list[str] = []

    async def start(self) -> None:
        """Starts every component; after an error, stops the started ones."""
        try:
            for name, component in self.components.items():
                await component.start()
                self._started.append(name)
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Stops every started component in reverse order of start."""
        while self._started:
            await self.components[self._started.pop()].stop()

    def dump(self) -> dict[str, Any]:
        """Returns the state of every component by name."""
        return {name: c.dump() for name, c in self.components.items()}
