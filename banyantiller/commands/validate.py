"""`banyantiller validate`: checks a file before it is used or sent."""

from collections.abc import Callable
from typing import Any, Literal

from banyantiller import exceptions
from banyantiller.bundle import parsing
from banyantiller.commands import document_validation, output
from banyantiller.config import documents, problems, settings

PARSERS: dict[str, Callable[[str, str], tuple[Any, Any]]] = {
    "bundle": parsing.parse,
    "settings": settings.parse,
    "operator": settings.parse_operator,
}


def validate(
    file: str,
    *,
    kind: Literal["bundle", "settings", "operator", "document"] = "bundle",
    against: str = "",
    against_store: str = "",
    strict: bool = False,
    json: bool = False,
) -> int:
    """Checks a bundle, a settings file or a document; prints every problem.

    No connection is opened, except to the store of `--against-store`.

    Args:
        file: YAML file; a document may also be JSON, and `-` reads it from the
            standard input.
        kind: What the file holds. A document is what the gateway reads from
            the platform's store.
        against: File of another document, to show what changes.
        against_store: HOST:PORT of the platform's store, to show what changes.
        strict: Treat warnings as errors.
        json: Print JSON for programs.
    """
    if kind == "document":
        return document_validation.validate(
            file, against, against_store, strict, json
        )
    if against or against_store:
        raise exceptions.ConfigError("Only documents are compared.")
    _, warnings = PARSERS[kind](documents.read_file(file), file)
    if strict and warnings:
        found = problems.Problems(file)
        found.found = list(warnings)
        document_validation.raise_problems(found, strict)
    shown = [output.problem_data(item) for item in warnings]
    lines = [item.text() for item in warnings]
    count = f"; warnings: {len(warnings)}" if warnings else ""
    output.emit(
        json,
        {"file": file, "valid": True, "problems": shown},
        [*lines, f"{file} is valid{count}."],
    )
    return 0
