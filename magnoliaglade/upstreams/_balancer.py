"""Choice of an upstream by load and latency; plug-ins of kind `balancer`."""

import abc
import dataclasses
import random
import statistics
from collections.abc import Iterable, Sequence

from magnoliaglade import base, kernel
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import UpstreamId, ZoneId
from magnoliaglade.upstreams import _errors

# An upstream in another zone is chosen once the local one scores this much
# worse: a request more in flight at light load, a third more at full load.
ZONE_BIAS = 1.3
_LATENCY_WEIGHT = 0.2
# An upstream that gets no requests is tried again as its estimate fades.
_FADE_S = 10.0
_DEFAULT_LATENCY_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """An upstream that may receive the request.

    Attributes:
        upstream: its id.
        zone: its availability zone.
        outstanding: requests of this instance in flight on it.
        latency_s: estimated latency of a request.
    """

    upstream: UpstreamId
    zone: ZoneId
    outstanding: int = 0
    latency_s: float = _DEFAULT_LATENCY_S

    @property
    def score(self) -> float:
        """Estimated seconds until one more request would be answered."""
        return (self.outstanding + 1) * self.latency_s


class Balancer(base.Parameterized, abc.ABC):
    """Chooses one upstream per request."""

    def __init__(self, *, rng: random.Random, zone: ZoneId) -> None:
        self.rng = rng
        self.zone = zone

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """Returns one of the candidates.

        Raises:
            NotSentError: there are no candidates.
        """


@kernel.register("balancer", "power-of-two")
class PowerOfTwoBalancer(Balancer):
    """The better of two random candidates, the first from the own zone."""

    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """See `Balancer.choose`."""
        _check(candidates)
        local = [c for c in candidates if c.zone == self.zone]
        first = self.rng.choice(local or candidates)
        others = [c for c in candidates if c.upstream != first.upstream]
        if not others:
            return first.upstream
        second = self.rng.choice(others)
        is_crossing = first.zone == self.zone != second.zone
        bias = ZONE_BIAS if is_crossing else 1.0
        best = first if first.score <= second.score * bias else second
        return best.upstream


@kernel.register("balancer", "random")
class RandomBalancer(Balancer):
    """Any candidate with equal probability; a baseline."""

    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """See `Balancer.choose`."""
        _check(candidates)
        return self.rng.choice(candidates).upstream


@kernel.register("balancer", "round-robin")
class RoundRobinBalancer(Balancer):
    """The candidates in turn; a baseline."""

    def __init__(self, *, rng: random.Random, zone: ZoneId) -> None:
        super().__init__(rng=rng, zone=zone)
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """See `Balancer.choose`."""
        _check(candidates)
        self._turn += 1
        return candidates[self._turn % len(candidates)].upstream


@dataclasses.dataclass(kw_only=True)
class _Load:
    outstanding: int = 0
    latency_s: float | None = None
    observed_s: float = 0.0


class UpstreamLoads:
    """Requests in flight and latency of each upstream, as seen here."""

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._loads: dict[UpstreamId, _Load] = {}

    def begin(self, upstream: UpstreamId) -> None:
        """Counts a dispatched request."""
        self._loads.setdefault(upstream, _Load()).outstanding += 1

    def finish(
        self, upstream: UpstreamId, *, latency_s: float, succeeded: bool
    ) -> None:
        """Counts the end of a request.

        A failure does not lower the estimate, so that an upstream that fails
        fast does not attract more requests.
        """
        load = self._loads[upstream]
        load.outstanding -= 1
        load.observed_s = self.clock.now()
        known = load.latency_s
        if known is None or latency_s > known:
            # Slowness shows at once, recovery over several requests.
            is_usable = succeeded or known is not None
            load.latency_s = latency_s if is_usable else None
        elif succeeded:
            load.latency_s = known + _LATENCY_WEIGHT * (latency_s - known)

    def outstanding(self, upstream: UpstreamId) -> int:
        """Returns the requests in flight on an upstream."""
        load = self._loads.get(upstream)
        return load.outstanding if load else 0

    def candidates(
        self, upstreams: Iterable[tuple[UpstreamId, ZoneId]]
    ) -> list[Candidate]:
        """Returns candidates with the current estimates."""
        pairs = list(upstreams)
        loads = [self._loads.get(u) or _Load() for u, _ in pairs]
        known = [x.latency_s for x in loads if x.latency_s is not None]
        usual_s = statistics.median(known) if known else _DEFAULT_LATENCY_S
        return [
            Candidate(
                upstream=upstream,
                zone=zone,
                outstanding=load.outstanding,
                latency_s=self._faded_s(load, usual_s),
            )
            for (upstream, zone), load in zip(pairs, loads, strict=True)
        ]

    def _faded_s(self, load: _Load, usual_s: float) -> float:
        if load.latency_s is None:
            return usual_s
        age_s = self.clock.now() - load.observed_s
        return usual_s + (load.latency_s - usual_s) * 0.5 ** (age_s / _FADE_S)


def _check(candidates: Sequence[Candidate]) -> None:
    if not candidates:
        raise _errors.NotSentError("no upstream is available")
