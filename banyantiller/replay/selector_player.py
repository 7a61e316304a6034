"""Replays a trace of which servers were asked and which got requests."""

import collections
import math
import random
from typing import NamedTuple

from banyantiller.gateway import probing, servers, types
from banyantiller.gateway.decisions import selection
from banyantiller.replay import selector_inputs as inputs
from banyantiller.replay import traces


class SelectorLog:
    """What happened.

    Attributes:
        differences: Choices that are not as recorded.
        asked: Servers asked for each round.
        chosen: Requests by server; an empty name for nobody.
    """

    def __init__(self) -> None:
        self.differences: list[str] = []
        self.asked: collections.Counter[int] = collections.Counter()
        self.chosen: collections.Counter[str] = collections.Counter()


class SameChoices(NamedTuple):
    """For recordings: the same servers are asked and chosen."""

    def problem(self, log: SelectorLog) -> str:
        """Returns what is otherwise."""
        return log.differences[0] if log.differences else ""


class ChosenShareAtMost(NamedTuple):
    """A server gets at most a share of the requests.

    Attributes:
        server: Its identity.
        percent: The share.
    """

    server: str
    percent: float

    def problem(self, log: SelectorLog) -> str:
        """Returns what is otherwise."""
        total = sum(n for name, n in log.chosen.items() if name)
        share = 100 * log.chosen[self.server] / max(1, total)
        return "" if share <= self.percent else f"it got {share:.1f}%"


class ChosenAtLeast(NamedTuple):
    """At least so many requests find a server."""

    count: int

    def problem(self, log: SelectorLog) -> str:
        """Returns what is otherwise."""
        found = sum(n for name, n in log.chosen.items() if name)
        return "" if found >= self.count else f"{found} found one"


class AskedAtMost(NamedTuple):
    """No round asks more servers than this."""

    count: int

    def problem(self, log: SelectorLog) -> str:
        """Returns what is otherwise."""
        most = max(log.asked.values(), default=0)
        return "" if most <= self.count else f"{most} were asked"


EXPECTED: dict[str, type] = {
    "same_choices": SameChoices,
    "chosen_share_at_most": ChosenShareAtMost,
    "chosen_at_least": ChosenAtLeast,
    "asked_at_most": AskedAtMost,
}


def play(trace: traces.Trace) -> tuple[traces.Result, ...]:
    """Replays a trace; see `player.play`."""
    header = traces.from_fields(trace.header, inputs.Header, "Line 1")
    played = Player(header)
    for line, item in traces.typed_lines(trace.inputs, inputs.INPUTS):
        played.take(line, item)
    return traces.check(trace, EXPECTED, played.log)


class Player:
    """Drives a selector.

    Attributes:
        log: What happened.
        selector: The selector.
        entries: Servers by identity.
        rounds: Rounds whose answers are not in, with what could be asked.
    """

    def __init__(self, header: inputs.Header) -> None:
        self.log = SelectorLog()
        self.selector = selection.ServerSelector(
            header.daemon, header.zone, random.Random(header.seed)
        )
        self.entries = {s.instance: inputs.entry_of(s) for s in header.servers}
        self.rounds: dict[
            int, tuple[str, list[servers.ServerEntry], selection.ProbePlan]
        ] = {}

    def take(self, line: traces.Line, item: tuple) -> None:
        """Plays one input.

        Raises:
            TraceError: It names an unknown server or round.
        """
        if isinstance(item, inputs.First):
            self._first(line, item)
        elif isinstance(item, inputs.More):
            self._more(line, item)
        else:
            self._pick(line, item)

    def _first(self, line: traces.Line, item: inputs.First) -> None:
        usable = [self._known(line, name) for name in item.usable]
        connected = selection.ConnectedServers(
            frozenset(item.idle), frozenset(item.busy)
        )
        found = self.selector.first_probes(item.service, usable, connected)
        self.rounds[item.round] = (item.service, usable, found)
        self.log.asked[item.round] += len(found.probed)
        self._compare(line, item.asked, _names(found.probed))

    def _more(self, line: traces.Line, item: inputs.More) -> None:
        if item.round not in self.rounds:
            raise traces.TraceError(
                f"Line {line.number}: there is no round {item.round}."
            )
        service, usable, before = self.rounds.pop(item.round)
        found = self._candidates(line, item.found)
        asked = self.selector.more_probes(service, usable, before, found)
        self.log.asked[item.round] += len(asked)
        self._compare(line, item.asked, _names(asked))

    def _pick(self, line: traces.Line, item: inputs.Pick) -> None:
        found = self._candidates(line, item.found)
        limit = item.most_score or math.inf
        best = self.selector.pick_candidate(found, limit, line.at, item.spare)
        chosen = best.entry.server.instance if best else ""
        self.log.chosen[chosen] += 1
        self._compare(line, (item.chosen,), (chosen,))

    def _candidates(
        self, line: traces.Line, found: tuple[inputs.Told, ...]
    ) -> list[probing.Candidate]:
        return [self._candidate(line, told) for told in found]

    def _candidate(
        self, line: traces.Line, told: inputs.Told
    ) -> probing.Candidate:
        entry = self._known(line, told.server)
        entry.in_flight = told.in_flight
        entry.lapses_at = None if told.usable else line.at
        load = types.Load(*told.load) if told.load else None
        return probing.Candidate(
            entry, None, load, line.at, told.fit, told.score
        )

    def _known(self, line: traces.Line, name: str) -> servers.ServerEntry:
        if name not in self.entries:
            raise traces.TraceError(
                f"Line {line.number}: there is no server '{name}'."
            )
        return self.entries[name]

    def _compare(
        self,
        line: traces.Line,
        recorded: tuple[str, ...],
        found: tuple[str, ...],
    ) -> None:
        if recorded != found:
            self.log.differences.append(
                f"line {line.number}: {', '.join(found) or 'nobody'}"
                f" in place of {', '.join(recorded) or 'nobody'}"
            )


def _names(entries: list[servers.ServerEntry]) -> tuple[str, ...]:
    return tuple(entry.server.instance for entry in entries)
