"""Choosers to compare with: four usual ones and one that knows everything.

The usual ones see only the daemon's own calls and which servers leave. They
run in the product's dispatcher with its mechanisms but retries switched off,
so that deadlines, retries and the budget are the same; they do not hedge.
"""

import collections

from banyantiller.routing import adaptive, choice, tuning, types

OFF = frozenset(tuning.MECHANISMS) - {"retries"}
PICKS = {
    "random": lambda views, rng, _: rng.choice(views),
    "round_robin": lambda views, _, turn: views[turn % len(views)],
    "least_own": lambda views, rng, _: min(
        views, key=lambda view: (len(view.local_attempts), rng.random())
    ),
    "two_choices": lambda views, rng, _: min(
        rng.sample(views, min(2, len(views))),
        key=lambda view: len(view.local_attempts),
    ),
}


def usual(pick, service, states, zone, seed):
    """Builds a dispatcher around one of the usual choosers."""
    constants = tuning.Tuning(disabled=OFF)
    made = adaptive.create(
        service, states, "", zone, seed, 0.0, lambda _: False, constants
    )
    turn = made.state.rng.randrange(len(states))

    def choose(call, _, exclude_tried):
        nonlocal turn
        turn += 1
        usable = [v for v in made.state.views.values() if v.is_usable()]
        if exclude_tried:
            usable = [
                v for v in usable if v.server.name not in call.tried_servers
            ]
        if not usable:
            return None
        return choice.Choice(pick(usable, made.state.rng, turn), 0.0)

    made.state.choose = choose
    return made


class AllKnowing:
    """One queue of all daemons over the true state of every server.

    It starts a call only where a slot is free, on the fastest such server,
    and knows at once when one is freed. It moves no call that has started.
    """

    def __init__(self, world):
        self.world = world
        self.queue = collections.deque()
        self.given = collections.Counter()
        world.freed = self.take_back

    def take_back(self, server):
        """Takes that a slot of a server is free."""
        self.given[server] -= 1
        self.pump()

    def pump(self):
        """Starts waiting calls while a slot is free."""
        while self.queue:
            call, daemon = self.queue[0]
            free = [s for s in self.world.servers.values() if self._free(s) > 0]
            if not free:
                return
            self.queue.popleft()
            if call.deadline < self.world.now:
                continue
            best = max(
                free,
                key=lambda s: (s.speed, s.state.zone == daemon.zone),
            )
            self.given[best] += 1
            name = best.state.name
            daemon.apply([types.Start(call.call_id, call.call_id, name)])

    def _free(self, server):
        if server.mode != "up" or server.draining:
            return 0
        return server.state.slots - self.given[server]


class AllKnowingDispatcher:
    """The part of the all-knowing chooser in one daemon."""

    def __init__(self, chooser, daemon):
        self.chooser, self.daemon = chooser, daemon

    def submit(self, call, _):
        """Queues a call."""
        self.chooser.queue.append((call, self.daemon))
        self.chooser.pump()
        return []

    def attempt_head(self, attempt_id, result, _):
        """Relays an answer; a call that met a closing server is lost."""
        return [types.Relay(attempt_id, attempt_id)] if result.ok else []

    def attempt_done(self, *_):
        """Does nothing, as `configure` and `next_tick`."""
        return []

    configure = attempt_done

    def next_tick(self):
        """Returns no time."""
