"""Where log lines go: an output that may be stuck, and must not stop us."""

import os

# Lines that wait for a full output; a pipe holds 64 KB besides.
MOST_WAITING_BYTES = 65536


class Sink:
    """Writes whole lines without ever waiting.

    A line that the output does not take is dropped and counted; the next line
    that it takes is preceded by one that tells how many were lost.

    Attributes:
        number: File descriptor of the output.
        waiting: Rest of lines that were written in part.
        dropped: Lines lost since the output last took one.
        lost: Lines lost in all.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.waiting = b""
        self.dropped = 0
        self.lost = 0
        if not os.isatty(number):
            os.set_blocking(number, False)

    def write(self, text: str) -> int:
        """Writes a line; returns its length in characters."""
        line = text.encode("utf-8", "backslashreplace")
        if self._send(b"") and len(self.waiting) <= MOST_WAITING_BYTES:
            self._send(self._notice() + line)
        else:
            self.dropped += 1
            self.lost += 1
        return len(text)

    def flush(self) -> None:
        """Tries once more to write what waits."""
        if self.waiting:
            self._send(b"")

    def _notice(self) -> bytes:
        if not self.dropped:
            return b""
        count = self.dropped
        self.dropped = 0
        return (
            b'{"event": "telemetry: lines were lost.", "lines": %d}\n' % count
        )

    def _send(self, data: bytes) -> bool:
        """Writes what waits and then data; False if the output is stuck."""
        data = self.waiting + data
        self.waiting = b""
        while data:
            try:
                written = os.write(self.number, data)
            except BlockingIOError:
                self.waiting = data
                return False
            except OSError:
                # Nobody reads any more, and nothing can be said of it.
                self.lost += 1
                return True
            data = data[written:]
        return True
