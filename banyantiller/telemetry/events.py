"""Events of the log, each declared once as a type with its text and fields.

A field is annotated with its meaning. The line of an event has its text under
`event` and its fields beside it; the reference page is made from the types.
"""

import typing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeVar

T = TypeVar("T")


class EventDeclaration(NamedTuple):
    """How an event is logged.

    Attributes:
        text: Its sentence, which begins with the prefix of its part.
        level: Name of the level of its lines.
    """

    text: str
    level: str


# Filled by `event` as modules that declare events are imported.
DECLARATIONS: dict[type, EventDeclaration] = {}


def event(text: str, level: str = "info") -> Callable[[type[T]], type[T]]:
    """Declares a `NamedTuple` as an event of the log.

    Raises:
        ValueError: Another event has this text.
    """
    if any(known.text == text for known in DECLARATIONS.values()):
        raise ValueError(f"There is an event '{text}' already")

    def declare(event_type: type[T]) -> type[T]:
        DECLARATIONS[event_type] = EventDeclaration(text, level)
        return event_type

    return declare


def emit(log: Any, occurrence: Any, **logger_arguments: Any) -> None:
    """Writes the line of an event.

    Args:
        log: A `structlog` logger.
        occurrence: The event, of a declared type.
        **logger_arguments: What the logger takes besides, such as `exc_info`.
    """
    text, level = DECLARATIONS[type(occurrence)]
    getattr(log, level)(text, **occurrence._asdict(), **logger_arguments)


def text_of(event_type: type) -> str:
    """Returns the text that lines of an event have."""
    return DECLARATIONS[event_type].text


def render(title: str, text: str, modules: tuple[str, ...]) -> str:
    """Renders the events of modules in Markdown, in declared order."""
    lines = [f"# {title}", "", text.rstrip(), ""]
    for event_type, declared in DECLARATIONS.items():
        if event_type.__module__ in modules:
            lines += _section(event_type, declared)
    return "\n".join(lines).rstrip() + "\n"


def _section(event_type: type, declared: EventDeclaration) -> Iterator[str]:
    yield f"## {declared.text}"
    yield ""
    description = " ".join((event_type.__doc__ or "").split())
    yield f"{description} Level: {declared.level}."
    yield ""
    hints = typing.get_type_hints(event_type, include_extras=True)
    if not hints:
        return
    yield "| field | type | meaning |"
    yield "|---|---|---|"
    for name, hint in hints.items():
        value_type, *meanings = typing.get_args(hint)
        type_name = getattr(value_type, "__name__", str(value_type))
        if typing.get_args(value_type):
            type_name = str(value_type).replace("|", "or")
        yield f"| `{name}` | {type_name} | {meanings[0]} |"
    yield ""
