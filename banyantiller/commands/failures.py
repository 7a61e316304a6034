"""Turns outcomes that are no success into exceptions for the user."""

from typing import Any, NoReturn, TypeVar

from banyantiller import exceptions
from banyantiller.bundle import descriptions
from banyantiller.bundle.outcomes import (
    DamagedObject,
    Lost,
    NotFound,
    NotKnown,
    NotReached,
    OutOfDate,
    Refused,
)

ERRORS: dict[type, type[exceptions.BanyantillerError]] = {
    Refused: exceptions.SignatureError,
    DamagedObject: exceptions.SignatureError,
    Lost: exceptions.ConflictError,
    OutOfDate: exceptions.ConflictError,
    NotReached: exceptions.StoreError,
    NotKnown: exceptions.NotKnownError,
    NotFound: exceptions.BanyantillerError,
}

T = TypeVar("T")


def expect(outcome: Any, kind: type[T]) -> T:
    """Returns an outcome if it is of the kind that means success.

    Raises:
        BanyantillerError: It is of another kind; the error fits that one.
    """
    if not isinstance(outcome, kind):
        raise_for(outcome)
    return outcome


def raise_for(outcome: Any) -> NoReturn:
    """Raises the exception for an outcome that is no success.

    Raises:
        BanyantillerError: Always, of the kind that fits.
    """
    raise ERRORS[type(outcome)](descriptions.describe(outcome))
