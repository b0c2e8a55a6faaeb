"""Bounds the orders that are in flight, the most urgent ones first.

Load pattern: a loss of power or the cancellation of large jobs makes thousands
of starts or stops due at once. Sent together, they keep the event loop busy
with new connections for longer than the coordinator's lease lasts, and each
successor does the same. See `docs/design/bounded_orders.md`.
"""

import asyncio
import collections
import dataclasses
import enum
import heapq
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import observability, supervision
from magnoliaglade.types import WorkerId

# Time, in seconds, after which an order without an answer counts as late. It
# then no longer counts towards the limit on prompt orders, so that workers that
# do not respond leave room for the others until their calls time out.
LATE_AFTER_S = 0.2
# Entries of the queue that are handled in one step of the event loop, at some
# microseconds for a dropped one.
MAX_STEP_ORDERS = 200
# Length of the queue, in orders, from which it is logged.
BACKLOG_ORDERS = 256

# Priority of an order that is sent after all others.
LEAST_PRIORITY = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits on the orders in flight of one kind.

    Attributes:
        prompt: orders that are not late yet. With 64 of them, answers arrive in
            batches for which the loop waits idle: 4,000 stops took 4 s in
            place of 2.5 s. More connections that open in one step delay the
            renewal of the coordinator's lease.
        late: late orders. With `prompt` they bound the connections, 320 of one
            kind; the smallest instance has 1,638 descriptors.
        per_worker: orders to one worker while none is late; a worker has eight
            accelerators and thus at most eight members of an urgent gang.
        per_worker_strained: the same while any order is late, and at most the
            worker's share of `late`. Half of the workers thus hold `prompt`
            orders, sent before the first one was late, and half of `late`.
    """

    prompt: int = 128
    late: int = 192
    per_worker: int = 8
    per_worker_strained: int = 4


_DEFAULT_LIMITS = Limits()


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Urgency:
    """Rank of an order; the smallest one is sent first.

    Attributes:
        priority: priority of the job that the order serves.
        due_at_s: latest start of the job, as wall time in seconds.
    """

    priority: int = LEAST_PRIORITY
    due_at_s: float = float("inf")


class Decision(enum.Enum):
    """What happens to an order whose turn has come.

    DROP: it is no longer due, and has been settled. HOLD: it stays queued, and
    so do all others.
    """

    SEND = "send"
    DROP = "drop"
    HOLD = "hold"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class QueuedOrder:
    """An order that waits for its turn.

    Attributes:
        worker: the worker that receives it.
        urgency: rank among the waiting orders.
        decide: returns whether it is sent; called in the step of the event
            loop in which the call is started.
        send: makes the call; returns whether the worker has answered, or None
            if no call was made.
        group: gang whose orders are sent together, or "".
    """

    worker: WorkerId
    urgency: Urgency
    decide: Callable[[], Decision]
    send: Callable[[], Coroutine[Any, Any, bool | None]]
    group: str = ""
    is_waiting: bool = False
    sort_key: tuple[bool, Urgency, str] = (True, Urgency(), "")


_Heap = list[tuple[tuple[bool, Urgency, str], int, QueuedOrder]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    worker: WorkerId
    sent_at_s: float


class OrderDispatcher:
    """Queues the orders of one kind and sends them within limits.

    Starts and stops have a dispatcher each, so that neither waits for the
    other. An order that finds a free slot is sent at once. Among equally urgent
    orders, the worker with the fewest orders in flight is served first. Once an
    order of a gang is sent, the gang's other orders precede all that wait.

    A worker that leaves an order unanswered receives one order at a time until
    it answers one.

    Attributes:
        kind: kind of the orders, for log lines.
        clock: source of time.
        count_workers: returns the number of workers.
        limits: limits on the orders in flight.
    """

    def __init__(
        self,
        *,
        kind: str,
        clock: clock_lib.Clock,
        count_workers: Callable[[], int],
        limits: Limits = _DEFAULT_LIMITS,
    ) -> None:
        self.kind = kind
        self.clock = clock
        self.count_workers = count_workers
        self.limits = limits
        self._sequence = itertools.count()
        self._queues: dict[WorkerId, _Heap] = {}
        # Workers by their most urgent order. An entry is outdated if that order
        # has changed or if the worker is at its limit.
        self._ready: list[
            tuple[tuple[bool, Urgency, str], int, int, WorkerId]
        ] = []
        self._queued = 0
        self._group_orders: dict[str, set[QueuedOrder]] = {}
        self._begun_groups: set[str] = set()
        self._prompt: dict[int, _Call] = {}
        self._late: dict[int, _Call] = {}
        self._in_flight: collections.Counter[WorkerId] = collections.Counter()
        self._late_workers: collections.Counter[WorkerId] = (
            collections.Counter()
        )
        self._unanswering: set[WorkerId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._is_pumping = False
        self._is_closed = False
        self._has_backlog = False

    @property
    def in_flight(self) -> int:
        """Number of orders that are being sent or wait for an answer."""
        return len(self._prompt) + len(self._late)

    @property
    def queued(self) -> int:
        """Number of orders that wait for their turn."""
        return self._queued

    def submit(self, order: QueuedOrder) -> None:
        """Queues an order, and sends it at once if a slot is free."""
        if self._is_closed:
            return
        if order.group:
            self._group_orders.setdefault(order.group, set()).add(order)
        self._enqueue(order)
        self.pump()
        self._log_backlog()

    def drop(self, order: QueuedOrder) -> None:
        """Removes an order from the queue without sending it."""
        if order.is_waiting:
            self._dequeue(order)
            self._leave_group(order)

    def pump(self) -> None:
        """Sends waiting orders while slots are free.

        One step handles at most `MAX_STEP_ORDERS`; the rest follows in the
        next iterations of the event loop.
        """
        if self._is_pumping or self._is_closed:
            return
        self._is_pumping = True
        try:
            is_rest_due = self._send_ready()
        finally:
            self._is_pumping = False
        if is_rest_due:
            asyncio.get_running_loop().call_soon(self.pump)

    async def close(self) -> None:
        """Cancels all orders in flight; queued ones are never sent."""
        self._is_closed = True
        tasks = [*self._tasks]
        if self._watch_task is not None:
            tasks.append(self._watch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _send_ready(self) -> bool:
        """Sends orders; returns whether more are due in a further step."""
        for _ in range(MAX_STEP_ORDERS):
            if len(self._prompt) >= self.limits.prompt:
                return False
            order = self._next_order()
            if order is None:
                return False
            decision = self._decide(order)
            if decision is Decision.HOLD:
                self._mark_ready(order.worker)
                return False
            # `decide` may have dropped the order itself.
            if order.is_waiting:
                self._dequeue(order)
            if decision is Decision.SEND:
                self._dispatch(order)
            else:
                self._leave_group(order)
            self._mark_ready(order.worker)
        return True

    def _decide(self, order: QueuedOrder) -> Decision:
        """Returns what to do with an order, which is dropped after an error.

        Otherwise the error would hold up all further orders of the worker.
        """
        try:
            return order.decide()
        except Exception as error:
            observability.log_event(
                "orders",
                state="undecided",
                of=self.kind,
                worker=order.worker,
                **supervision.describe_error(error),
            )
            return Decision.DROP

    def _next_order(self) -> QueuedOrder | None:
        """Returns the most urgent order that its worker can take."""
        while self._ready:
            key, _, _, worker = heapq.heappop(self._ready)
            head = self._head(worker)
            if head is None or not self._has_slot(worker):
                # A worker at its limit is marked again when a slot is released.
                continue
            if head.sort_key == key:
                return head
            self._mark_ready(worker)
        return None

    def _head(self, worker: WorkerId) -> QueuedOrder | None:
        """Returns the most urgent order of a worker."""
        queue = self._queues.get(worker)
        while queue:
            key, _, order = queue[0]
            if order.is_waiting and order.sort_key == key:
                return order
            heapq.heappop(queue)
        self._queues.pop(worker, None)
        return None

    def _has_slot(self, worker: WorkerId) -> bool:
        limit = self.limits.per_worker
        if worker in self._unanswering or self._late_workers[worker]:
            limit = 1
        elif self._late:
            share = self.limits.late // max(1, self.count_workers())
            limit = max(1, min(self.limits.per_worker_strained, share))
        return self._in_flight[worker] < limit

    def _enqueue(self, order: QueuedOrder) -> None:
        is_rest_of_gang = order.group in self._begun_groups
        order.sort_key = (not is_rest_of_gang, order.urgency, order.group)
        if not order.is_waiting:
            order.is_waiting = True
            self._queued += 1
        queue = self._queues.setdefault(order.worker, [])
        heapq.heappush(queue, (order.sort_key, next(self._sequence), order))
        if queue[0][2] is order:
            self._mark_ready(order.worker)

    def _dequeue(self, order: QueuedOrder) -> None:
        order.is_waiting = False
        self._queued -= 1

    def _mark_ready(self, worker: WorkerId) -> None:
        head = self._head(worker)
        if head is not None and self._has_slot(worker):
            entry = (
                head.sort_key,
                self._in_flight[worker],
                next(self._sequence),
                worker,
            )
            heapq.heappush(self._ready, entry)

    def _dispatch(self, order: QueuedOrder) -> None:
        call_id = next(self._sequence)
        call = _Call(order.worker, self.clock.now())
        is_late = (
            order.worker in self._unanswering
            and len(self._late) < self.limits.late
        )
        if is_late:
            self._add_late(call_id, call)
        else:
            self._prompt[call_id] = call
        self._in_flight[order.worker] += 1
        task = asyncio.ensure_future(self._call(order, call_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._begin_group(order.group)
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.ensure_future(self._watch())

    async def _call(self, order: QueuedOrder, call_id: int) -> None:
        is_answered: bool | None = None
        try:
            is_answered = await order.send()
        except Exception as error:
            observability.log_event(
                "orders",
                state="failed",
                of=self.kind,
                worker=order.worker,
                **supervision.describe_error(error),
            )
        finally:
            self._release(order, call_id)
            self._record_answer(order.worker, is_answered)
            self._mark_ready(order.worker)
            self.pump()
            self._log_backlog()

    def _release(self, order: QueuedOrder, call_id: int) -> None:
        worker = order.worker
        self._in_flight[worker] -= 1
        if not self._in_flight[worker]:
            del self._in_flight[worker]
        if self._prompt.pop(call_id, None) is None:
            del self._late[call_id]
            self._late_workers[worker] -= 1
            if not self._late_workers[worker]:
                del self._late_workers[worker]
        self._leave_group(order)

    def _record_answer(
        self, worker: WorkerId, is_answered: bool | None
    ) -> None:
        if is_answered is None or is_answered != (worker in self._unanswering):
            return
        if is_answered:
            self._unanswering.discard(worker)
        else:
            self._unanswering.add(worker)
        observability.log_event(
            "worker",
            state="orders answered" if is_answered else "orders unanswered",
            worker=worker,
            of=self.kind,
        )

    def _begin_group(self, group: str) -> None:
        """Moves the waiting orders of a gang to the front."""
        if not group or group in self._begun_groups:
            return
        self._begun_groups.add(group)
        for order in list(self._group_orders[group]):
            if order.is_waiting:
                self._enqueue(order)

    def _leave_group(self, order: QueuedOrder) -> None:
        orders = self._group_orders.get(order.group)
        if orders is None:
            return
        orders.discard(order)
        if not orders:
            del self._group_orders[order.group]
            self._begun_groups.discard(order.group)

    def _add_late(self, call_id: int, call: _Call) -> None:
        self._late[call_id] = call
        self._late_workers[call.worker] += 1

    async def _watch(self) -> None:
        """Finds late orders until no prompt one is in flight."""
        while self._prompt:
            oldest = next(iter(self._prompt.values()))
            wait_s = oldest.sent_at_s + LATE_AFTER_S - self.clock.now()
            # Without room for late orders, the oldest stays overdue.
            await self.clock.sleep(max(wait_s, LATE_AFTER_S / 5))
            late_since_s = self.clock.now() - LATE_AFTER_S
            for call_id, call in list(self._prompt.items()):
                is_full = len(self._late) >= self.limits.late
                if call.sent_at_s > late_since_s or is_full:
                    break
                del self._prompt[call_id]
                self._add_late(call_id, call)
            self.pump()

    def _log_backlog(self) -> None:
        """Logs when the queue becomes long, and when it is empty again."""
        threshold = 1 if self._has_backlog else BACKLOG_ORDERS
        has_backlog = self._queued >= threshold
        if has_backlog == self._has_backlog:
            return
        self._has_backlog = has_backlog
        observability.log_event(
            "orders",
            state="queued" if has_backlog else "queue empty",
            of=self.kind,
            queued=self._queued,
            in_flight=self.in_flight,
            late=len(self._late),
        )
