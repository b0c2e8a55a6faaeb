"""Tests of the codec, the questionnaire, the check and the diff."""

import dataclasses
import pathlib

import hypothesis
import pytest
import yaml
from hypothesis import strategies as st

from magnoliaglade import configuration as configuration_lib

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
DEPLOYMENTS = ["inkstone", "hvalfjordur"]


def load_example_answers(name):
    return configuration_lib.load_answers(EXAMPLES / name / "answers.yaml")


def encode_example():
    return configuration_lib.encode(
        configuration_lib.generate(load_example_answers("inkstone"))
    )


SCALARS = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text()
) | st.sampled_from(["in-service", "rack", "a", 10**400, "\ud800", b"x"])
PLAIN = st.recursive(
    SCALARS,
    lambda x: st.lists(x, max_size=3) | st.dictionaries(SCALARS, x, max_size=3),
    max_leaves=10,
)


def iter_paths(value, path=()):
    yield path
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list):
            yield from iter_paths(item, (*path, key))
        else:
            yield (*path, key)


class TestCodec:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_round_trip(self, name):
        """Guards against a field that is lost in encoding or decoding."""
        value = configuration_lib.generate(load_example_answers(name))
        cls = configuration_lib.Configuration
        data = configuration_lib.to_bytes(value)
        assert configuration_lib.from_bytes(cls, data, source="x") == value
        text = configuration_lib.to_yaml(value)
        assert configuration_lib.from_yaml(cls, text, source="x") == value

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(data=st.data())
    def test_value_at_any_path_is_decoded_or_rejected(self, data):
        """Guards against a crash, or a value that cannot be stored again."""
        plain = encode_example()
        path = data.draw(st.sampled_from(list(iter_paths(plain))))
        value = data.draw(PLAIN)
        target = plain
        for key in path[:-1]:
            target = target[key]
        if path:
            target[path[-1]] = value
        else:
            plain = value
        cls = configuration_lib.Configuration
        try:
            decoded = configuration_lib.decode(cls, plain, source="k")
        except configuration_lib.InvalidConfigurationError as error:
            assert error.source == "k" and error.found and error.allowed
            return
        raw = configuration_lib.to_bytes(decoded)
        assert configuration_lib.from_bytes(cls, raw, source="k") == decoded

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(raw=st.binary(), text=st.text())
    @hypothesis.example(raw=b"", text="a: &x [*x]")
    @hypothesis.example(raw=b"\xc1", text="2000-99-99")
    @hypothesis.example(raw=b"\x91" * 3000, text="[" * 3000)
    @hypothesis.example(raw=b"\x81\x80\x01", text="9" * 5000)
    @hypothesis.example(raw=b"\x93\x90\x80\xc0", text="1: 2")
    @hypothesis.example(raw=b"", text="? [a]\n: b")
    @hypothesis.example(raw=b"", text="!!timestamp x")
    @hypothesis.example(raw=b"", text="!!int ''")
    @hypothesis.example(raw=b"", text="!!bool x")
    def test_arbitrary_bytes_and_text_are_rejected(self, raw, text):
        """Guards against a parser's exception that reaches the operator."""
        cls = configuration_lib.Configuration
        with pytest.raises(configuration_lib.InvalidConfigurationError):
            configuration_lib.from_bytes(cls, raw, source="k")
        with pytest.raises(configuration_lib.InvalidConfigurationError):
            configuration_lib.StoredConfiguration.from_bytes(raw, source="k")
        with pytest.raises(configuration_lib.InvalidConfigurationError):
            configuration_lib.from_yaml(cls, text, source="k")

    @pytest.mark.parametrize(
        ("old", "new", "parts"),
        [
            ("team: inkstone", "teem: inkstone", ["unknown key 'teem'"]),
            ("level: rack", "level: room", ["'room'", "rack", "[0].level"]),
            ("request_share: 0.4", "request_share: 1.4", ["1.4", "[0, 1"]),
            ("idempotent: false", "idempotent: 'no'", ["'no'", "true or"]),
            ("work: >-", "team: b\nwork: >-", ["repeated key", "team"]),
            ("    idempotent: false\n", "", ["nothing", "true or false"]),
        ],
    )
    def test_error_shows_file_path_value_and_allowed(
        self, tmp_path, old, new, parts
    ):
        """Guards against errors that do not say which value to correct."""
        text = (EXAMPLES / "inkstone" / "answers.yaml").read_text()
        assert old in text
        file = tmp_path / "answers.yaml"
        file.write_text(text.replace(old, new))
        with pytest.raises(configuration_lib.InvalidConfigurationError) as e:
            configuration_lib.load_answers(file)
        for part in [str(file), *parts]:
            assert part in str(e.value)

    def test_key_in_place_of_digest_is_not_shown(self):
        """Guards against an account's key in error messages and logs."""
        plain = encode_example()
        plain["accounts"][0]["key_digest"] = "the-real-key"
        with pytest.raises(configuration_lib.InvalidConfigurationError) as e:
            configuration_lib.decode(
                configuration_lib.Configuration, plain, source="k"
            )
        assert "the-real-key" not in str(e.value)
        assert "accounts[0].key_digest" in str(e.value)


class TestQuestionnaire:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_examples_have_no_problems(self, name):
        """Guards against an example whose guarantees do not fit."""
        answers = load_example_answers(name)
        value = configuration_lib.generate(answers)
        capacity = configuration_lib.capacity_of(answers)
        assert configuration_lib.check(value, capacity) == ()
        assert sum(len(r.accelerators) for r in capacity) == 24
        assert len(value.accounts) == 4

    def test_amended_answers_keep_a_zone_removed(self):
        """Guards against an amendment that returns a zone by accident."""
        answers = load_example_answers("inkstone")
        first = configuration_lib.generate(answers)
        removed = dataclasses.replace(
            first.zones[0], state=configuration_lib.ZoneState.REMOVED
        )
        first = dataclasses.replace(first, zones=(removed, *first.zones[1:]))
        answers = dataclasses.replace(answers, entry_instances=6)
        second = configuration_lib.generate(answers, previous=first)
        assert second.revision == first.revision + 1
        assert second.zones == first.zones
        text = [str(c) for c in configuration_lib.diff(first, second)]
        assert text[0] == "~ entry_instances: 9 -> 6"

    def test_questions_cover_the_answers_file(self):
        """Guards against an answer without a question."""
        text = (EXAMPLES / "inkstone" / "answers.yaml").read_text()
        asked = {q.path for q in configuration_lib.questions() if q.text}
        plain = yaml.safe_load(text)
        for path in iter_paths(plain):
            name = ""
            for key in path:
                name += "[]" if isinstance(key, int) else f".{key}"
            if "guarantees[]" in name or name.endswith("[]") or not name:
                continue
            assert name.lstrip(".") in asked


def guarantee(level, count, **kw):
    return configuration_lib.Guarantee(
        level=configuration_lib.CellLevel(level), count=count, **kw
    )


class TestCheck:
    def problems(self, *guarantees, **changes):
        answers = load_example_answers("inkstone")
        value = configuration_lib.generate(answers)
        account = dataclasses.replace(
            value.accounts[0], guarantees=guarantees, **changes
        )
        value = dataclasses.replace(value, accounts=(account,))
        capacity = configuration_lib.capacity_of(answers)
        return [
            (p.severity.value, p.path, p.text)
            for p in configuration_lib.check(value, capacity)
        ]

    def test_problem_shows_the_guarantee_and_the_outage(self):
        """Guards against an unreported guarantee that a zone outage breaks."""
        found = self.problems(guarantee("rack", 1), guarantee("worker", 9))
        assert len(found) == 3
        assert found[0][:2] == ("warning", "accounts[styles].guarantees[1]")
        assert "1 of 9" in found[0][2] and "east-asia-a" in found[0][2]
        assert self.problems(guarantee("rack", 4))[0][0] == "error"

    def test_exact_packing_has_no_problems(self):
        """Guards against a fit that depends on the order of cell sizes."""
        assert not self.problems(
            guarantee("accelerator", 64, accelerators=1),
            guarantee("accelerator", 8, accelerators=4),
            guarantee("worker", 4),
        )

    def test_bound_guarantee_does_not_fit_without_its_zone(self):
        """Guards against counting capacity of a zone that is out of service."""
        found = self.problems(guarantee("worker", 8, zone="east-asia-b"))
        assert len(found) == 1
        assert "while zone east-asia-b is out of service" in found[0][2]

    def test_excess_shares_and_repeated_names_are_found(self):
        """Guards against shares above 1 and ambiguous names and keys."""
        value = configuration_lib.generate(load_example_answers("inkstone"))
        repeated = dataclasses.replace(value, accounts=value.accounts * 2)
        texts = [p.text for p in configuration_lib.check_structure(repeated)]
        assert any("sum to 1.8" in t for t in texts)
        assert any("'press' appears 2 times" in t for t in texts)
