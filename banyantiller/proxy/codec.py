"""An h11 connection with fast paths through its state machine.

h11 parses, checks and writes every message. For each event it also scans the
fields for several rare ones and applies its state table more than once. Common
events, whose next state is known, are handled directly here; all others, such
as `Connection`, `Expect`, `Upgrade`, chunked bodies and errors, go through
h11. This relies on private names of h11, so its version is pinned and
`test_codec` compares both implementations.
"""

from collections.abc import Iterator
from typing import Any

import h11
from h11._readers import READERS
from h11._writers import WRITERS

CLIENT = h11.CLIENT
SERVER = h11.SERVER
# Fields that may change more than the state of the sender.
SLOW_PATH_FIELDS = frozenset(
    (b"connection", b"expect", b"transfer-encoding", b"upgrade")
)
# Values in place of a declared length.
SLOW_PATH = -2
NO_LENGTH = -1
BODILESS_STATUSES = (204, 304)
CONTENT_LENGTH_FRAMING = "content-length"
CLOSED_STATES = (h11.CLOSED, h11.ERROR, h11.MUST_CLOSE)
CURRENT_VERSION = b"1.1"


class ValidatedHeaders(type(h11.EndOfMessage().headers)):
    """Fields that were validated before; h11 accepts them unchecked."""

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        """Yields pairs of lower-case name and value."""
        return iter([item[1:] for item in self._full_items])


def full_fields(headers: Any) -> list[tuple[bytes, bytes, bytes]]:
    """Returns raw name, lower-case name and value of each field.

    The list belongs to the headers and must not be changed.
    """
    return headers._full_items


class Connection(h11.Connection):
    """An `h11.Connection` that handles common events directly."""

    def _process_event(self, role: Any, event: Any) -> None:
        fast_path = FAST_PATHS.get(type(event))
        if fast_path is None or not fast_path(self, role, event):
            super()._process_event(role, event)

    def _clean_up_response_headers_for_sending(
        self, response: h11.Response
    ) -> h11.Response:
        if self._cstate.keep_alive and _declared_length(response) >= 0:
            return response
        return super()._clean_up_response_headers_for_sending(response)

    def set_state(self, role: Any, state: Any) -> None:
        """Moves one side to a state without a body."""
        self._cstate.states[role] = state
        if role is self.our_role:
            self._writer = WRITERS.get((role, state))
        else:
            self._reader = READERS.get((role, state))

    def set_body_state(self, role: Any, length: int) -> None:
        """Moves one side to a body of a known length in bytes."""
        self._cstate.states[role] = h11.SEND_BODY
        if role is self.our_role:
            self._writer = WRITERS[h11.SEND_BODY][CONTENT_LENGTH_FRAMING](
                length
            )
        else:
            self._reader = READERS[h11.SEND_BODY][CONTENT_LENGTH_FRAMING](
                length
            )

    def is_plain(self) -> bool:
        """Returns whether keep-alive holds and no upgrade is pending."""
        state = self._cstate
        return state.keep_alive and not state.pending_switch_proposals


def _fast_data(http: Connection, role: Any, event: h11.Data) -> bool:
    del event
    if http._cstate.states[role] is not h11.SEND_BODY:
        return False
    if role is CLIENT:
        http.client_is_waiting_for_100_continue = False
    return True


def _fast_end(http: Connection, role: Any, event: h11.EndOfMessage) -> bool:
    del event
    states = http._cstate.states
    peer_role = SERVER if role is CLIENT else CLIENT
    if states[role] is not h11.SEND_BODY or states[peer_role] in CLOSED_STATES:
        return False
    if not http.is_plain():
        return False
    if role is CLIENT:
        http.client_is_waiting_for_100_continue = False
    http.set_state(role, h11.DONE)
    return True


def _fast_request(http: Connection, role: Any, event: h11.Request) -> bool:
    states = http._cstate.states
    if states[CLIENT] is not h11.IDLE or states[SERVER] is not h11.IDLE:
        return False
    if role is not CLIENT:
        return False
    length = _declared_length(event)
    if length == SLOW_PATH or event.method == b"CONNECT":
        return False
    http._request_method = event.method
    if role is http.their_role:
        http.their_http_version = event.http_version
    http.set_body_state(CLIENT, max(0, length))
    http.set_state(SERVER, h11.SEND_RESPONSE)
    return True


def _fast_response(http: Connection, role: Any, event: h11.Response) -> bool:
    states = http._cstate.states
    if role is not SERVER or states[SERVER] is not h11.SEND_RESPONSE:
        return False
    if not http.is_plain():
        return False
    length = _declared_length(event)
    bodiless = event.status_code in BODILESS_STATUSES
    if length < 0 or bodiless or http._request_method == b"HEAD":
        return False
    if role is http.their_role:
        http.their_http_version = event.http_version
    http.client_is_waiting_for_100_continue = False
    http.set_body_state(SERVER, length)
    return True


def _declared_length(event: Any) -> int:
    """Returns the length, `NO_LENGTH`, or `SLOW_PATH` for a rare head."""
    if event.http_version != CURRENT_VERSION:
        return SLOW_PATH
    length = NO_LENGTH
    for _, name, value in event.headers._full_items:
        if name == b"content-length":
            length = int(value)
        elif name in SLOW_PATH_FIELDS:
            return SLOW_PATH
    return length


FAST_PATHS = {
    h11.Data: _fast_data,
    h11.EndOfMessage: _fast_end,
    h11.Request: _fast_request,
    h11.Response: _fast_response,
}
