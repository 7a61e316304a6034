"""How long a caller is waited for."""

import enum
from typing import TYPE_CHECKING

import h11

from banyantiller.errors import ErrorKind, Failure
from banyantiller.proxy import watchdog

if TYPE_CHECKING:
    from banyantiller.proxy import caller as callers

# How long what a caller still sends is read and dropped after an answer that
# came before the end of its request, so that the answer is not lost.
LINGER_S = 2.0


class Wait(enum.Enum):
    """What a caller's connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    ANSWER = enum.auto()
    WRITE = enum.auto()
    LINGER = enum.auto()


class Patience:
    """The timer of one caller's connection.

    Attributes:
        wait: What the connection waits for.
        unsent: Bytes that the caller had not read when `WRITE` began.
    """

    def __init__(self, connection: "callers.CallerConnection") -> None:
        self.connection = connection
        self.loop = connection.loop
        self.limits = connection.limits
        self.wait = Wait.IDLE
        self.unsent = 0
        self.watch = watchdog.Watchdog(self.loop, self._expired)

    def idle(self) -> None:
        """Waits for the next request."""
        self._set(Wait.IDLE, self.limits.idle_timeout_s)

    def writing(self) -> None:
        """Waits for the caller to read."""
        self.unsent = self.connection.transport.get_write_buffer_size()
        self._set(Wait.WRITE, self.limits.write_timeout_s)

    def lingering(self) -> None:
        """Waits for the caller to close."""
        self._set(Wait.LINGER, LINGER_S)

    def answering(self) -> None:
        """Waits for nothing: the answer is what is due."""
        self.wait = Wait.ANSWER
        self.watch.due = watchdog.NEVER

    def stop(self) -> None:
        """Ends the timer."""
        self.watch.stop()

    def reconsider(self) -> None:
        """Finds out what is waited for after something was read."""
        connection = self.connection
        if connection.call is None:
            if connection.head_bytes:
                self.wait = Wait.HEAD
                began = connection.head_began
                self.watch.set(began + self.limits.head_timeout_s)
            else:
                self.idle()
        elif self._awaits_body():
            self._set(Wait.BODY, self.limits.body_timeout_s)
        else:
            self.answering()

    def _awaits_body(self) -> bool:
        # A caller may stop sending once it sees an early answer.
        connection = self.connection
        return (
            connection.http.their_state is h11.SEND_BODY
            and not connection.held
            and not connection.call.status
        )

    def _set(self, wait: Wait, seconds: float) -> None:
        self.wait = wait
        self.watch.set(self.loop.time() + seconds)

    def _expired(self) -> None:
        connection = self.connection
        if self.wait is Wait.IDLE:
            connection.shut()
        elif self.wait is Wait.HEAD:
            failure = Failure(ErrorKind.HEAD_TIMEOUT)
            connection.proxy.reject(connection, failure)
        elif self.wait is Wait.BODY:
            connection.call.fail(Failure(ErrorKind.BODY_TIMEOUT))
        else:
            self._stalled()

    def _stalled(self) -> None:
        unsent = self.connection.transport.get_write_buffer_size()
        if unsent and (self.wait is Wait.LINGER or unsent < self.unsent):
            self.writing()
        else:
            self.connection.give_up()
