"""Registration of this instance and the view of all registered ones."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any

import msgpack

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.membership import _view
from magnoliaglade.types import InstanceId, LeaseId, ZoneId

MEMBERS_PREFIX = "members/"
# A watch is ended and followed by a read after this time, so that a watch that
# has gone silent hides a change no longer than that.
WATCH_WAIT_S = 10.0
RETRY_S = 0.5


class MemberRegistry(base.Component):
    """Keeps the own registration and follows everyone's.

    Without the store the last view stays. An instance that restarts registers
    with a new incarnation; one that was paused beyond its lease registers
    again under its new lease.
    """

    _parameter_constraints = {
        "watch_wait_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        store: store_lib.Store,
        clock: clock_lib.Clock,
        lease: store_lib.InstanceLease,
        member: _view.Member,
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.lease = lease
        self.member = member
        self.watch_wait_s = watch_wait_s
        self._view = _view.View()
        self._read_s = float("-inf")
        self._registered_under: LeaseId | None = None
        self._listeners: list[Callable[[_view.View], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> _view.View:
        """The view that was read last."""
        return self._view

    @property
    def view_age_s(self) -> float:
        """Seconds since the view was read."""
        return self.clock.now() - self._read_s

    def on_change(self, listener: Callable[[_view.View], None]) -> None:
        """Registers a callback for a changed view."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Registers and reads the view once, then follows in background."""
        self.validate_params()
        with contextlib.suppress(store_lib.StoreError):
            await self.register()
            await self.read()
        self._tasks = [
            asyncio.create_task(self._keep_registered()),
            asyncio.create_task(self._follow()),
        ]

    async def stop(self) -> None:
        """Stops following and removes the registration."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._registered_under is None:
            return
        with contextlib.suppress(store_lib.StoreError):
            entry = await self.store.get(self._key())
            if entry is not None and entry.lease == self._registered_under:
                await self.store.delete(entry.key, expected=entry.revision)

    def dump(self) -> dict[str, Any]:
        """Returns the view and its age in seconds."""
        return {
            "version": self._view.version,
            "members": [dataclasses.asdict(m) for m in self._view.members],
            "age_s": round(self.view_age_s, 3),
        }

    async def register(self) -> None:
        """Writes the registration if the lease has changed.

        Raises:
            StoreError: the registration is not confirmed.
        """
        lease = self.lease.check()
        if lease == self._registered_under:
            return
        value = msgpack.packb(dataclasses.asdict(self.member))
        await self.store.put(self._key(), value, lease=lease)
        self._registered_under = lease

    async def read(self) -> int:
        """Reads the view; returns the store's revision.

        Raises:
            StoreError: the store did not answer.
        """
        sent_s = self.clock.now()
        entries, revision = await self.store.list_prefix(MEMBERS_PREFIX)
        view = _view.make_view(_decode(e) for e in entries)
        self._read_s = sent_s
        if view != self._view:
            self._view = view
            for listener in self._listeners:
                listener(view)
        return revision

    async def _keep_registered(self) -> None:
        while True:
            with contextlib.suppress(store_lib.StoreError):
                await self.register()
            await self.clock.sleep(RETRY_S)

    async def _follow(self) -> None:
        while True:
            try:
                revision = await self.read()
                await self.store.watch(
                    MEMBERS_PREFIX, after=revision, wait_s=self.watch_wait_s
                )
            except store_lib.StoreError:
                await self.clock.sleep(RETRY_S)

    def _key(self) -> str:
        return f"{MEMBERS_PREFIX}{self.member.instance}"


def _decode(entry: store_lib.Entry) -> _view.Member:
    fields = msgpack.unpackb(entry.value)
    return _view.Member(
        instance=InstanceId(fields["instance"]),
        incarnation=fields["incarnation"],
        zone=ZoneId(fields["zone"]),
        peer_address=fields["peer_address"],
        http_address=fields["http_address"],
    )
