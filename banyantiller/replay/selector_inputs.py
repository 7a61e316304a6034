"""Inputs of a trace of the selector, and how a selector is recorded."""

from collections.abc import Callable
from typing import NamedTuple

from banyantiller.gateway import probing, servers, types
from banyantiller.gateway.decisions import request_kinds, selection
from banyantiller.replay import recording, traces


class ServerFields(NamedTuple):
    """A registered server.

    Attributes:
        instance: Its identity.
        zone: Its availability zone.
        slots: Requests that it executes at once.
    """

    instance: str
    zone: str
    slots: int


class Header(NamedTuple):
    """Fields of the header.

    Attributes:
        trace: Version of the format.
        core: "selector".
        daemon: Name of the daemon.
        zone: Its availability zone.
        seed: Seed of its random choices.
        servers: All servers that occur.
        about: What the trace shows.
    """

    trace: int
    core: str
    daemon: str
    zone: str
    seed: int
    servers: tuple[ServerFields, ...]
    about: str = ""


class First(NamedTuple):
    """A request begins: which servers are asked first.

    Attributes:
        round: Number of the request's round.
        service: Its service.
        usable: Servers that may be asked.
        asked: Those that were asked when this was recorded.
        idle: Those to which there was an idle connection.
        busy: Those whose connections were all in use.
    """

    round: int
    service: str
    usable: tuple[str, ...]
    asked: tuple[str, ...] = ()
    idle: tuple[str, ...] = ()
    busy: tuple[str, ...] = ()


class Told(NamedTuple):
    """A server's answer.

    Attributes:
        server: Its identity.
        score: Its cost at that time.
        fit: Whether it says that it is well.
        load: Running, waiting, slots and slowness; empty if it tells none.
        in_flight: Requests of this daemon at it.
        usable: Whether it may still get requests.
    """

    server: str
    score: float
    fit: bool = True
    load: tuple[float, ...] = ()
    in_flight: int = 0
    usable: bool = True


class More(NamedTuple):
    """The first answers are in: which servers are asked besides.

    Attributes:
        round: Number of the round.
        found: The answers, best first.
        asked: Servers that were asked besides when this was recorded.
    """

    round: int
    found: tuple[Told, ...]
    asked: tuple[str, ...] = ()


class Pick(NamedTuple):
    """All answers are in: who gets the request.

    Attributes:
        found: The answers, best first.
        most_score: Greatest score that is taken; 0 for any.
        spare: Whether the last slots of servers are left alone.
        chosen: Who was chosen when this was recorded; empty for nobody.
    """

    found: tuple[Told, ...]
    most_score: float = 0.0
    spare: bool = False
    chosen: str = ""


INPUTS: dict[str, type] = {"first": First, "more": More, "pick": Pick}
NAMES = {kind: name for name, kind in INPUTS.items()}
ANY_SCORE = float("inf")


class RecordingSelector:
    """Passes questions on to a selector and records them with its answers.

    Attributes:
        selector: The real selector.
        recording: Where lines are written.
        clock: Returns the time in seconds.
        rounds: Rounds whose answers are not in, with their numbers.
    """

    def __init__(
        self,
        selector: selection.ServerSelector,
        lines: recording.Recording,
        clock: Callable[[], float],
    ) -> None:
        self.selector = selector
        self.recording = lines
        self.clock = clock
        self.count = 0
        self.rounds: list[tuple[selection.ProbePlan, int]] = []

    def first_probes(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        connected: selection.ConnectedServers = selection.NO_CONNECTIONS,
        kind: request_kinds.RequestKind = request_kinds.ANY_KIND,
        now: float = 0.0,
    ) -> selection.ProbePlan:
        """See `ServerSelector.first_probes`."""
        found = self.selector.first_probes(
            service, usable, connected, kind, now
        )
        self.count += 1
        self.rounds.append((found, self.count))
        asked = _names(found.probed)
        idle, busy = map(tuple, map(sorted, connected))
        self._note(
            First(self.count, service, _names(usable), asked, idle, busy)
        )
        return found

    def more_probes(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        before: selection.ProbePlan,
        found: list[probing.Candidate],
    ) -> list[servers.ServerEntry]:
        """See `ServerSelector.more_probes`."""
        (place,) = [n for n, (r, _) in enumerate(self.rounds) if r is before]
        _, number = self.rounds.pop(place)
        asked = self.selector.more_probes(service, usable, before, found)
        self._note(More(number, _told(found, self.clock()), _names(asked)))
        return asked

    def pick_candidate(
        self,
        found: list[probing.Candidate],
        max_score: float,
        now: float,
        keep_last_slot: bool = False,
        kind: request_kinds.RequestKind = request_kinds.ANY_KIND,
    ) -> probing.Candidate | None:
        """See `ServerSelector.pick_candidate`."""
        best = self.selector.pick_candidate(
            found, max_score, now, keep_last_slot, kind
        )
        chosen = best.entry.server.instance if best else ""
        limit = 0.0 if max_score == ANY_SCORE else max_score
        self._note(Pick(_told(found, now), limit, keep_last_slot, chosen))
        return best

    def _note(self, item: First | More | Pick) -> None:
        self.recording.note(self.clock(), item)


def begin(
    lines: recording.Recording,
    daemon: str,
    zone: str,
    seed: int,
    registered: list[ServerFields],
) -> None:
    """Writes the header of a recording."""
    lines.begin(
        Header(traces.FORMAT, "selector", daemon, zone, seed, tuple(registered))
    )


def entry_of(fields: ServerFields) -> servers.ServerEntry:
    """Returns a server as a daemon believes it at first."""
    server = types.Server(
        instance=fields.instance,
        service="",
        host="",
        port=0,
        zone=fields.zone,
        slots=fields.slots,
        leaving=False,
        warmup_s=0.0,
    )
    return servers.ServerEntry(server, 0.0)


def _names(entries: list[servers.ServerEntry]) -> tuple[str, ...]:
    return tuple(entry.server.instance for entry in entries)


def _told(found: list[probing.Candidate], now: float) -> tuple[Told, ...]:
    return tuple(
        Told(
            one.entry.server.instance,
            one.score,
            one.healthy,
            tuple(map(float, one.load)) if one.load else (),
            one.entry.in_flight,
            one.entry.usable(now),
        )
        for one in found
    )
