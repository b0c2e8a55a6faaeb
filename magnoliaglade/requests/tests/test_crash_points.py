"""A crash at every call to the outside that a request or a takeover makes."""

import pytest

from magnoliaglade import requests
from magnoliaglade.requests.tests import claim_cluster

# Longer than a request's deadline of 10 s and its grace.
ATTEMPT_S = 10.5
# Longer than a takeover and the grace for a failed holder together.
RECOVERY_S = 12.0


class Scenario:
    """One key, sent through one instance after the other.

    With `is_takeover` its owner dies while the request runs, and the counted
    steps are those of the other instances from then on, which include the
    compaction of the key's partition.
    """

    kind = "reprint"

    def __init__(self, *, owner, crash_at=None, is_takeover=False):
        self.cluster = claim_cluster.Cluster(names="abcd", compact_slots=3)
        self.crashes = self.cluster.crashes
        self.runs = self.cluster.upstream.runs
        self.owner = owner
        self.is_takeover = is_takeover
        self.crashes.crash_at = crash_at
        self.outcomes = []

    async def run(self):
        """Returns the number of steps, after every check has passed."""
        await self.cluster.start()
        key = self.cluster.key_owned_by(self.owner)
        if self.is_takeover:
            await self.lose_owner(key)
        self.crashes.is_armed = True
        for name in "abd":
            await self.attempt(name, key)
        steps = self.crashes.crossed
        await self.cluster.clock.advance(RECOVERY_S)
        living = [n for n in "dba" if n not in self.crashes.dead]
        await self.attempt(living[0], key)
        self.check(key.encode())
        return steps

    async def lose_owner(self, key):
        self.cluster.upstream.delay_s = 3.0
        self.cluster.send("a", key, kind=self.kind)
        await self.cluster.clock.advance(0.2)
        assert self.runs[key.encode()] == 1
        self.crashes.crash(self.owner)

    async def attempt(self, name, key):
        """Sends a request; a caller of an instance that dies gets nothing."""
        if name in self.crashes.dead:
            return
        task = self.cluster.send(name, key, kind=self.kind)
        for _ in range(int(ATTEMPT_S / 0.05)):
            if task.done() or name in self.crashes.dead:
                break
            await self.cluster.clock.advance(0.05)
        if not task.done():
            assert name in self.crashes.dead
            return
        outcome = task.result()
        self.outcomes.append(outcome)
        if isinstance(outcome, requests.NotRun) and outcome.covers_key:
            assert self.runs[key.encode()] == 0

    def check(self, body):
        assert self.runs[body] <= 1
        for outcome in self.outcomes:
            if isinstance(outcome, requests.NotRun):
                assert self.runs[outcome.request_id] == 0
            if isinstance(outcome, requests.Ran):
                assert self.runs[body] == 1
        assert not isinstance(self.outcomes[-1], requests.NotRun)


class TestCrashPoints:
    @pytest.mark.parametrize("owner", ["a", "b", "c"])
    async def test_every_call_of_a_request(self, owner):
        """Guards against a second run and a false `not run`."""
        steps = await Scenario(owner=owner).run()
        assert steps > 20
        for crash_at in range(1, steps + 1):
            await Scenario(owner=owner, crash_at=crash_at).run()

    async def test_every_call_of_a_takeover(self):
        """Guards against a claim that is lost between two owners."""
        options = {"owner": "c", "is_takeover": True}
        steps = await Scenario(**options).run()
        assert steps > 100
        for crash_at in range(1, steps + 1):
            await Scenario(**options, crash_at=crash_at).run()
