"""Metrics of an instance, served as text on the internal address."""

import prometheus_client
from prometheus_client import CollectorRegistry

# Upper bounds of latency buckets in seconds, around the latency objectives of
# calls and up to the usual timeout of callers.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0)


class InstanceMetrics:
    """Metrics of one instance."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = prometheus_client.Counter(
            "magnoliaglade_calls",
            "Calls by method and status.",
            ["method", "status"],
            registry=self.registry,
        )
        self.call_latency = prometheus_client.Histogram(
            "magnoliaglade_call_latency_seconds",
            "Time from reading a call to its answer.",
            ["method"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.plan_duration = prometheus_client.Histogram(
            "magnoliaglade_plan_seconds",
            "Time that the coordinator takes for a plan.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.wasted_work = prometheus_client.Counter(
            "magnoliaglade_wasted_core_seconds",
            "Work that has to be done again, by cause.",
            ["cause"],
            registry=self.registry,
        )
        self.gang_placements = prometheus_client.Counter(
            "magnoliaglade_gang_placements",
            "Starts of urgent gangs with a rack constraint, by option.",
            ["option"],
            registry=self.registry,
        )
        self.unexpected_runs = prometheus_client.Counter(
            "magnoliaglade_unexpected_runs",
            "Runs and ends that workers list though the run counts as ended.",
            ["kind"],
            registry=self.registry,
        )
        self.deferred_demands = prometheus_client.Counter(
            "magnoliaglade_deferred_demands",
            "Demands deferred in favour of others of their priority.",
            ["priority"],
            registry=self.registry,
        )
        self.refused_submissions = prometheus_client.Counter(
            "magnoliaglade_refused_submissions",
            "Submissions that were refused and never run, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.rejected_connections = prometheus_client.Counter(
            "magnoliaglade_rejected_connections",
            "Connections of clients that were closed at a limit, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Gauge(
            "magnoliaglade_store_calls",
            "Calls to the key-value service since the start.",
            registry=self.registry,
        )
        self.configuration_age = prometheus_client.Gauge(
            "magnoliaglade_configuration_age_seconds",
            "Time since the configuration was last confirmed.",
            registry=self.registry,
        )
        self.coordinator_epoch = prometheus_client.Gauge(
            "magnoliaglade_coordinator_epoch",
            "Epoch of this instance as the coordinator; 0 if it is not.",
            registry=self.registry,
        )
        self.loop_lag = prometheus_client.Gauge(
            "magnoliaglade_loop_lag_seconds",
            "Mean lateness of the event loop over some seconds.",
            registry=self.registry,
        )
        self.active_jobs = prometheus_client.Gauge(
            "magnoliaglade_active_jobs",
            "Jobs that have not ended, on the coordinator.",
            registry=self.registry,
        )
        self.speed_spread = prometheus_client.Gauge(
            "magnoliaglade_lasting_speed_spread",
            "Standard deviation of the logarithm of the workers' lasting "
            "speeds, on the coordinator; 0 if they count as equal.",
            registry=self.registry,
        )
        self.known_speeds = prometheus_client.Gauge(
            "magnoliaglade_known_lasting_speeds",
            "Workers whose lasting speed is known to differ from the average, "
            "on the coordinator.",
            registry=self.registry,
        )

        self.orders_in_flight = prometheus_client.Gauge(
            "magnoliaglade_orders_in_flight",
            "Orders that are sent and not answered, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.orders_queued = prometheus_client.Gauge(
            "magnoliaglade_orders_queued",
            "Orders that wait to be sent, by kind.",
            ["kind"],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Returns all metrics as text."""
        return prometheus_client.generate_latest(self.registry)
