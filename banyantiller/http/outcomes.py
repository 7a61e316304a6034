"""Tagged outcomes of a client's request."""

import dataclasses

from banyantiller.http import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer arrived."""

    response: messages.Response
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Not one byte of the request was written."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request, or a part of it, was written; no whole answer arrived.

    Attributes:
        reason: One sentence.
        reused: Whether the connection had served another request before.
        too_large: Whether the answer was over the size limit.
    """

    reason: str
    reused: bool = False
    too_large: bool = False


Outcome = Answered | NotSent | Lost
