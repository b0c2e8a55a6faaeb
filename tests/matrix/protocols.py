"""All protocols of the fault matrix."""

from tests.matrix import claims, jobs

ALL = (jobs.PROTOCOL, claims.PROTOCOL)
