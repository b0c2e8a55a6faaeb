"""Tests of the limits on clients of an instance."""

from magnoliaglade import platform, store
from magnoliaglade.instance import _client_limits
from magnoliaglade.platform import testing

CONFIGURED = {
    "maxHeaderBytes": 16_384,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}


def configuration(limits):
    key, value = testing.encode_configuration({"version": 1, "limits": limits})
    entry = store.Entry(key=key, value=value, revision=1)
    return platform.decode_operator_state({key: entry}).configuration


def make():
    return _client_limits.ClientLimits(
        memory_mb=160, max_fds=1_638, observe_rejection=lambda reason: None
    )


class TestClientLimits:
    def test_configured_limits_are_in_force(self):
        """Guards against instances that disconnect each other's clients.

        A client of another instance reuses connections for 30 s.
        """
        limits = make()
        limits.apply(configuration(CONFIGURED))
        callers, instances = limits.callers(), limits.instances()
        assert callers.max_header_bytes == 16_384
        assert callers.header_timeout_s == 3.0
        assert callers.idle_timeout_s == 15.0
        assert callers.max_connections == 480
        assert instances.max_header_bytes == 16_384
        assert instances.idle_timeout_s == 75.0

    def test_missing_limits_keep_the_defaults(self):
        limits = make()
        default = limits.callers()
        limits.apply(configuration({}))
        assert limits.callers() == limits.instances() == default

    def test_limits_that_are_not_allowed_change_nothing(self):
        """Guards against a configuration that locks all callers out."""
        limits = make()
        limits.apply(configuration(CONFIGURED))
        former = limits.callers()
        limits.apply(configuration({"maxHeaderBytes": 1}))
        assert limits.callers() == former
