"""Output of log lines that never blocks the process when a pipe is full."""

import os

# Lines buffered while the output is blocked; a pipe buffers another 64 KB.
MAX_BUFFERED_BYTES = 65536


class Sink:
    """Writes whole lines without blocking.

    A line is dropped and counted while the output is blocked. The next line
    written is preceded by a notice with the number of dropped lines.

    Attributes:
        descriptor: File descriptor of the output.
        buffered: Rest of lines that were written in part.
        dropped: Lines dropped since the last notice.
        lost: Lines lost in total.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffered = b""
        self.dropped = 0
        self.lost = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes or drops a line; returns its length in characters."""
        line = text.encode("utf-8", "backslashreplace")
        if self._try_write(b"") and len(self.buffered) <= MAX_BUFFERED_BYTES:
            self._try_write(self._loss_notice() + line)
        else:
            self.dropped += 1
            self.lost += 1
        return len(text)

    def flush(self) -> None:
        """Retries writing the buffered bytes, without blocking."""
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
        """Writes the buffered bytes and `data`.

        Returns:
            False if the output is blocked and the rest is buffered.
        """
        data = self.buffered + data
        self.buffered = b""
        while data:
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                self.buffered = data
                return False
            except OSError:
                # The output has no reader, so the loss cannot be logged.
                self.lost += 1
                return True
            data = data[written:]
        return True
