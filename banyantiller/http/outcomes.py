"""Outcomes of a client's request, distinguished by class."""

import dataclasses

from banyantiller.http import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete response arrived."""

    response: messages.Response
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """At least part of the request was written; no complete response arrived.

    Attributes:
        reason: Cause in one sentence.
        reused: Whether the connection had served another request before.
        too_large: Whether the response exceeded the size limit.
    """

    reason: str
    reused: bool = False
    too_large: bool = False


Outcome = Answered | NotSent | Lost
