"""Registration of this instance and the view of all registered instances."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any

import msgpack

from magnoliaglade import base, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.membership import _view
from magnoliaglade.types import InstanceId, LeaseId, ZoneId

MEMBERS_PREFIX = "members/"
# A watch that returns no event confirms the view. Two of them fit into the
# maximum age of a confirmation, 3 s.
WATCH_WAIT_S = 1.0
RETRY_DELAY_S = 0.5
REQUEST_TIMEOUT_S = 0.5


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewRequest(peers.Message):
    """Asks a peer to confirm the version of the sender's view."""

    version: int


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewReply(peers.Message):
    """The view of a peer.

    Attributes:
        version: version of the peer's view.
        age_s: seconds since the store confirmed it to the peer; negative if
            the peer does not reach the store.
        members: encoded members if the version differs from the requested
            one; empty otherwise.
    """

    version: int
    age_s: float
    members: tuple[Any, ...] = ()


class MemberRegistry(base.Component):
    """Maintains the registration of this instance and the membership view.

    An instance that restarts registers with a new incarnation; one that was
    paused until its lease lapsed registers again under its new lease. While
    the store is unreachable, the last view stays in effect. It is then
    confirmed by a peer that reaches the store, or by a majority of the view
    if none does.
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
        network: peers.PeerNetwork,
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.lease = lease
        self.member = member
        self.network = network
        self.watch_wait_s = watch_wait_s
        self._view = _view.View()
        self._store_confirmed_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._registered_under: LeaseId | None = None
        self._listeners: list[Callable[[_view.View], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> _view.View:
        """The most recent view."""
        return self._view

    @property
    def view_age_s(self) -> float:
        """Seconds since the view was last confirmed."""
        return self.clock.now() - self._confirmed_s

    def on_change(self, listener: Callable[[_view.View], None]) -> None:
        """Registers a callback for changes of the view."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Registers, reads the view, and follows it in the background."""
        self.validate_params()
        self.network.handle(ViewRequest, self._on_view_request)
        with contextlib.suppress(store_lib.StoreError):
            await self.register()
            await self.read()
        self._tasks = [
            asyncio.create_task(self._keep_registered()),
            asyncio.create_task(self._follow_view()),
        ]

    async def stop(self) -> None:
        """Stops following the view and removes the registration."""
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
            StoreError: the store did not confirm the registration.
        """
        lease = self.lease.check()
        if lease == self._registered_under:
            return
        await self.store.put(self._key(), _encode(self.member), lease=lease)
        self._registered_under = lease

    async def read(self) -> int:
        """Reads the view from the store and returns the store's revision.

        Raises:
            StoreError: the store did not reply.
        """
        sent_s = self.clock.now()
        entries, revision = await self.store.list_prefix(MEMBERS_PREFIX)
        self._apply(_view.make_view(_decode(e.value) for e in entries))
        self._confirm(sent_s, by_store=True)
        return revision

    async def confirm_by_peers(self) -> None:
        """Confirms the view, or adopts a newer one, by asking the peers."""
        sent_s = self.clock.now()
        request = ViewRequest(version=self._view.version)
        others = set(self._view.instances) - {self.network.instance}
        replies = await asyncio.gather(
            *(self._request_view(p, request) for p in sorted(others))
        )
        known = [r for r in replies if r is not None]
        reached = [r for r in known if 0 <= r.age_s < self.watch_wait_s * 2]
        if reached:
            self._adopt(min(reached, key=lambda r: r.age_s), sent_s)
            return
        same = sum(r.version == self._view.version for r in known)
        if same + 1 >= self._view.majority:
            self._confirm(sent_s)

    def _adopt(self, reply: ViewReply, sent_s: float) -> None:
        if reply.version != self._view.version:
            members = [_decode(m) for m in reply.members]
            self._apply(_view.make_view(members))
        self._confirm(sent_s - reply.age_s)

    def _apply(self, view: _view.View) -> None:
        if view == self._view:
            return
        self._view = view
        for listener in self._listeners:
            listener(view)

    def _confirm(self, confirmed_s: float, *, by_store: bool = False) -> None:
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        if by_store:
            self._store_confirmed_s = confirmed_s

    async def _request_view(
        self, peer: InstanceId, request: ViewRequest
    ) -> ViewReply | None:
        try:
            return await self.network.request(
                peer, request, timeout_s=REQUEST_TIMEOUT_S
            )
        except peers.PeerError:
            return None

    async def _on_view_request(
        self, sender: InstanceId, request: ViewRequest
    ) -> ViewReply:
        age_s = self.clock.now() - self._store_confirmed_s
        if age_s > self.watch_wait_s * 2:
            age_s = -1.0
        members = ()
        if request.version != self._view.version:
            members = tuple(_encode(m) for m in self._view.members)
        return ViewReply(
            version=self._view.version, age_s=age_s, members=members
        )

    async def _keep_registered(self) -> None:
        while True:
            with contextlib.suppress(store_lib.StoreError):
                await self.register()
            await self.clock.sleep(RETRY_DELAY_S)

    async def _follow_view(self) -> None:
        while True:
            try:
                revision = await self.read()
                while not await self._watch(revision):
                    pass
            except (store_lib.StoreError, TimeoutError):
                await self.confirm_by_peers()
                await self.clock.sleep(RETRY_DELAY_S)

    async def _watch(self, revision: int) -> bool:
        """Returns whether a registration changed after `revision`."""
        sent_s = self.clock.now()
        events = await self.clock.wait_for(
            self.store.watch(
                MEMBERS_PREFIX, after=revision, wait_s=self.watch_wait_s
            ),
            self.watch_wait_s + RETRY_DELAY_S,
        )
        if not events:
            self._confirm(sent_s, by_store=True)
        return bool(events)

    def _key(self) -> str:
        return f"{MEMBERS_PREFIX}{self.member.instance}"


def _encode(member: _view.Member) -> bytes:
    return msgpack.packb(dataclasses.asdict(member))


def _decode(value: bytes) -> _view.Member:
    fields = msgpack.unpackb(value)
    return _view.Member(
        instance=InstanceId(fields["instance"]),
        incarnation=fields["incarnation"],
        zone=ZoneId(fields["zone"]),
        peer_address=fields["peer_address"],
        http_address=fields["http_address"],
    )
