"""The timer of a caller's connection and its limits."""

import enum
from typing import TYPE_CHECKING

import h11

from banyantiller.errors import ErrorKind, Failure
from banyantiller.proxy import timers

if TYPE_CHECKING:
    from banyantiller.proxy import caller as callers

# After a response that precedes the end of its request, the daemon reads and
# discards further data for so long, as a reset would lose the response.
LINGER_S = 2.0


class WaitState(enum.Enum):
    """What a caller's connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    RESPONSE = enum.auto()
    WRITE = enum.auto()
    LINGER = enum.auto()


class CallerTimer:
    """The timer of a caller's connection.

    Attributes:
        wait: What the connection waits for.
        unsent_bytes: Size of the write buffer when `WRITE` began.
    """

    def __init__(self, connection: "callers.CallerConnection") -> None:
        self.connection = connection
        self.loop = connection.loop
        self.limits = connection.limits
        self.wait = WaitState.IDLE
        self.unsent_bytes = 0
        self.timer = timers.LazyTimer(self.loop, self._expired)

    def wait_for_request(self) -> None:
        """Starts the timeout for the next request."""
        self._set(WaitState.IDLE, self.limits.idle_timeout_s)

    def wait_for_write(self) -> None:
        """Starts the timeout for the caller to read."""
        self.unsent_bytes = self.connection.transport.get_write_buffer_size()
        self._set(WaitState.WRITE, self.limits.write_timeout_s)

    def wait_for_close(self) -> None:
        """Starts the timeout for the caller to close."""
        self._set(WaitState.LINGER, LINGER_S)

    def wait_for_response(self) -> None:
        """Stops the timer, as the response is due from this side."""
        self.wait = WaitState.RESPONSE
        self.timer.due = timers.NEVER

    def stop(self) -> None:
        """Stops the timer for good."""
        self.timer.stop()

    def update(self) -> None:
        """Selects the timeout that applies after a read."""
        connection = self.connection
        if connection.call is None:
            if connection.head_bytes:
                self.wait = WaitState.HEAD
                started_at = connection.head_started_at
                self.timer.set_lazily(started_at + self.limits.head_timeout_s)
            else:
                self.wait_for_request()
        elif self._awaits_body():
            self._set(WaitState.BODY, self.limits.body_timeout_s)
        else:
            self.wait_for_response()

    def _awaits_body(self) -> bool:
        # A caller may stop sending once it sees an early response.
        connection = self.connection
        return (
            connection.http.their_state is h11.SEND_BODY
            and not connection.reading_paused
            and not connection.call.status
        )

    def _set(self, wait: WaitState, seconds: float) -> None:
        self.wait = wait
        self.timer.set_lazily(self.loop.time() + seconds)

    def _expired(self) -> None:
        connection = self.connection
        if self.wait is WaitState.IDLE:
            connection.close_gracefully()
        elif self.wait is WaitState.HEAD:
            failure = Failure(ErrorKind.HEAD_TIMEOUT)
            connection.proxy.reject(connection, failure)
        elif self.wait is WaitState.BODY:
            connection.call.fail(Failure(ErrorKind.BODY_TIMEOUT))
        else:
            self._on_write_timeout()

    def _on_write_timeout(self) -> None:
        unsent_bytes = self.connection.transport.get_write_buffer_size()
        if unsent_bytes and (
            self.wait is WaitState.LINGER or unsent_bytes < self.unsent_bytes
        ):
            self.wait_for_write()
        else:
            self.connection.close_now()
