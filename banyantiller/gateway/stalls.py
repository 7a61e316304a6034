"""Reports moments in which the process ran nothing for long, and why.

A gap has one of three causes, which its figures tell apart: a long step of the
program (its own processor time is as long as the gap), a machine without a free
core (the time that the process waited for one is), or a process that was
stopped, suspended or blocked (neither is).
"""

import os
import resource
from typing import NamedTuple

from banyantiller.gateway import events

# Shorter gaps hold no request beyond its deadline.
MIN_REPORTED_S = 0.5
# Processor time, and time spent waiting for a core, in nanoseconds.
SCHEDULER_FILE = "/proc/self/schedstat"
NS_PER_MS = 1e6


class Usage(NamedTuple):
    """What the process used until some moment.

    Attributes:
        cpu_ms: Processor time, in ms.
        waited_ms: Time for which it was runnable without a core, in ms, or None
            if the system does not tell.
        preempted: Number of times that it lost its core.
        major_faults: Page faults that had to read from a device.
    """

    cpu_ms: float
    waited_ms: float | None
    preempted: int
    major_faults: int


class StallDetector:
    """Compares what the process used between two checks.

    Attributes:
        file: Descriptor of the file with the time spent waiting, or None.
        before: Usage at the last check.
    """

    def __init__(self) -> None:
        self.file: int | None = None
        try:
            self.file = os.open(SCHEDULER_FILE, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            # The file is optional in the kernel.
            self.file = None
        self.before = self._read_usage()

    def check(self, late_s: float) -> None:
        """Logs a gap if it is long.

        Args:
            late_s: Time by which the event loop ran this check late, in
                seconds.
        """
        before, self.before = self.before, self._read_usage()
        if late_s < MIN_REPORTED_S:
            return
        now = self.before
        waited_ms = None
        if now.waited_ms is not None and before.waited_ms is not None:
            waited_ms = round(now.waited_ms - before.waited_ms, 1)
        events.emit(
            events.ProcessStalled(
                gap_ms=round(late_s * 1000, 1),
                cpu_ms=round(now.cpu_ms - before.cpu_ms, 1),
                waited_ms=waited_ms,
                preempted=now.preempted - before.preempted,
                major_faults=now.major_faults - before.major_faults,
            )
        )

    def close(self) -> None:
        """Closes the file."""
        if self.file is not None:
            os.close(self.file)
            self.file = None

    def _read_usage(self) -> Usage:
        used = resource.getrusage(resource.RUSAGE_SELF)
        return Usage(
            (used.ru_utime + used.ru_stime) * 1000,
            self._read_waited_ms(),
            used.ru_nivcsw,
            used.ru_majflt,
        )

    def _read_waited_ms(self) -> float | None:
        if self.file is None:
            return None
        try:
            fields = os.pread(self.file, 128, 0).split()
            return int(fields[1]) / NS_PER_MS
        except (OSError, ValueError, IndexError):
            return None
