"""Records what a daemon's replica gets, as a trace that can be replayed.

A recording replica is the real one and writes its inputs down: offers with
their source, parts, and each try to put a bundle in force with what came of
it. A daemon that starts again goes on with the file and notes its restart.
"""

import atexit
import json
import os
from collections.abc import Callable
from typing import Any, NamedTuple, TextIO

import structlog

from banyantiller import exceptions
from banyantiller.bundle import canonical, plain
from banyantiller.bundle.manifest import AcceptedBundle
from banyantiller.config import defaults
from banyantiller.replay import recording, replica_inputs, traces
from banyantiller.replica import state

log = structlog.get_logger("banyantiller.replay")

EXPECTED = json.dumps({traces.EXPECT: "same_in_force"}) + "\n"


class Earlier(NamedTuple):
    """What earlier runs of the daemon left in the file.

    Attributes:
        size: Bytes of its whole lines.
        at: Time of its last input.
    """

    size: int
    at: float


class RecordingReplica(state.Replica):
    """A replica that writes down what it is given.

    Attributes:
        daemon: Name of the daemon.
        clock: Returns the loop's time.
        recording: Where inputs are written.
        at: Time of the last input; times never go down within a file.
        idle: The last input if it changed nothing; it is not repeated.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        clock: Callable[[], float],
        target: recording.Recording,
        at: float,
    ) -> None:
        super().__init__(settings.trusted_keys, settings.deployment)
        self.daemon = settings.daemon
        self.clock = clock
        self.recording = target
        self.at = at
        self.idle: dict[str, Any] = {}

    def offer(
        self, accepted: AcceptedBundle, wall_now: float, source: str = ""
    ) -> state.Verdict:
        """Judges an accepted bundle and records the offer."""
        verdict = super().offer(accepted, wall_now, source)
        text = replica_inputs.to_text(canonical.encode_accepted(accepted))
        given = replica_inputs.Given(self.daemon, text, source, wall_now)
        ignored = text if isinstance(verdict, state.Ignore) else None
        if ignored is None or self.idle.get(source) != ignored:
            self.note(given)
        self.idle[source] = ignored
        return verdict

    def add_part(self, data: bytes, cache_unneeded: bool = False) -> bool:
        """Takes in a part, and records it if it may be kept."""
        is_wanted = super().add_part(data, cache_unneeded)
        if is_wanted or cache_unneeded:
            text = replica_inputs.to_text(data)
            self.note(replica_inputs.Part(self.daemon, text, cache_unneeded))
        return is_wanted

    def advance(
        self, min_version: int = 0
    ) -> state.InForceBundle | state.Refuse | None:
        """Puts a bundle in force, and records which or that none was."""
        result = super().advance(min_version)
        item = replica_inputs.Advance(self.daemon, min_version)
        if isinstance(result, state.InForceBundle):
            item = item._replace(version=result.version, digest=result.digest)
        ignored = item if result is None else None
        if ignored is None or self.idle.get("advance") != ignored:
            self.note(item)
        self.idle["advance"] = ignored
        return result

    def note(self, item: Any) -> None:
        """Writes one typed input; a full disk ends the recording only."""
        self.at = max(self.at, self.clock())
        try:
            self.recording.note(self.at, item)
        except OSError as error:
            self.recording.is_full = True
            log.warning(
                "replay: the trace can't be written.", reason=error.strerror
            )


def create(
    settings: defaults.Settings,
    clock: Callable[[], float],
    most_bytes: int = recording.MOST_BYTES,
) -> RecordingReplica:
    """Builds a daemon's replica that records into a file of its own.

    Args:
        settings: Settings of the daemon; the name of the file is that of
            its trace file with `.replica.jsonl` appended.
        clock: Returns the loop's time.
        most_bytes: Bound of the file.

    Raises:
        ConfigError: The file can't be written.
    """
    name = f"{settings.trace_file}.replica.jsonl"
    header = replica_inputs.Header(
        traces.FORMAT,
        "replica",
        (settings.daemon,),
        deployment=settings.deployment,
        trusted=settings.trusted_keys,
    )
    try:
        earlier = _earlier(name, header, most_bytes)
        file = _open(name, earlier)
    except OSError as error:
        raise exceptions.ConfigError(
            f"{name} can't be written: {error.strerror}."
        ) from error
    atexit.register(file.close)
    log.info("replay: recording a trace.", file=name)
    target = recording.Recording(
        file.write, most_bytes, file.close, replica_inputs.NAMES
    )
    if earlier is None:
        target.begin(header)
        file.write(EXPECTED)
        return RecordingReplica(settings, clock, target, 0.0)
    target.written = earlier.size
    target.note(earlier.at, replica_inputs.Restart(settings.daemon))
    return RecordingReplica(settings, clock, target, earlier.at)


def _open(name: str, earlier: Earlier | None) -> TextIO:
    """Opens the file after what is kept of it.

    It stays open as long as the replica that writes to it. Each line is
    written at once, so that a daemon that is killed leaves whole lines.
    """
    if earlier is not None:
        os.truncate(name, earlier.size)
    mode = "w" if earlier is None else "a"
    return open(name, mode, buffering=1, encoding="utf-8")


def _earlier(
    name: str, header: replica_inputs.Header, most_bytes: int
) -> Earlier | None:
    """Returns what the file holds, or None if it can't be continued."""
    try:
        with open(name, "rb") as file:
            data = file.read(most_bytes)
    except FileNotFoundError:
        return None
    data = data[: data.rfind(b"\n") + 1]
    lines = data.splitlines()
    try:
        if json.loads(lines[0]) != plain.to_plain(header):
            return None
        rows = map(json.loads, reversed(lines))
        times = (row[traces.TIME] for row in rows if traces.TIME in row)
        return Earlier(len(data), float(next(times, 0.0)))
    except (IndexError, ValueError, TypeError):
        return None
