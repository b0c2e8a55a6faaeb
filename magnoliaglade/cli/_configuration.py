"""Commands for the questionnaire and the configuration."""

import pathlib
from typing import Any

import click
import yaml

from magnoliaglade import configuration as config_lib
from magnoliaglade.cli import _client, _errors, _output

_ANSWERS_ARGUMENT = click.argument(
    "answers", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)


@click.command()
@click.option(
    "--output",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default=pathlib.Path("answers.yaml"),
    show_default=True,
    help="File to write the answers to.",
)
@click.option(
    "--list", "only_list", is_flag=True, help="Print the questions and exit."
)
def questionnaire(output: pathlib.Path, only_list: bool) -> None:
    """Ask about the team's work and write the answers to a file.

    The file can also be edited by hand; `config check` reads it and reports
    inconsistencies.
    """
    questions = config_lib.questions()
    if only_list:
        rows = [
            {"answer": q.path, "question": q.text, "allowed": q.allowed}
            for q in questions
        ]
        columns = ["answer", "question", "allowed"]
        click.echo(_output.format_table(rows, columns=columns))
        return
    answers = _ask_all([(q.path, q) for q in questions])
    text = yaml.safe_dump(answers, sort_keys=False, allow_unicode=True)
    _load(
        lambda: config_lib.from_yaml(config_lib.Answers, text, source="answers")
    )
    output.write_text(text, encoding="utf-8")
    click.echo(f"wrote {output}")


@click.group()
def config() -> None:
    """Check, apply and compare configurations."""


@config.command("check")
@_ANSWERS_ARGUMENT
def config_check(answers: pathlib.Path) -> None:
    """Check the file ANSWERS as a whole, without an entry instance."""
    loaded = _load(lambda: config_lib.load_answers(answers))
    problems = config_lib.check(
        config_lib.generate(loaded), config_lib.capacity_of(loaded)
    )
    _report_problems(problems)
    click.echo("the configuration can be applied")


@config.command("apply")
@_ANSWERS_ARGUMENT
@click.option(
    "--base",
    type=int,
    help="Revision that the answers were made from; the current one if none "
    "is given. If another is current, nothing changes.",
)
@_client.operator_command
def config_apply(
    answers: pathlib.Path,
    base: int | None,
    url: str,
    key: str,
    as_json: bool,
) -> None:
    """Generate the configuration from ANSWERS and make it current."""
    loaded = _load(lambda: config_lib.load_answers(answers))
    current = _client.call(url, "GET", "/v1/operator/config", key=key)
    base = current["revision"] if base is None else base
    previous = _decode(current["document"])
    generated = config_lib.generate(loaded, previous=previous)
    _report_problems(
        config_lib.check(generated, config_lib.capacity_of(loaded))
    )
    answer = _client.call(
        url,
        "POST",
        "/v1/operator/config",
        key=key,
        fields={"base": base, "document": config_lib.encode(generated)},
    )
    if as_json:
        _output.show(answer, as_json=True)
        return
    for change in answer["changes"]:
        click.echo(change)
    click.echo(f"revision {answer['revision']} is current")


@config.command("show")
@click.option("--revision", type=int, help="The current one by default.")
@_client.operator_command
def config_show(
    revision: int | None,
    url: str,
    key: str,
    as_json: bool,
) -> None:
    """Show a revision of the configuration."""
    query = {"revision": revision}
    answer = _client.call(
        url, "GET", "/v1/operator/config", key=key, query=query
    )
    if as_json:
        _output.show(answer, as_json=True)
        return
    click.echo(
        yaml.safe_dump(answer["document"], sort_keys=False, allow_unicode=True)
    )


@config.command("history")
@_client.operator_command
def config_history(url: str, key: str, as_json: bool) -> None:
    """List all accepted revisions."""
    answer = _client.call(url, "GET", "/v1/operator/config/history", key=key)
    columns = ["revision", "writer", "removed_zones"]
    _output.show(answer["revisions"], as_json=as_json, columns=columns)


@config.command("diff")
@click.argument("old", type=int)
@click.argument("new", type=int)
@_client.operator_command
def config_diff(old: int, new: int, url: str, key: str, as_json: bool) -> None:
    """Show what changed from revision OLD to revision NEW."""
    query = {"old": old, "new": new}
    answer = _client.call(
        url, "GET", "/v1/operator/config/diff", key=key, query=query
    )
    if as_json:
        _output.show(answer, as_json=True)
        return
    for change in answer["changes"]:
        click.echo(change)


def _load(load: Any) -> Any:
    try:
        return load()
    except config_lib.ConfigurationError as error:
        raise _errors.CommandError(
            str(error), status=_errors.ExitStatus.USAGE
        ) from error


def _decode(document: Any) -> config_lib.Configuration | None:
    if document is None:
        return None
    return config_lib.decode(
        config_lib.Configuration, document, source="current configuration"
    )


def _report_problems(problems: tuple[config_lib.Problem, ...]) -> None:
    for problem in problems:
        click.echo(f"{problem.severity.value}: {problem.path}: {problem.text}")
    if any(p.severity is config_lib.Severity.ERROR for p in problems):
        raise _errors.CommandError(
            "the configuration cannot be applied",
            status=_errors.ExitStatus.USAGE,
        )


def _ask_all(questions: list[tuple[str, config_lib.Question]]) -> Any:
    """Returns the answers to the questions of one level.

    Questions about lists are asked item by item.
    """
    answers: dict[str, Any] = {}
    for path, question in questions:
        if "[]" in path:
            continue
        nested = [
            (inner.removeprefix(f"{path}[]."), q)
            for inner, q in questions
            if inner.startswith(f"{path}[].")
        ]
        answers[path] = (
            _ask_list(path, question, nested)
            if nested
            else (_ask_one(path, question))
        )
    return {k: v for k, v in answers.items() if v is not None}


def _ask_list(
    path: str,
    question: config_lib.Question,
    nested: list[tuple[str, config_lib.Question]],
) -> list[Any]:
    click.echo(question.text)
    items = []
    while True:
        click.echo(f"{path}, number {len(items) + 1}:")
        items.append(_ask_all(nested))
        if not click.confirm("Another one?", default=False):
            return items


def _ask_one(path: str, question: config_lib.Question) -> Any:
    hint = f" ({question.allowed})" if question.allowed else ""
    text = click.prompt(
        f"{path}: {question.text}{hint}",
        default=None if question.is_required else "",
        show_default=False,
    )
    return None if text == "" else yaml.safe_load(text)
