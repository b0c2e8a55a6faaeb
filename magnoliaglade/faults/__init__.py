"""Promises and faults that the fault matrix refers to by name."""

import enum

__all__ = ["Fault", "Promise"]


class Promise(enum.Enum):
    """Guarantees of the system, from section 1.1 of the design."""

    GUARANTEE_RECLAIMABLE = (
        "a client account can always reclaim its guaranteed shape"
    )
    GANG_WHOLE = "no part of a gang job runs without the rest of the gang"
    ZONE_REMOVED_NO_START = (
        "no task starts in a zone more than 3 s after its removal"
    )
    WHOLE_ANSWER_TO_ITS_CALLER = (
        "each caller receives the complete response to its own request"
    )
    NOT_RUN_IS_TRUE = 'a refusal that says "not run" is true'
    AT_MOST_ONCE = "a request marked non-idempotent runs at most once"
    LEAVING_GETS_NO_WORK = "a leaving upstream receives no new work after 3 s"
    GRACEFUL_STOP = "a planned stop interrupts no in-flight request"
    CONFIGURATION_HOLDS = (
        "an accepted configuration is in effect within 9 s and never reverts"
    )


class Fault(enum.Enum):
    """Faults that the system tolerates, from section 1.6 of the design."""

    INSTANCE_DIES = "worker or upstream instance dies"
    PROCESS_DIES = "own process dies"
    STORE_DOWN = "store is down"
    STORE_SLOW = "store is slow"
    ANSWER_LOST = "answer is lost after the write"
    LEASE_LAPSES = "lease lapses during a pause"
    WATCH_LOST = "watch is lost"
    CONNECTION_SILENT = "connection goes silent"
    LIST_LAGS = "instance list lags"
    WORKER_FAILS_ALL = "worker or upstream fails everything"
    OPERATORS_RACE = "operators or callers race"
    ZONE_LEAVES = "zone leaves"
