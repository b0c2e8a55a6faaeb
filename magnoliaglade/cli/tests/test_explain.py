import json

from click import testing

from magnoliaglade import cli

JOB = "5c0e7a21d94b36f8"


def line(kind, at_s, **fields):
    return json.dumps(
        {"message_type": f"magnoliaglade:{kind}", "timestamp": at_s, **fields}
    )


class TestExplain:
    def test_lines_of_several_instances_are_merged(self, tmp_path):
        first = tmp_path / "e1.log"
        second = tmp_path / "e2.log"
        first.write_text(
            line("submission", 1.0, job=JOB, instance="e1", outcome="accepted")
            + "\nnot a line\n"
            + line("submission", 1.5, job="0" * 16, instance="e1")
        )
        second.write_text(
            line("end", 3.0, task=f"{JOB}.0.0.1", instance="e2")
            + "\n"
            + line("start", 2.0, task=f"{JOB}.0.0.1", instance="e2")
            + "\n"
            + line("worker", 2.5, instance="e2", dropped_before=4)
        )
        result = testing.CliRunner().invoke(
            cli.main, ["explain", JOB, str(first), str(second)]
        )
        assert result.exit_code == 0
        kinds = [x.split()[2] for x in result.stdout.splitlines()]
        assert kinds == ["submission", "start", "end"]
        assert "e2 dropped 4 lines" in result.output

    def test_an_unknown_job_is_an_error(self, tmp_path):
        log = tmp_path / "e1.log"
        log.write_text(line("end", 3.0, task=f"{JOB}.0.0.1"))
        result = testing.CliRunner().invoke(
            cli.main, ["explain", "1" * 16, str(log)]
        )
        assert result.exit_code == 1
