"""Selection of an upstream by load and latency; `balancer` plug-ins."""

import abc
import dataclasses
import random
import statistics
from collections.abc import Iterable, Sequence

from magnoliaglade import base, kernel
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import UpstreamId, ZoneId
from magnoliaglade.upstreams import _errors

# An upstream in another zone is chosen once the score of the local one exceeds
# its score by this factor: one more request in flight at light load, a third
# more at full load.
CROSS_ZONE_SCORE_FACTOR = 1.3
_LATENCY_EWMA_WEIGHT = 0.2
# The latency estimate of an upstream without requests decays towards the
# median of the candidates, so that a slow upstream is tried again.
_LATENCY_HALF_LIFE_S = 10.0
_DEFAULT_LATENCY_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """An upstream that may receive the request.

    Attributes:
        upstream: id of the upstream.
        zone: availability zone of the upstream.
        outstanding: number of requests of this instance in flight on it.
        latency_s: estimated latency of a request, in seconds.
    """

    upstream: UpstreamId
    zone: ZoneId
    outstanding: int = 0
    latency_s: float = _DEFAULT_LATENCY_S

    @property
    def score(self) -> float:
        """Estimated time to answer one more request, in seconds."""
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
    """Chooses the better of two random candidates.

    The first is from the zone of this instance if it has a candidate there.
    """

    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """See `Balancer.choose`."""
        _require_candidates(candidates)
        local = [c for c in candidates if c.zone == self.zone]
        first = self.rng.choice(local or candidates)
        others = [c for c in candidates if c.upstream != first.upstream]
        if not others:
            return first.upstream
        second = self.rng.choice(others)
        is_cross_zone = first.zone == self.zone != second.zone
        factor = CROSS_ZONE_SCORE_FACTOR if is_cross_zone else 1.0
        best = first if first.score <= second.score * factor else second
        return best.upstream


@kernel.register("balancer", "random")
class RandomBalancer(Balancer):
    """Chooses any candidate with equal probability; a baseline."""

    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """See `Balancer.choose`."""
        _require_candidates(candidates)
        return self.rng.choice(candidates).upstream


@kernel.register("balancer", "round-robin")
class RoundRobinBalancer(Balancer):
    """Chooses the candidates in turn; a baseline."""

    def __init__(self, *, rng: random.Random, zone: ZoneId) -> None:
        super().__init__(rng=rng, zone=zone)
        self._choices_made = 0

    def choose(self, candidates: Sequence[Candidate]) -> UpstreamId:
        """See `Balancer.choose`."""
        _require_candidates(candidates)
        self._choices_made += 1
        return candidates[self._choices_made % len(candidates)].upstream


@dataclasses.dataclass(kw_only=True)
class _Load:
    outstanding: int = 0
    latency_s: float | None = None
    observed_s: float = 0.0


class UpstreamLoads:
    """Requests in flight and latency of each upstream, as measured here."""

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._loads: dict[UpstreamId, _Load] = {}

    def begin(self, upstream: UpstreamId) -> None:
        """Records the start of a request."""
        self._loads.setdefault(upstream, _Load()).outstanding += 1

    def finish(
        self, upstream: UpstreamId, *, latency_s: float, succeeded: bool
    ) -> None:
        """Records the end of a request.

        A failure does not lower the estimate, so that an upstream that fails
        fast does not attract more requests.
        """
        load = self._loads[upstream]
        load.outstanding -= 1
        load.observed_s = self.clock.now()
        previous_s = load.latency_s
        if previous_s is None or latency_s > previous_s:
            # A higher latency raises the estimate at once; a lower one reduces
            # it over several requests.
            is_usable = succeeded or previous_s is not None
            load.latency_s = latency_s if is_usable else None
        elif succeeded:
            load.latency_s = previous_s + _LATENCY_EWMA_WEIGHT * (
                latency_s - previous_s
            )

    def outstanding(self, upstream: UpstreamId) -> int:
        """Returns the number of requests in flight on an upstream."""
        load = self._loads.get(upstream)
        return load.outstanding if load else 0

    def candidates(
        self, upstreams: Iterable[tuple[UpstreamId, ZoneId]]
    ) -> list[Candidate]:
        """Returns a candidate with the current estimate for each upstream."""
        pairs = list(upstreams)
        loads = [self._loads.get(u) or _Load() for u, _ in pairs]
        estimates_s = [x.latency_s for x in loads if x.latency_s is not None]
        typical_s = (
            statistics.median(estimates_s)
            if estimates_s
            else _DEFAULT_LATENCY_S
        )
        return [
            Candidate(
                upstream=upstream,
                zone=zone,
                outstanding=load.outstanding,
                latency_s=self._decayed_latency_s(load, typical_s),
            )
            for (upstream, zone), load in zip(pairs, loads, strict=True)
        ]

    def _decayed_latency_s(self, load: _Load, typical_s: float) -> float:
        if load.latency_s is None:
            return typical_s
        age_s = self.clock.now() - load.observed_s
        return typical_s + (load.latency_s - typical_s) * 0.5 ** (
            age_s / _LATENCY_HALF_LIFE_S
        )


def _require_candidates(candidates: Sequence[Candidate]) -> None:
    if not candidates:
        raise _errors.NotSentError("no upstream is available")
