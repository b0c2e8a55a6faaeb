"""Interface of scheduling policies."""

import abc

from magnoliaglade import base
from magnoliaglade.scheduling import _model

__all__ = ["Policy"]


class Policy(base.Parameterized, abc.ABC):
    """Decides what to start and evict; keeps no state between calls."""

    @abc.abstractmethod
    def plan(
        self, snapshot: _model.ClusterSnapshot, *, seed: int
    ) -> _model.Plan:
        """Returns the plan for a snapshot; equal inputs give equal plans."""
