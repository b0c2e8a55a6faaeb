"""Every example runs and prints what its page says."""

import pathlib
import runpy

import pytest

from magnoliaglade import configuration

FOLDER = pathlib.Path(__file__).parents[2] / "examples"
EXPECTED = {
    "place_gangs.py": ["start training", "refuse too-large no-shape"],
    "keep_records.py": ["is fenced", "b'order 2'"],
    "limit_retries.py": ["20 of 200 requests"],
}


class TestExamples:
    def test_every_example_is_listed(self):
        assert {p.name for p in FOLDER.glob("*.py")} == set(EXPECTED)

    @pytest.mark.parametrize("name", sorted(EXPECTED))
    def test_example_runs(self, name, capsys):
        runpy.run_path(str(FOLDER / name), run_name="__main__")
        printed = capsys.readouterr().out
        for text in EXPECTED[name]:
            assert text in printed

    @pytest.mark.parametrize("name", ["inkstone", "hvalfjordur"])
    def test_deployment_can_be_applied(self, name):
        """Guards against an example deployment whose guarantees do not fit."""
        answers = configuration.load_answers(FOLDER / name / "answers.yaml")
        problems = configuration.check(
            configuration.generate(answers), configuration.capacity_of(answers)
        )
        assert problems == ()
