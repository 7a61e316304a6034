"""`banyantiller explain`: what became of a request, from the logs alone."""

import sys
from collections.abc import Iterator

from banyantiller import exceptions
from banyantiller.commands import explain_page, output
from banyantiller.explain import explanation, log_reader

NOT_KNOWN_STATUS = 10


def explain(
    id: str,  # noqa: A002
    *files: str,
    html_file: str = "",
    json: bool = False,
) -> int:
    """Tells what became of a request.

    Give the logs of all daemons; a request that was refused comes back under
    another identity. Clocks of daemons may differ: lines are compared with
    those of the same daemon only.

    The exit status is 0 if a line says how the request ended, else 10.

    Args:
        id: Identity of the request, as the caller sent it.
        files: Log files; standard input if none are given.
        html_file: Also write a page with a timeline to this path; needs the
            optional extra `report`.
        json: Print JSON for programs.
    """
    logs = log_reader.parse_lines(_lines(files))
    found = explanation.explain_request(id, logs)
    data = {
        "id": id,
        "ran": found.ran,
        "sentences": found.sentences,
        "unknown": found.unknown,
        "lines": [line.fields for line in found.lines],
    }
    if html_file:
        output.write_file(html_file, explain_page.build(id, found))
    output.emit(json, data, _text(found))
    ended = any(
        line.event == explanation.CALL_ENDED_EVENT for line in found.lines
    )
    return 0 if ended else NOT_KNOWN_STATUS


def _lines(files: tuple[str, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise exceptions.ConfigError(
                f"{name}: {error.strerror}."
            ) from error


def _text(found: explanation.Explanation) -> Iterator[str]:
    yield from found.sentences
    yield f"Did it run: {found.ran}."
    if found.unknown:
        yield "Not known:"
        yield from (f"  {text}" for text in found.unknown)
