"""Exceptions whose messages are meant for the user.

The command line prints the message of a `BanyantillerError` without a
traceback and exits with its `exit_code`.
"""


class BanyantillerError(Exception):
    """Base of every error that is shown to the user.

    Attributes:
        exit_code: Exit status of the command line for this error.
    """

    exit_code = 1


class ConfigError(BanyantillerError):
    """Settings or a bundle are not valid.

    Attributes:
        problems: Every `config.problems.Problem` found, where known.
    """

    exit_code = 2

    def __init__(self, message: str, problems: tuple = ()) -> None:
        super().__init__(message)
        self.problems = problems


class SignatureError(BanyantillerError):
    """A bundle is refused: unsigned, wrongly signed, altered or too large."""

    exit_code = 3


class ConflictError(BanyantillerError):
    """Another operator's change was accepted first."""

    exit_code = 4


class StoreError(BanyantillerError):
    """The object API gave no usable answer."""

    exit_code = 5


class PluginError(BanyantillerError):
    """A plug-in is missing, or two have the same name."""

    exit_code = 6


class OutcomeUnknownError(BanyantillerError):
    """A write may have taken effect; its answer was lost."""

    exit_code = 7


class RollTimeoutError(BanyantillerError):
    """The bundle is accepted, but not yet in force in every daemon."""

    exit_code = 8
