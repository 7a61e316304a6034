"""Exceptions whose messages are shown to the user.

The command-line tool prints the message of a `BanyantillerError` without a
traceback and exits with its `exit_code`.
"""


class BanyantillerError(Exception):
    """Base class of the errors that are shown to the user.

    Attributes:
        exit_code: Exit status of the command-line tool for this error.
    """

    exit_code = 1


class ConfigError(BanyantillerError):
    """Settings or a bundle are invalid.

    Attributes:
        problems: The `config.problems.Problem` objects that were found; empty
            if they are not known.
    """

    exit_code = 2

    def __init__(self, message: str, problems: tuple = ()) -> None:
        super().__init__(message)
        self.problems = problems


class SignatureError(BanyantillerError):
    """A bundle is rejected: unsigned, wrongly signed, altered or too large."""

    exit_code = 3


class ConflictError(BanyantillerError):
    """Another operator's change was accepted first."""

    exit_code = 4


class StoreError(BanyantillerError):
    """The object API returned no usable response."""

    exit_code = 5


class PluginError(BanyantillerError):
    """A plug-in is missing or cannot be loaded, or two have the same name."""

    exit_code = 6


class NotKnownError(BanyantillerError):
    """A write may have taken effect; its response was lost."""

    exit_code = 7


class WaitError(BanyantillerError):
    """A bundle is accepted, but was not in force in every daemon in time."""

    exit_code = 8
