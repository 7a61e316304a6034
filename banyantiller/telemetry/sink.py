"""Where log lines go: an output that may be stuck, and must not stop us."""

import os

# Lines that wait for a full output; a pipe holds 64 KB besides.
MAX_BUFFERED_BYTES = 65536


class Sink:
    """Writes whole lines without ever waiting.

    A line that the output does not take is dropped and counted; the next line
    that it takes is preceded by one that tells how many were lost.

    Attributes:
        descriptor: File descriptor of the output.
        buffered: Rest of lines that were written in part.
        dropped: Lines lost since the output last took one.
        lost: Lines lost in all.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffered = b""
        self.dropped = 0
        self.lost = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line; returns its length in characters."""
        line = text.encode("utf-8", "backslashreplace")
        if self._try_write(b"") and len(self.buffered) <= MAX_BUFFERED_BYTES:
            self._try_write(self._loss_notice() + line)
        else:
            self.dropped += 1
            self.lost += 1
        return len(text)

    def flush(self) -> None:
        """Tries once more to write what waits."""
        if self.buffered:
            self._try_write(b"")

    def _loss_notice(self) -> bytes:
        if not self.dropped:
            return b""
        count = self.dropped
        self.dropped = 0
        return (
            b'{"event": "telemetry: lines were lost.", "lines": %d}\n' % count
        )

    def _try_write(self, data: bytes) -> bool:
        """Writes what waits and then data; False if the output is stuck."""
        data = self.buffered + data
        self.buffered = b""
        while data:
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                self.buffered = data
                return False
            except OSError:
                # Nobody reads any more, and nothing can be said of it.
                self.lost += 1
                return True
            data = data[written:]
        return True
