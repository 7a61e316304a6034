"""Errors and warnings about a file, with their places and rendering."""

import difflib
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller import exceptions

SUGGESTION_CUTOFF = 0.6


class Place(NamedTuple):
    """Position of a value in its file; both numbers start at 1."""

    line: int
    column: int


class Problem(NamedTuple):
    """One error or warning.

    Attributes:
        file: File as the user named it.
        place: Line and column.
        path: Path of the value, such as "services[2].servers[0].port".
        message: One or more sentences.
        warning: Whether it is a warning, which does not prevent use.
    """

    file: str
    place: Place
    path: str
    message: str
    warning: bool = False

    def text(self) -> str:
        """Renders one line in the format that editors recognise."""
        level = "warning" if self.warning else "error"
        where = f"{self.path}: " if self.path else ""
        line, column = self.place
        return f"{self.file}:{line}:{column}: {level}: {where}{self.message}"


class Problems:
    """Collects the problems of one file.

    Attributes:
        file: File as the user named it.
        found: Problems so far.
        places: Place of each value by its path, for checks after loading.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.found: list[Problem] = []
        self.places: dict[str, Place] = {}

    def add(self, place: Place, path: str, message: str) -> None:
        """Adds an error at a known place."""
        self.found.append(Problem(self.file, place, path, message))

    def error(self, path: str, message: str) -> None:
        """Adds an error about the value at a path."""
        self.add(self.place_of(path), path, message)

    def warn(self, path: str, message: str) -> None:
        """Adds a warning about the value at a path."""
        place = self.place_of(path)
        self.found.append(Problem(self.file, place, path, message, True))

    def place_of(self, path: str) -> Place:
        """Returns the place of a value, or of the nearest value around it."""
        while path and path not in self.places:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.places.get(path, Place(1, 1))

    def errors(self) -> tuple[Problem, ...]:
        """Returns the errors, in the order of the file."""
        return _ordered(item for item in self.found if not item.warning)

    def warnings(self) -> tuple[Problem, ...]:
        """Returns the warnings, in the order of the file."""
        return _ordered(item for item in self.found if item.warning)

    def raise_errors(self) -> None:
        """Raises all errors together with the warnings, if there is any error.

        Raises:
            ConfigError: There are errors; its text has one line per problem.
        """
        if self.errors():
            problems = _ordered(self.found)
            lines = "\n".join(item.text() for item in problems)
            raise exceptions.ConfigError(lines, problems)


def suggestion(name: str, known: Iterable[str]) -> str:
    """Returns a sentence with the most similar known name, or an empty text."""
    near = difflib.get_close_matches(name, list(known), 1, SUGGESTION_CUTOFF)
    return f" Did you mean '{near[0]}'?" if near else ""


def _ordered(items: Iterable[Problem]) -> tuple[Problem, ...]:
    return tuple(sorted(items, key=lambda item: item.place))
