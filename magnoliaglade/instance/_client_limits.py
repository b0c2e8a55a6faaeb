"""Limits on clients from an instance's settings and the configuration."""

import dataclasses
from collections.abc import Callable

from magnoliaglade import exceptions, http, observability, routing


class ClientLimits:
    """Limits on the clients of an instance's listeners.

    Totals come from the settings, limits of a connection from the operators'
    configuration, and both have defaults.

    Attributes:
        ledger: connections of all listeners.
    """

    def __init__(
        self,
        *,
        memory_mb: int,
        max_fds: int,
        observe_rejection: Callable[[str], None],
    ) -> None:
        self._default = http.ConnectionLimits().for_machine(
            memory_mb=memory_mb, max_fds=max_fds
        )
        self.ledger = http.ConnectionLedger(
            limits=self._default, observe_rejection=observe_rejection
        )
        self._for_instances = self._default

    def callers(self) -> http.ConnectionLimits:
        """Returns the limits on connections of callers."""
        return self.ledger.limits

    def instances(self) -> http.ConnectionLimits:
        """Returns the limits on connections of other instances.

        Their idle timeout is the default: the client of an instance reuses
        connections for longer than the configured time.
        """
        return self._for_instances

    def resize(self, *, memory_mb: int, max_fds: int) -> None:
        """Applies the totals of new settings, also to open connections."""
        self._default = http.ConnectionLimits().for_machine(
            memory_mb=memory_mb, max_fds=max_fds
        )
        self._set(
            dataclasses.replace(
                self.ledger.limits,
                max_connections=self._default.max_connections,
                max_buffered_bytes=self._default.max_buffered_bytes,
                memory_bytes=self._default.memory_bytes,
            )
        )

    def apply(self, configuration: routing.Configuration) -> None:
        """Applies the limits of a configuration.

        Limits that are not allowed are logged, and the former ones remain.
        """
        configured = {
            "max_header_bytes": configuration.max_header_bytes,
            "header_timeout_s": configuration.header_timeout_s,
            "idle_timeout_s": configuration.idle_timeout_s,
        }
        try:
            limits = dataclasses.replace(
                self._default, **{n: v for n, v in configured.items() if v}
            )
        except exceptions.InvalidParameterError as error:
            observability.log_event(
                "client limits", state="not usable", reason=str(error)
            )
            return
        self._set(limits)

    def dump(self) -> dict[str, int]:
        """Returns what the connections hold, and the totals in force."""
        totals = self.ledger.totals
        return {
            **self.ledger.dump(),
            "max_connections": totals.max_connections,
            "max_buffered_bytes": totals.max_buffered_bytes,
        }

    def _set(self, limits: http.ConnectionLimits) -> None:
        if limits == self.ledger.limits:
            return
        self.ledger.limits = limits
        self._for_instances = dataclasses.replace(
            limits, idle_timeout_s=self._default.idle_timeout_s
        )
        self.ledger.update_timeouts()
        observability.log_event(
            "client limits", state="in force", **dataclasses.asdict(limits)
        )
