"""Events of the log, each declared once as a type with its text and fields.

A field is annotated with its meaning. The line of an event has its text under
`event` and its fields beside it; the reference page is made from the types.
"""

import typing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeVar

T = TypeVar("T")


class Declared(NamedTuple):
    """How an event is logged.

    Attributes:
        text: Its sentence, which begins with the prefix of its part.
        level: Name of the level of its lines.
    """

    text: str
    level: str


# Filled by `event` as modules that declare events are imported.
DECLARED: dict[type, Declared] = {}


def event(text: str, level: str = "info") -> Callable[[type[T]], type[T]]:
    """Declares a `NamedTuple` as an event of the log.

    Raises:
        ValueError: Another event has this text.
    """
    if any(known.text == text for known in DECLARED.values()):
        raise ValueError(f"There is an event '{text}' already")

    def declare(kind: type[T]) -> type[T]:
        DECLARED[kind] = Declared(text, level)
        return kind

    return declare


def emit(log: Any, occurred: Any, **more: Any) -> None:
    """Writes the line of an event.

    Args:
        log: A `structlog` logger.
        occurred: The event, of a declared type.
        **more: What the logger takes besides, such as `exc_info`.
    """
    text, level = DECLARED[type(occurred)]
    getattr(log, level)(text, **occurred._asdict(), **more)


def text_of(kind: type) -> str:
    """Returns the text that lines of an event have."""
    return DECLARED[kind].text


def render(title: str, text: str, modules: tuple[str, ...]) -> str:
    """Renders the events of modules in Markdown, in declared order."""
    lines = [f"# {title}", "", text.rstrip(), ""]
    for kind, declared in DECLARED.items():
        if kind.__module__ in modules:
            lines += _section(kind, declared)
    return "\n".join(lines).rstrip() + "\n"


def _section(kind: type, declared: Declared) -> Iterator[str]:
    yield f"## {declared.text}"
    yield ""
    meaning = " ".join((kind.__doc__ or "").split())
    yield f"{meaning} Level: {declared.level}."
    yield ""
    hints = typing.get_type_hints(kind, include_extras=True)
    if not hints:
        return
    yield "| field | type | meaning |"
    yield "|---|---|---|"
    for name, hint in hints.items():
        inner, *notes = typing.get_args(hint)
        shown = getattr(inner, "__name__", str(inner))
        if typing.get_args(inner):
            shown = str(inner).replace("|", "or")
        yield f"| `{name}` | {shown} | {notes[0]} |"
    yield ""
