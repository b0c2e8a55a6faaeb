"""Tests of commands that need no entry instance."""

import pathlib

import pytest
import yaml
from click import testing

from magnoliaglade import cli
from magnoliaglade.cli import _output

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def invoke(*arguments, **options):
    return testing.CliRunner().invoke(cli.main, list(arguments), **options)


class TestHelp:
    def test_every_command_has_help(self):
        result = invoke("--help")
        assert result.exit_code == 0
        for name in ("demo", "entry", "zone", "config", "job", "state"):
            assert name in result.output
            assert invoke(name, "--help").exit_code == 0


class TestKeys:
    @pytest.mark.parametrize(
        "arguments", [("zone", "list"), ("job", "list"), ("state",)]
    )
    def test_missing_key_is_a_usage_error(self, arguments, monkeypatch):
        monkeypatch.delenv("MAGNOLIAGLADE_OPERATOR_KEY", raising=False)
        monkeypatch.delenv("MAGNOLIAGLADE_ACCOUNT_KEY", raising=False)
        result = invoke(*arguments)
        assert result.exit_code == 2
        assert "no key" in result.output

    def test_unreachable_instance_has_its_own_exit_status(self, tmp_path):
        """Guards against status "unknown" for a call that was never sent."""
        path = tmp_path / "key"
        path.write_text("k")
        result = invoke(
            *("zone", "remove", "a", "--url", "http://127.0.0.1:9"),
            *("--key-file", str(path)),
            env={"MAGNOLIAGLADE_OPERATOR_KEY": ""},
        )
        assert result.exit_code == 4
        assert "not run" in result.output


class TestConfigCheck:
    def test_example_can_be_applied(self):
        path = EXAMPLES / "hvalfjordur" / "answers.yaml"
        assert invoke("config", "check", str(path)).exit_code == 0

    def test_guarantee_that_does_not_fit_is_named(self, tmp_path):
        answers = yaml.safe_load(
            (EXAMPLES / "inkstone" / "answers.yaml").read_text()
        )
        answers["accounts"][0]["guarantees"] = [{"level": "rack", "count": 9}]
        path = tmp_path / "answers.yaml"
        path.write_text(yaml.safe_dump(answers))
        result = invoke("config", "check", str(path))
        assert result.exit_code == 2
        assert "styles" in result.output

    def test_wrong_answer_names_file_key_and_what_is_allowed(self, tmp_path):
        path = tmp_path / "answers.yaml"
        path.write_text("team: Not A Name\n")
        result = invoke("config", "check", str(path))
        assert result.exit_code == 2
        assert (
            "answers.yaml: team: found 'Not A Name'; allowed:" in result.output
        )


class TestQuestionnaire:
    def test_questions_are_listed(self):
        result = invoke("questionnaire", "--list")
        assert result.exit_code == 0
        assert "services[].kinds[].idempotent" in result.output


class TestTable:
    def test_columns_are_aligned(self):
        rows = [{"a": "x", "b": None}, {"a": "long", "b": [1, 2]}]
        text = _output.format_table(rows, columns=["a", "b"])
        assert text.splitlines() == ["a     b", "x     -", "long  1,2"]
