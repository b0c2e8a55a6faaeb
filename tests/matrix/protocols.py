"""All protocols of the fault matrix."""

from tests.matrix import claims, jobs, settings, shutdown

ALL = (
    jobs.PROTOCOL,
    claims.PROTOCOL,
    settings.CONFIGURATION,
    settings.ZONES,
    shutdown.PROTOCOL,
)
