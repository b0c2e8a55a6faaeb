"""Keeps records in the store so that a successor finds them, once each."""

import asyncio

from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.types import Epoch, InstanceId


def make_log(
    store: store_lib.Store, clock: clock_lib.Clock, writer: str, epoch: int
) -> store_lib.SingleWriterLog:
    """Returns the log of one writer in one epoch."""
    return store_lib.SingleWriterLog(
        store=store,
        clock=clock,
        name="orders",
        writer=InstanceId(writer),
        epoch=Epoch(epoch),
    )


async def run() -> list[bytes]:
    """Writes with one owner, takes over with another, and fences the first."""
    clock = clock_lib.SystemClock()
    store = store_lib.InMemoryStore(clock=clock)
    first = make_log(store, clock, "a", 1)
    await first.open()
    await asyncio.gather(*(first.append(b"order %d" % n) for n in range(3)))
    second = make_log(store, clock, "b", 2)
    records = await second.open()
    try:
        await first.append(b"late")
    except store_lib.LogFencedError as error:
        print("the first owner is fenced:", error)
    return records


def main() -> None:
    """Prints what the second owner found."""
    print(asyncio.run(run()))


if __name__ == "__main__":
    main()
