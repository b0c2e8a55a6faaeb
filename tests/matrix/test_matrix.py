"""Every fault at every step of every protocol, and pairs of faults."""

import itertools
import random

import pytest

from magnoliaglade import configuration, execution, requests
from magnoliaglade.faults import Fault
from tests.matrix import claims, jobs, protocols, settings

CELLS = [
    pytest.param(p, step, fault, id=f"{p.name}-{step.name}-{fault.name}")
    for p in protocols.ALL
    for step, fault in p.cells()
    if p.reason(step, fault) is None
]
# Steps whose pairs of faults matter most, and the number of sampled pairs.
PAIRED = (
    (jobs.PROTOCOL, tuple(execution.LaunchStep), 30),
    (
        claims.PROTOCOL,
        (
            requests.RequestStep.CLAIM,
            requests.RequestStep.PERSIST_CLAIM,
            requests.RequestStep.DISPATCH,
            requests.RequestStep.ANSWER,
            requests.RequestStep.OUTCOME,
        ),
        40,
    ),
    (
        settings.CONFIGURATION,
        (
            configuration.ConfigurationStep.READ_BASE,
            configuration.ConfigurationStep.PUBLISH,
        ),
        15,
    ),
    (
        settings.ZONES,
        (
            configuration.ZoneStep.SPREAD_REMOVAL,
            configuration.ZoneStep.STORE_REMOVAL,
        ),
        15,
    ),
)


def sample_pairs(protocol, steps, count):
    """Returns pairs of cells with different faults, the same each time."""
    cells = [
        (s, f)
        for s, f in protocol.cells()
        if s in steps and protocol.reason(s, f) is None
    ]
    pairs = [
        p for p in itertools.combinations(cells, 2) if p[0][1] is not p[1][1]
    ]
    return random.Random(protocol.name).sample(pairs, count)


PAIRS = [
    pytest.param(
        protocol,
        pair,
        id="-".join([protocol.name, *(x.name for cell in pair for x in cell)]),
    )
    for protocol, steps, count in PAIRED
    for pair in sample_pairs(protocol, steps, count)
]
JOB, LAUNCH = execution.JobStep, execution.LaunchStep
REQUEST, ZONE = requests.RequestStep, configuration.ZoneStep
# Combinations in which a trial with random combinations found a violation.
FOUND = {
    "job-submission-during-reacquisition": (
        jobs.PROTOCOL,
        [
            (LAUNCH.ACTIVATE, Fault.PROCESS_DIES),
            (JOB.RELEASE, Fault.STORE_SLOW),
        ],
    ),
    "zone-return-of-a-dead-writer": (
        settings.ZONES,
        [
            (ZONE.SPREAD_RETURN, Fault.CONNECTION_SILENT),
            (ZONE.STORE_RETURN, Fault.PROCESS_DIES),
        ],
    ),
    "zone-removal-of-a-dead-writer": (
        settings.ZONES,
        [
            (ZONE.SPREAD_REMOVAL, Fault.CONNECTION_SILENT),
            (ZONE.STORE_REMOVAL, Fault.PROCESS_DIES),
        ],
    ),
    "request-covers-key-paused-attempt": (
        claims.PROTOCOL,
        [
            (REQUEST.ACCEPT, Fault.STORE_DOWN),
            (REQUEST.CLAIM, Fault.OPERATORS_RACE),
            (REQUEST.CLAIM, Fault.LEASE_LAPSES),
        ],
    ),
    "request-covers-key-lost-reply": (
        claims.PROTOCOL,
        [
            (REQUEST.ADMIT, Fault.OPERATORS_RACE),
            (REQUEST.ACCEPT, Fault.STORE_DOWN),
            (REQUEST.ACCEPT, Fault.ANSWER_LOST),
        ],
    ),
}


class TestMatrix:
    @pytest.mark.parametrize(("protocol", "step", "fault"), CELLS)
    async def test_cell(self, protocol, step, fault):
        """Guards each promise against one fault at one step."""
        findings = await protocol.run([(step, fault)])
        assert findings.has_fired
        assert findings.checked == protocol.promises_under(fault)
        assert findings.violations == []

    @pytest.mark.parametrize("protocol", protocols.ALL, ids=lambda p: p.name)
    async def test_every_step_is_crossed(self, protocol):
        """Guards against a row that the run never reaches."""
        findings = await protocol.run([])
        assert findings.crossed >= set(protocol.steps)
        assert findings.violations == []

    @pytest.mark.parametrize(("protocol", "pair"), PAIRS)
    async def test_pair(self, protocol, pair):
        """Guards each promise against two faults in one run.

        The first fault can keep the run from the step of the second.
        """
        findings = await protocol.run(list(pair))
        assert findings.crossed & {step for step, _ in pair}
        assert findings.violations == []

    @pytest.mark.parametrize(
        ("protocol", "cells"), FOUND.values(), ids=FOUND.keys()
    )
    async def test_found_combination(self, protocol, cells):
        """Guards against the violations that combinations have shown."""
        findings = await protocol.run(cells)
        assert findings.has_fired
        assert findings.violations == []
