"""Tests of loading and validating settings."""

import hypothesis
import pytest
from hypothesis import strategies as st

from magnoliaglade import settings

VALID = {
    "instance": "e1",
    "zone": "z",
    "http": {"host": "127.0.0.1", "port": 0},
    "peers": {"host": "127.0.0.1"},
    "store": {"url": "http://127.0.0.1:1"},
    "instance_list": {"url": "http://127.0.0.1:2"},
}


class TestSettings:
    def test_defaults_fill_missing_keys(self):
        loaded = settings.parse(VALID)
        assert loaded.peers_port == 7070
        assert loaded.http_port == 0

    def test_every_problem_is_listed(self):
        """Guards against an error that reports only the first invalid key."""
        data = {
            **VALID,
            "zone": 7,
            "http": {"host": "127.0.0.1", "port": 70000},
            "colour": "red",
        }
        del data["instance"]
        with pytest.raises(settings.SettingsError) as caught:
            settings.parse(data, path="e.yaml")
        keys = {p.key for p in caught.value.problems}
        assert keys == {"instance", "zone", "http.port", "colour"}
        assert "found 70000, allowed is int in [0, 65535]" in str(caught.value)

    def test_unreadable_file_is_named_in_the_error(self, tmp_path):
        path = tmp_path / "broken.yaml"
        path.write_text("a: [1")
        with pytest.raises(settings.SettingsError, match="broken.yaml"):
            settings.load(path)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(),
            lambda x: (
                st.lists(x)
                | st.dictionaries(st.sampled_from([*VALID, "port"]), x)
            ),
        )
    )
    def test_arbitrary_data_raises_settings_error(self, data):
        """Guards against a crash on a file of unexpected structure."""
        with pytest.raises(settings.SettingsError):
            settings.parse(data)
