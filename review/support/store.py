"""Stand-in of the platform's key-value store, in memory and sound."""

import asyncio
import base64
import dataclasses
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

from support import httpd

# Limits of one page of a range.
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
# Prefixes that the system may not write.
_FOREIGN_PREFIXES = ("op/", "servers/")


@dataclasses.dataclass(kw_only=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Serves the key-value calls; sound unless a fault is switched on.

    Attributes:
        server: the listener.
        delay_of: returns the seconds after which a write is executed without an
            answer, or None for a sound write.
        writes: number of write calls, and of those without an answer.
        items: current items by key.
        revision: the store's revision.
    """

    def __init__(self) -> None:
        self.server = httpd.Server(handler=self._handle)
        self.items: dict[str, _Item] = {}
        self.revision = 100
        self.delay_of: Callable[[list[str]], float | None] = lambda _: None
        self.writes = [0, 0]
        self._events: list[tuple[int, str, _Item | None]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts serving."""
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        """Stops serving."""
        if self._expiry is not None:
            self._expiry.cancel()
        await self.server.stop()

    def put(self, key: str, fields: Any) -> int:
        """Writes a JSON document, as the operator and the executors do."""
        return self._apply([(key, json.dumps(fields).encode(), 0)], [])

    def remove(self, key: str) -> None:
        """Removes a key."""
        self._apply([], [key])

    def _apply(
        self, puts: list[tuple[str, bytes, int]], removed: list[str]
    ) -> int:
        self.revision += 1
        for key, value, lease in puts:
            before = self.items.get(key)
            item = _Item(
                value=value,
                revision=self.revision,
                created=before.created if before else self.revision,
                lease=lease,
            )
            self.items[key] = item
            self._events.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self._events.append((self.revision, key, None))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            ended = [n for n, (_, at_s) in self._leases.items() if at_s < now_s]
            for number in ended:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self._leases.pop(number, None)
        keys = [k for k, i in self.items.items() if i.lease == number]
        if keys:
            self._apply([], keys)

    async def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        _: dict[str, str],
        body: Any,
    ) -> tuple[int, dict[str, Any]]:
        name = path.removeprefix("/api/kv-").partition("/")[0]
        if name == "watch":
            return await self._watch(query)
        if name == "txn":
            await self._lose_answer(body)
        handlers = {
            "key": lambda: self._get(query),
            "range": lambda: self._range(query),
            "txn": lambda: self._transact(body),
            "lease": lambda: self._grant(body),
            "keep": lambda: self._keep(int(path.rpartition("/")[2])),
            "lease-end": lambda: self._revoke(int(path.rpartition("/")[2])),
        }
        return handlers[name]() if name in handlers else (404, {})

    async def _lose_answer(self, body: Any) -> None:
        """Executes a write late and never returns, if its answer is lost."""
        self.writes[0] += 1
        delay_s = self.delay_of([p["key"] for p in body.get("puts") or ()])
        if delay_s is None:
            return
        self.writes[1] += 1
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._transact, body)
        await asyncio.Event().wait()

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        revision = {"storeRevision": self.revision}
        item = self.items.get(query["key"])
        if item is None:
            return 404, revision
        return 200, _encode(query["key"], item) | revision

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(query["prefix"]) and k > after
        )
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            size += len(self.items[key].value)
            if len(items) == _PAGE_ITEMS or (items and size > _PAGE_BYTES):
                break
            items.append(_encode(key, self.items[key]))
        return 200, {
            "items": items,
            "truncated": len(items) < len(keys),
            "storeRevision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000.0
        while True:
            found = [
                _encode_event(revision, key, item)
                for revision, key, item in self._events
                if revision > after and key.startswith(query["prefix"])
            ]
            remaining_s = deadline_s - time.monotonic()
            if found or remaining_s <= 0:
                fields = {"events": found, "storeRevision": self.revision}
                return 200, fields
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: Any) -> tuple[int, dict[str, Any]]:
        puts = [
            (p["key"], base64.b64decode(p["value"]), int(p.get("lease") or 0))
            for p in body.get("puts") or ()
        ]
        removed = list(body.get("remove") or ())
        names = [key for key, _, _ in puts] + removed
        if any(n.startswith(_FOREIGN_PREFIXES) for n in names):
            return 403, {}
        if any(lease and lease not in self._leases for _, _, lease in puts):
            return 404, {}
        expected = body.get("expect") or ()
        found = {e["key"]: self.items.get(e["key"]) for e in expected}
        if any(
            (found[e["key"]].revision if found[e["key"]] else 0)
            != int(e.get("revision") or 0)
            for e in expected
        ):
            items = [
                _encode(k, i) if i else {"key": k, "revision": 0}
                for k, i in found.items()
            ]
            return 412, {"items": items}
        return 200, {"revision": self._apply(puts, removed)}

    def _grant(self, body: Any) -> tuple[int, dict[str, Any]]:
        ttl_ms = min(600_000, max(1000, int(body["ttlMs"])))
        number = next(self._lease_numbers)
        ttl_s = ttl_ms / 1000.0
        self._leases[number] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": number, "ttlMs": ttl_ms}

    def _keep(self, number: int) -> tuple[int, dict[str, Any]]:
        if number not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[number]
        self._leases[number] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _revoke(self, number: int) -> tuple[int, dict[str, Any]]:
        if number not in self._leases:
            return 404, {}
        self._end_lease(number)
        return 200, {}


def _encode(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _encode_event(revision: int, key: str, item: _Item | None) -> dict:
    if item is None:
        return {"key": key, "revision": revision, "deleted": True}
    return _encode(key, item)
