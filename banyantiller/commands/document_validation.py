"""Checks a document of the platform before it is sent."""

import math
from typing import Any

from banyantiller import exceptions, plugins
from banyantiller.commands import context, document_files, output
from banyantiller.config import defaults, problems
from banyantiller.gateway import (
    document_checks,
    document_differences,
    types,
)
from banyantiller.gateway import settings as gateway_settings
from banyantiller.store import interface

# The adapter connects on the first call only.
NO_ENDPOINT = defaults.Endpoint("127.0.0.1", 1)


def validate(
    file: str, against: str, against_store: str, strict: bool, as_json: bool
) -> int:
    """Prints all problems of a document, and what it changes.

    Args:
        file: Path of the document, or `-` for the standard input.
        against: Path of the document to compare with, or empty.
        against_store: HOST:PORT of the store whose document to compare with,
            or empty.
        strict: Whether warnings are errors.
        as_json: Whether programs read the output.

    Raises:
        ConfigError: One of the documents is not valid.
        StoreError: The store gave no answer.
    """
    if against and against_store:
        raise exceptions.ConfigError(
            "Give one of --against and --against-store."
        )
    adapter = _adapter(NO_ENDPOINT)
    document, found = _read(file, adapter)
    raise_problems(found, strict)
    differences = []
    if against or against_store:
        before = (
            _read(against, adapter)[0]
            if against
            else _read_store(against_store)
        )
        differences = document_differences.compare(before, document)
        if before.version >= document.version:
            found.warn(
                adapter.field_name("", "version"),
                f"The version is not above {before.version}, which is in"
                " force: daemons ignore the document.",
            )
            raise_problems(found, strict)
    _print(found, differences, adapter, as_json)
    return 0


def raise_problems(found: problems.Problems, strict: bool) -> None:
    """Raises all problems if there is an error among them.

    Args:
        found: Problems of a file.
        strict: Whether warnings are errors.

    Raises:
        ConfigError: There are errors.
    """
    if strict:
        found.found = [item._replace(warning=False) for item in found.found]
    found.raise_errors()


def _adapter(endpoint: defaults.Endpoint) -> types.Adapter:
    names = gateway_settings.Settings._field_defaults
    registry = plugins.Registry.from_names(names["plugins"])
    return registry.get("gateway", names["adapter"])(endpoint)


def _read(
    file: str, adapter: types.Adapter
) -> tuple[types.Document, problems.Problems]:
    value, found = document_files.read(file)
    document = _check(value, found, adapter)
    return document, found


def _check(
    value: Any, found: problems.Problems, adapter: types.Adapter
) -> types.Document:
    for problem in adapter.find_problems(value):
        report = found.warn if problem.warning else found.error
        report(problem.path, problem.message)
    found.raise_errors()
    document = adapter.read_document(value)
    retry_ratio = gateway_settings.Settings._field_defaults["retry_ratio"]
    for finding in document_checks.find_warnings(document, retry_ratio):
        found.warn(_path(finding, adapter), finding.message)
    return document


def _path(finding: types.DocumentFinding, adapter: types.Adapter) -> str:
    part = adapter.field_name(finding.part, "")
    index = "" if finding.index is None else f"[{finding.index}]"
    return f"{part}{index}.{adapter.field_name(finding.part, finding.field)}"


def _read_store(endpoint: str) -> types.Document:
    """Returns the document in the store.

    Raises:
        ConfigError: The document in the store is not valid.
        StoreError: The store gave no answer, or has no document.
    """
    try:
        adapter = _adapter(gateway_settings.parse_endpoint(endpoint))
    except ValueError as error:
        raise exceptions.ConfigError(f"{error}.") from error
    surroundings = context.SURROUNDINGS.get() or context.Surroundings()
    listed = surroundings.run(_list(adapter))
    if isinstance(listed, interface.Unavailable):
        raise exceptions.StoreError(
            f"The store at {endpoint} gave no answer: {listed.reason}."
        )
    for item in listed.items:
        if item.name == adapter.document_name:
            return _check(item.value, problems.Problems(endpoint), adapter)
    raise exceptions.StoreError(f"The store at {endpoint} has no document.")


async def _list(adapter: types.Adapter) -> interface.ListOutcome:
    try:
        return await adapter.store.list(adapter.document_kind)
    finally:
        await adapter.store.close()


def _print(
    found: problems.Problems,
    differences: list[document_differences.Difference],
    adapter: types.Adapter,
    as_json: bool,
) -> None:
    rows = [_difference_data(one, adapter) for one in differences]
    warnings = found.warnings()
    count = f"; warnings: {len(warnings)}" if warnings else ""
    output.emit(
        as_json,
        {
            "file": found.file,
            "valid": True,
            "problems": [output.problem_data(item) for item in warnings],
            "differences": rows,
        },
        [
            *(item.text() for item in warnings),
            *(_difference_text(row) for row in rows),
            f"{found.file} is valid{count}.",
        ],
    )


def _difference_data(
    one: document_differences.Difference, adapter: types.Adapter
) -> dict[str, Any]:
    return {
        "change": one.change.value,
        "part": adapter.field_name(one.part, ""),
        "subject": one.subject,
        "field": adapter.field_name(one.part, one.field),
        "before": _json_value(one.before),
        "after": _json_value(one.after),
    }


def _json_value(value: Any) -> Any:
    """Returns None for the infinite figures that stand for no limit."""
    return None if value == math.inf else value


def _difference_text(row: dict[str, Any]) -> str:
    words = (row["part"], row["subject"], row["field"])
    what = " ".join(word for word in words if word)
    return f"{row['change']}: {what}: {row['before']} -> {row['after']}"
