"""Log events, each declared once as a type with its text and fields.

Each field is annotated with its meaning. A log line has the text of its event
under `event`, next to the fields. The reference page is rendered from the
types.
"""

import typing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeVar

T = TypeVar("T")


class EventDeclaration(NamedTuple):
    """Text and level of a log event.

    Attributes:
        text: Sentence that begins with the prefix of the component.
        level: Name of the log level.
    """

    text: str
    level: str


# Filled by `event` when modules that declare events are imported.
DECLARATIONS: dict[type, EventDeclaration] = {}


def event(text: str, level: str = "info") -> Callable[[type[T]], type[T]]:
    """Returns a class decorator that declares a `NamedTuple` as a log event.

    Raises:
        ValueError: Another event has this text.
    """
    if any(known.text == text for known in DECLARATIONS.values()):
        raise ValueError(f"Log event '{text}' is already declared")

    def declare(event_type: type[T]) -> type[T]:
        DECLARATIONS[event_type] = EventDeclaration(text, level)
        return event_type

    return declare


def emit(log: Any, occurrence: Any, **logger_arguments: Any) -> None:
    """Writes the log line of an event.

    Args:
        log: A `structlog` logger.
        occurrence: The event, of a declared type.
        **logger_arguments: Further logger arguments, such as `exc_info`.
    """
    text, level = DECLARATIONS[type(occurrence)]
    getattr(log, level)(text, **occurrence._asdict(), **logger_arguments)


def text_of(event_type: type) -> str:
    """Returns the text of the log lines of an event type."""
    return DECLARATIONS[event_type].text


def render(title: str, text: str, modules: tuple[str, ...]) -> str:
    """Renders the events of modules in Markdown, in order of declaration."""
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
