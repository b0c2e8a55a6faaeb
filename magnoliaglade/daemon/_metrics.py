"""Counters and gauges of an entry process; see the metrics page."""

from collections.abc import Callable, Mapping

from magnoliaglade import clock as clock_lib
from magnoliaglade import execution, observability, settings

Source = Callable[[], Mapping[str, float]]


def make_reporter(
    options: settings.Settings,
    *,
    clock: clock_lib.Clock,
    counters: Mapping[str, Source],
    gauges: Mapping[str, Source],
) -> observability.MetricsReporter:
    """Returns a reporter that sends by statsd if a host is set."""
    metrics: observability.Metrics = observability.InMemoryMetrics()
    if options.statsd_host:
        metrics = observability.StatsdMetrics(
            host=options.statsd_host,
            port=options.statsd_port,
            prefix=f"{options.statsd_prefix}.{options.instance}",
        )
    return observability.MetricsReporter(
        clock=clock, metrics=metrics, counters=counters, gauges=gauges
    )


def job_gauges(
    loads: Mapping[str, execution.DomainLoad],
) -> dict[str, float]:
    """Returns the gauges of the domains that are owned here."""
    return {
        f"{execution.zone_of(domain)}.{name}": value
        for domain, load in loads.items()
        for name, value in (
            ("used_accelerators", load.used),
            ("queued_accelerators", load.queued),
            ("tasks", load.tasks),
        )
    }
