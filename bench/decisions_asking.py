"""Asking for load just before sending, in the world of `bench.decisions`.

The questions travel as long as requests do. Servers tell their load and speed
at the moment of the question, as those of the users' platform do; the product's
selector and score decide.
"""

import math
import random

from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.gateway import probing
from banyantiller.gateway import types as gateway_types
from banyantiller.gateway.decisions import (
    durations,
    scoring,
    selection,
    waiting,
)
from banyantiller.replay import selector_inputs as inputs
from banyantiller.routing import types

# The route of all calls; their deadline stands for its latency objective.
ROUTE = "calls"
MOST_TRIES = 2


class AskingDispatcher:
    """Asks servers for their load before each send, in one daemon.

    Attributes:
        world: The servers and the clock.
        daemon: Carries out actions.
        selector: The product's decisions, maybe recorded.
        entries: What this daemon believes of each server.
        running: Tries with their call, their server and their begin.
        durations: How long calls usually take.
        calls: Calls without an outcome, with the servers they were sent to.
    """

    def __init__(self, world, daemon, selector):
        self.world, self.daemon = world, daemon
        self.selector = selector
        self.entries = {}
        self.calls = {}
        self.running = {}
        self.durations = durations.Durations()
        self.configure()

    def configure(self, *_):
        """Takes the servers as they are listed."""
        for name, server in self.world.servers.items():
            if name not in self.entries:
                self.entries[name] = inputs.entry_of(_fields(server.state))
            entry = self.entries[name]
            leaving = server.state.leaving
            entry.server = entry.server._replace(leaving=leaving)
        return []

    def submit(self, call, now):
        """Begins a call."""
        self.calls[call.call_id] = (call, set())
        self.world.after(call.deadline - now, self._expire, call.call_id)
        objective_s = call.deadline - now
        usual_s = self.durations.usual_s(ROUTE, objective_s)
        limits = waiting.wait_limits(objective_s, usual_s, False, now)
        self._round(call.call_id, limits)
        return []

    def attempt_head(self, attempt_id, result, now):
        """Takes an answer or a failure."""
        call_id, entry, began = self.running.pop(attempt_id)
        entry.in_flight -= 1
        entry.health.record_result(result.ok and result.status < 500, now)
        call, tried = self.calls[call_id]
        if result.ok and result.status < 500:
            self.durations.record_duration(ROUTE, now - began)
            del self.calls[call_id]
            return [types.Relay(call_id, attempt_id)]
        safe = call.idempotent or result.ran == Ran.NO
        if safe and len(tried) < MOST_TRIES:
            self._round(call_id, waiting.no_wait(now))
            return []
        del self.calls[call_id]
        if result.ok:
            return [types.Relay(call_id, attempt_id)]
        return [types.Refuse(call_id, Failure(ErrorKind.BACKEND_SHED))]

    def attempt_done(self, *_):
        """Does nothing."""
        return []

    def next_tick(self):
        """Returns no time."""

    def _expire(self, call_id):
        """Ends a call whose time has passed."""
        if self.calls.pop(call_id, None) is None:
            return
        running = [n for n, one in self.running.items() if one[0] == call_id]
        for attempt_id in running:
            _, entry, _ = self.running.pop(attempt_id)
            entry.in_flight -= 1
        kind = (
            ErrorKind.DEADLINE_AFTER_START
            if running
            else ErrorKind.DEADLINE_UNREACHABLE
        )
        cancelled = map(types.Cancel, running)
        self.daemon.apply([*cancelled, types.Refuse(call_id, Failure(kind))])

    def _round(self, call_id, limits):
        """Asks the first servers of a round."""
        if call_id not in self.calls:
            return
        now = self.world.now
        _, tried = self.calls[call_id]
        usable = [
            entry
            for name, entry in self.entries.items()
            if entry.usable(now)
            and name not in tried
            and not entry.health.is_unresponsive(now)
        ]
        first = self.selector.first_probes("", usable)

        def answered(found):
            more = self.selector.more_probes("", usable, first, found)
            self._ask(more, lambda rest: picked(found + rest))

        def picked(found):
            self._pick(call_id, limits, found)

        self._ask(first.probed, answered)

    def _ask(self, entries, then):
        """Asks servers and goes on once all have answered or are late."""
        found, left = [], len(entries)
        if not entries:
            then(found)

        def ended(candidate):
            nonlocal left
            left -= 1
            if candidate is not None:
                found.append(candidate)
            if left == 0:
                then(sorted(found, key=lambda one: one.score))

        for entry in entries:
            self.world.questions += 1
            server = self.world.servers[entry.server.instance]
            delay = self.world.delay(self.daemon.zone, server.state.zone)
            self.world.after(delay, self._reach, server, entry, delay, ended)

    def _reach(self, server, entry, delay, ended):
        """A question reaches its server."""
        if server.mode in ("silent", "refuse"):
            wait = probing.PROBE_TIMEOUT_S if server.mode == "silent" else delay
            self.world.after(wait, self._silent, entry, ended)
            return
        load = gateway_types.Load(
            len(server.running),
            len(server.backlog),
            server.state.slots,
            1 / server.speed,
        )
        self.world.after(delay, self._told, entry, load, ended)

    def _silent(self, entry, ended):
        entry.health.record_no_response(self.world.now)
        ended(None)

    def _told(self, entry, load, ended):
        now = self.world.now
        entry.health.record_response()
        score = scoring.score(
            load,
            entry.health.failure_rate_at(now),
            entry.server.zone == self.daemon.zone,
            False,
        )
        ended(probing.Candidate(entry, None, load, now, True, score))

    def _pick(self, call_id, limits, found):
        """Sends the call, asks again, or refuses it."""
        if call_id not in self.calls:
            return
        now = self.world.now
        found.sort(key=lambda one: one.score)
        again = now + waiting.REPROBE_PAUSE_S
        spare = again <= limits.keep_last_slot_until
        best = self.selector.pick_candidate(found, math.inf, now, spare)
        if best is not None:
            self._start(call_id, best.entry)
        elif again <= limits.any_server_until:
            pause_s = waiting.REPROBE_PAUSE_S
            self.world.after(pause_s, self._round, call_id, limits)
        else:
            del self.calls[call_id]
            failure = Failure(ErrorKind.NO_SERVER, retry_after=0.15)
            self.daemon.apply([types.Refuse(call_id, failure)])

    def _start(self, call_id, entry):
        name = entry.server.instance
        self.calls[call_id][1].add(name)
        self.world.number += 1
        attempt_id = self.world.number
        self.running[attempt_id] = (call_id, entry, self.world.now)
        entry.in_flight += 1
        self.daemon.apply([types.Start(call_id, attempt_id, name)])


def create(world, daemon, seed, lines=None):
    """Builds the dispatcher of one daemon; `lines` records its decisions."""
    name = f"d{len(world.daemons)}"
    selector = selection.ServerSelector(name, daemon.zone, random.Random(seed))
    if lines is not None:
        listed = [_fields(server.state) for server in world.servers.values()]
        inputs.begin(lines, name, daemon.zone, seed, listed)
        selector = inputs.RecordingSelector(selector, lines, lambda: world.now)
    return AskingDispatcher(world, daemon, selector)


def _fields(state):
    return inputs.ServerFields(state.name, state.zone, state.slots)
