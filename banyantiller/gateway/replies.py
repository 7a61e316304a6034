"""Replies to callers."""

import http
from typing import NamedTuple

from banyantiller.errors import Failure, Ran
from banyantiller.http import messages

MIN_RETRY_AFTER_S = 0.001
# A response with status 401 has to name a scheme; RFC 9110, section 15.5.2.
CHALLENGE = ("www-authenticate", 'ApiKey realm="gateway"')


class Reply(NamedTuple):
    """A complete reply.

    Attributes:
        status: Status code.
        headers: Header fields except hop-by-hop ones and Content-Length.
        body: The body; empty in the reply to a HEAD request.
        length: Content length to send, or None for the length of `body`.
    """

    status: int
    headers: messages.Headers
    body: bytes
    length: int | None = None


def from_failure(failure: Failure, ran: Ran, daemon: str) -> Reply:
    """Builds the reply for a failure.

    `Retry-After` may be a fraction of a second: callers wait a second at most,
    so whole seconds would make every rejection final.

    Args:
        failure: The failure.
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
    if row.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append(CHALLENGE)
    if failure.retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_S, failure.retry_after)
        headers.append(("retry-after", f"{seconds:.3f}"))
    return Reply(row.status, tuple(headers), f"{failure.error_kind}\n".encode())
