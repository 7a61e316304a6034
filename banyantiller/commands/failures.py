"""Turns outcomes that are no success into exceptions for the user."""

from typing import Any, NoReturn

from banyantiller import exceptions
from banyantiller.bundle import acceptance
from banyantiller.bundle.outcomes import (
    Damaged,
    Lost,
    NotFound,
    NotKnown,
    NotReached,
    OutOfDate,
    Refused,
)

ERRORS: dict[type, type[exceptions.BanyantillerError]] = {
    Refused: exceptions.SignatureError,
    Damaged: exceptions.SignatureError,
    Lost: exceptions.ConflictError,
    OutOfDate: exceptions.ConflictError,
    NotReached: exceptions.StoreError,
    NotKnown: exceptions.NotKnownError,
    NotFound: exceptions.BanyantillerError,
}


def raise_for(outcome: Any) -> NoReturn:
    """Raises the exception for an outcome that is no success.

    Raises:
        BanyantillerError: Always, of the kind that fits.
    """
    raise ERRORS[type(outcome)](acceptance.describe(outcome))
