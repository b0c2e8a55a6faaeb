"""One TCP stream between two entry instances.

The connecting side sends requests and heartbeats; the accepting side replies to
each. Either side closes a stream on which no frame has arrived for the silence
timeout, because a connection can stop carrying data permanently while new
connections work.
"""

import asyncio
import collections
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade.peers import _frames, base
from magnoliaglade.types import InstanceId

# Sends are refused while more than this is unsent, which happens if the peer
# does not read.
MAX_UNSENT_BYTES = 4_194_304
# Requests on one stream that are handled concurrently.
MAX_CONCURRENT_REQUESTS = 1_000
REFUSED = "Refused"
# The handler failed; the message may have had an effect.
FAILED = "Failed"

RequestHandler = Callable[[_frames.Frame], Awaitable[base.Message | None]]


class PeerStream:
    """Sends and receives frames over an open connection."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: clock_lib.Clock,
        instance: InstanceId,
        incarnation: str,
        serve: RequestHandler,
        counts: "collections.Counter[str]",
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.clock = clock
        self.instance = instance
        self.incarnation = incarnation
        self.serve = serve
        self.counts = counts
        self._sequence = itertools.count(1)
        self._pending: dict[int, asyncio.Future[_frames.Frame]] = {}
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._last_received_s = clock.now()

    @property
    def silent_s(self) -> float:
        """Seconds since the last frame from the peer."""
        return self.clock.now() - self._last_received_s

    @property
    def is_open(self) -> bool:
        """Whether frames can be written."""
        return not self.writer.is_closing()

    async def run(self) -> None:
        """Reads frames until the stream ends, then fails pending requests."""
        try:
            while True:
                frame, size = await _frames.read_frame(self.reader)
                self.counts["bytes_received"] += size
                self._last_received_s = self.clock.now()
                self._receive(frame)
        except (asyncio.IncompleteReadError, OSError, base.MessageError):
            self.counts["streams_ended"] += 1
        finally:
            self.close()

    def close(self) -> None:
        """Closes the connection; pending requests raise PeerUnknownError."""
        self.writer.close()
        for task in self._request_tasks:
            task.cancel()
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(base.PeerUnknownError("stream closed"))
                # Marks the exception as retrieved for callers that have been
                # cancelled; asyncio would log it otherwise.
                future.exception()

    def send(self, value: base.Message, *, in_reply_to: int = 0) -> int:
        """Writes a message and returns its sequence number.

        Raises:
            PeerUnreachableError: nothing was written.
        """
        name, payload = base.encode_message(value)
        return self._write(name, payload, in_reply_to)

    async def request(self, value: base.Message, *, timeout_s: float) -> Any:
        """Writes a message and returns the reply.

        Raises:
            PeerUnreachableError: nothing was written.
            PeerUnknownError: no reply arrived, or the handler failed.
            PeerRefusedError: the peer refused the message.
        """
        future = asyncio.get_running_loop().create_future()
        sequence = self.send(value)
        self._pending[sequence] = future
        try:
            frame = await self.clock.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise base.PeerUnknownError(str(error)) from error
        finally:
            self._pending.pop(sequence, None)
        if frame.type == REFUSED:
            raise base.PeerRefusedError(str(frame.payload.get("reason")))
        if frame.type == FAILED:
            raise base.PeerUnknownError(str(frame.payload.get("reason")))
        if not frame.type:
            return None
        return base.decode_message(frame.type, frame.payload)

    def _receive(self, frame: _frames.Frame) -> None:
        if frame.in_reply_to:
            future = self._pending.pop(frame.in_reply_to, None)
            if future is None:
                # Empty replies acknowledge heartbeats, so nothing waits for
                # them.
                self.counts["late_replies"] += bool(frame.type)
            elif not future.done():
                future.set_result(frame)
            return
        if len(self._request_tasks) >= MAX_CONCURRENT_REQUESTS:
            self._refuse(frame.sequence, "too many requests")
            return
        task = asyncio.ensure_future(self._serve(frame))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _serve(self, frame: _frames.Frame) -> None:
        try:
            reply = await self.serve(frame)
        except (base.PeerRefusedError, base.MessageError) as error:
            self.counts["requests_refused"] += 1
            self._refuse(frame.sequence, str(error))
            return
        except Exception as error:
            self.counts["requests_failed"] += 1
            self._refuse(frame.sequence, repr(error), name=FAILED)
            return
        with contextlib.suppress(base.PeerError):
            if reply is None:
                self._write("", {}, frame.sequence)
            else:
                self.send(reply, in_reply_to=frame.sequence)

    def _refuse(
        self, sequence: int, reason: str, *, name: str = REFUSED
    ) -> None:
        with contextlib.suppress(base.PeerError):
            self._write(name, {"reason": reason}, sequence)

    def _write(self, name: str, payload: Any, in_reply_to: int) -> int:
        if not self.is_open:
            raise base.PeerUnreachableError("stream is closed")
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        if unsent_bytes > MAX_UNSENT_BYTES:
            raise base.PeerUnreachableError(f"{unsent_bytes} bytes are unsent")
        sequence = next(self._sequence)
        data = _frames.encode_frame(
            _frames.Frame(
                type=name,
                sender=self.instance,
                incarnation=self.incarnation,
                sequence=sequence,
                in_reply_to=in_reply_to,
                payload=payload,
            )
        )
        self.writer.write(data)
        self.counts["bytes_sent"] += len(data)
        return sequence
