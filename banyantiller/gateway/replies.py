"""Answers on their way to a caller."""

from typing import NamedTuple

from banyantiller.errors import Failure, Ran
from banyantiller.http import messages

MIN_RETRY_AFTER_S = 0.001


class Reply(NamedTuple):
    """A whole answer.

    Attributes:
        status: Status code.
        headers: Fields without those of one connection and the length.
        body: The body; a HEAD request's reply may have a length and no body.
        length: Length to state, or None for that of the body.
    """

    status: int
    headers: messages.Headers
    body: bytes
    length: int | None = None


def from_failure(failure: Failure, ran: Ran, daemon: str) -> Reply:
    """Builds the answer for a failure.

    `Retry-After` may have a fraction here: callers wait a second at most, and
    whole seconds would make every refusal final.

    Args:
        failure: What went wrong.
        ran: Whether the request was executed.
        daemon: Name of this daemon.
    """
    row = failure.response
    status = (
        f'{daemon}; error={row.proxy_error}; details="{failure.error_kind}"'
    )
    headers = [
        ("content-type", "text/plain"),
        ("proxy-status", status),
        ("request-ran", ran.value),
    ]
    if failure.retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_S, failure.retry_after)
        headers.append(("retry-after", f"{seconds:.3f}"))
    return Reply(row.status, tuple(headers), f"{failure.error_kind}\n".encode())
