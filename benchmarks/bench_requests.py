"""Request path decisions under load with faulty executors.

One entry instance sends requests to 24 executors on a virtual clock. From 10 s
on one executor is five times slower, one fails every request after 10 ms, one
is silent, and one announces that it is leaving and is gone 10 s later while
the instance list shows it as live to the end. The load is 90% of what the
executors without a fault can run. The baseline in the same run is round robin
without slots, unbounded queues at the executors, and up to three immediate
retries. Both give up an attempt after 10 s without progress, and both executors
drop an attempt that was given up.

A request that gets no answer counts with its deadline as completion time, so
that refusing requests does not improve the percentiles.
"""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from benchmarks import _request_model
from magnoliaglade import configuration, kernel, requests, upstreams
from magnoliaglade.instances import instance_list
from magnoliaglade.types import AccountId, InstanceId, RequestId, UpstreamId

SEEDS = (1, 2, 3, 4, 5)
NAIVE_RETRIES = 3
PROBE_S = 1.0


class NaivePath:
    """The baseline."""

    def __init__(
        self,
        clock: _request_model.EventClock,
        executors: list[_request_model.Executor],
        seed: int,
    ) -> None:
        self.clock = clock
        self.executors = {e.upstream: e for e in executors}
        self._balancer = kernel.create(
            "balancer",
            "round-robin",
            rng=random.Random(seed),
            zone=executors[0].zone,
        )
        self._candidates = [
            upstreams.Candidate(upstream=e.upstream, zone=e.zone)
            for e in executors
        ]

    def start(self, request: _request_model.Request) -> None:
        """Dispatches a request at once."""
        request.attempts += 1
        upstream = self._balancer.choose(self._candidates)
        attempt = _request_model.Attempt(
            request=request,
            upstream=upstream,
            report=self._report,
            started_s=self.clock.now(),
        )
        self.executors[upstream].submit(attempt)

    def _report(self, attempt: _request_model.Attempt, outcome: str) -> None:
        request, now_s = attempt.request, self.clock.now()
        if outcome == "ok":
            request.completed_s = now_s
        elif request.attempts <= NAIVE_RETRIES and now_s < request.deadline_s:
            self.start(request)


class DecidedPath:
    """The decision parts of `magnoliaglade.requests`."""

    def __init__(
        self,
        clock: _request_model.EventClock,
        executors: list[_request_model.Executor],
        seed: int,
    ) -> None:
        self.clock = clock
        self.executors = {e.upstream: e for e in executors}
        self._rng = random.Random(seed)
        self._balancer = kernel.create(
            "balancer", "power-of-two", rng=self._rng, zone=executors[0].zone
        )
        self._loads = upstreams.UpstreamLoads(clock=clock)
        self._ejector = upstreams.OutlierEjector(clock=clock)
        self._ejector.set_upstreams(self.executors)
        self._budget = requests.RetryBudget(clock=clock)
        self._free = dict.fromkeys(self.executors, _request_model.SLOTS)
        self._queue = requests.FairQueue(
            clock=clock, estimator=requests.ServiceTimeEstimator()
        )
        self._queue.set_accounts(
            [
                configuration.AccountConfig(
                    account=AccountId(name), key_digest="", request_share=share
                )
                for name, share in _request_model.ACCOUNTS.items()
            ]
        )
        self._directory = upstreams.UpstreamDirectory(
            clock=clock,
            instance_list=_LaggingList(executors),
            service="s",
            prober=_no_probe,
        )
        asyncio.run(self._directory.poll_once())
        self._probe()

    def start(self, request: _request_model.Request) -> None:
        """Queues a request or refuses it."""
        self._budget.note_request()
        request.ticket = requests.Ticket(
            account=request.account,
            kind=request.kind,
            deadline_s=request.deadline_s,
            done=request,
        )
        try:
            self._queue.offer(request.ticket)
        except requests.RefusedError:
            return
        self._admit()

    def _admit(self) -> None:
        # Slots of ejected executors are not counted, so that admitted
        # requests do not wait for an executor.
        self._queue.set_capacity(
            self._queue.in_use + sum(self._free[u] for u in self._usable())
        )
        admitted, _ = self._queue.take()
        for ticket in admitted:
            self._dispatch(ticket.done)

    def _usable(self) -> list[UpstreamId]:
        listed = self._directory.eligible()
        ids = [UpstreamId(x.instance) for x in listed]
        healthy = self._ejector.eligible(ids)
        return [u for u in healthy if self._free[u] > 0]

    def _dispatch(self, request: _request_model.Request) -> None:
        if self.clock.now() >= request.deadline_s:
            self._give_up(request)
            return
        pairs = [(u, self.executors[u].zone) for u in self._usable()]
        try:
            upstream = self._balancer.choose(self._loads.candidates(pairs))
        except upstreams.NotSentError:
            delay_s = requests.backoff_s(0, rng=self._rng)
            self.clock.call_later(delay_s, lambda: self._dispatch(request))
            return
        request.attempts += 1
        self._free[upstream] -= 1
        self._loads.begin(upstream)
        self._ejector.record_dispatch(upstream)
        attempt = _request_model.Attempt(
            request=request,
            upstream=upstream,
            report=self._report,
            started_s=self.clock.now(),
        )
        self.executors[upstream].submit(attempt)

    def _report(self, attempt: _request_model.Attempt, outcome: str) -> None:
        request, upstream = attempt.request, attempt.upstream
        now_s = self.clock.now()
        self._free[upstream] += 1
        self._loads.finish(
            upstream,
            latency_s=now_s - attempt.started_s,
            succeeded=outcome == "ok",
        )
        self._ejector.observe(upstream, succeeded=outcome == "ok")
        if outcome == "refused":
            self._directory.observe_refused_connection(upstream)
        if outcome in ("ok", "failed"):
            self._observe(upstream, attempt.started_s)
        if outcome == "ok":
            request.completed_s = now_s
            self._queue.finish(request.ticket)
        elif now_s < request.deadline_s and self._budget.try_spend():
            delay_s = requests.backoff_s(request.attempts - 1, rng=self._rng)
            self.clock.call_later(delay_s, lambda: self._dispatch(request))
        else:
            self._give_up(request)
        self._admit()

    def _give_up(self, request: _request_model.Request) -> None:
        self._queue.finish(request.ticket, succeeded=False)

    def _observe(self, upstream: UpstreamId, sent_s: float) -> None:
        executor = self.executors[upstream]
        self._directory.observe(
            upstream,
            upstreams.ExchangeResponse(
                request=RequestId(""),
                status=200,
                headers=(),
                body=b"",
                leaving=executor.has_fault(_request_model.LEAVING),
                sent_s=sent_s,
            ),
        )

    def _probe(self) -> None:
        """Stands for the directory's probes, once per second."""
        for upstream, executor in self.executors.items():
            if executor.is_gone:
                self._directory.observe_refused_connection(upstream)
            elif not executor.has_fault(_request_model.SILENT):
                self._observe(upstream, self.clock.now())
        if (
            self.clock.now()
            < _request_model.DURATION_S + _request_model.DEADLINE_S
        ):
            self.clock.call_later(PROBE_S, self._probe)


class _LaggingList:
    """Shows every executor as live to the end."""

    def __init__(self, executors: list[_request_model.Executor]) -> None:
        self._executors = executors

    async def instances(self) -> list[instance_list.ListedInstance]:
        return [
            instance_list.ListedInstance(
                instance=InstanceId(e.upstream),
                role=instance_list.InstanceRole.UPSTREAM,
                zone=e.zone,
                address="",
                service="s",
            )
            for e in self._executors
        ]


async def _no_probe(_: instance_list.ListedInstance) -> None:
    return None


def simulate(path_class: Any, seed: int) -> dict[str, float]:
    """Runs one path and returns its figures by metric."""
    clock = _request_model.EventClock()
    executors = [
        _request_model.Executor(clock, n)
        for n in range(_request_model.EXECUTORS)
    ]
    path = path_class(clock, executors, seed)
    made = _request_model.make_requests(seed)
    for request in made:
        clock.call_later(request.arrived_s, _starter(path, request))
    clock.run()
    times_s = sorted(
        _request_model.DEADLINE_S
        if r.completed_s is None
        else r.completed_s - r.arrived_s
        for r in made
    )
    return {
        "requests.completion.p50": times_s[len(made) // 2],
        "requests.completion.p99": times_s[len(made) * 99 // 100],
        "requests.lost": sum(r.completed_s is None for r in made),
        "requests.retry_amplification": sum(r.attempts for r in made)
        / len(made),
    }


def _starter(path: Any, request: _request_model.Request) -> Callable[[], None]:
    return lambda: path.start(request)


_UNITS = {
    "requests.completion.p50": "s",
    "requests.completion.p99": "s",
    "requests.lost": "requests",
    "requests.retry_amplification": "attempts/request",
}


def run(seed: int) -> list[dict[str, Any]]:
    """Runs both paths; a ratio below 1 is better than the baseline."""
    decided = simulate(DecidedPath, seed)
    naive = simulate(NaivePath, seed)
    return [
        {
            "metric": metric,
            "unit": unit,
            "value": round(decided[metric], 4),
            "baseline": round(naive[metric], 4),
            "ratio": round(decided[metric] / naive[metric], 4)
            if naive[metric]
            else None,
            "seed": seed,
        }
        for metric, unit in _UNITS.items()
    ]


def main() -> None:
    """Prints one JSON object per line for every seed."""
    for seed in SEEDS:
        for row in run(seed):
            print(json.dumps(row))


if __name__ == "__main__":
    main()
