"""A driver of a dispatcher for tests."""

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import adaptive, types
from banyantiller.routing.types import Start

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


def server_states(count, slots=2, **kwargs):
    return tuple(
        types.ServerState(f"b{i:02}", ZONES[i % 4], slots, **kwargs)
        for i in range(count)
    )


def success(in_flight=0.0, **kwargs):
    report = types.LoadReport(in_flight)
    return types.AttemptResult(
        True, Ran.YES, status=200, report=report, **kwargs
    )


def failure(error_kind=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN, **kwargs):
    return types.AttemptResult(False, ran, error=error_kind, **kwargs)


class Driver:
    """Passes inputs to a dispatcher and collects its actions.

    Attributes:
        now: The time that inputs carry.
        actions: Every action so far.
        dispatcher: The dispatcher under test.
    """

    def __init__(
        self, servers, service=None, zone="zone-a", charge=lambda _: False
    ):
        self.now = 100.0
        self.actions = []
        self.service = service or options.Service("lookups", ())
        self.dispatcher = adaptive.create(
            self.service, servers, "d1", zone, 7, self.now, charge
        )
        self.next_call = 0

    def submit(self, idempotent=True, timeout_s=5.0, **kwargs):
        self.next_call += 1
        call = types.Call(
            self.next_call, idempotent, self.now + timeout_s, **kwargs
        )
        return self.record_actions(self.dispatcher.submit(call, self.now))

    def receive_head(self, attempt_id, result):
        return self.record_actions(
            self.dispatcher.attempt_head(attempt_id, result, self.now)
        )

    def respond(self, attempt_id, after_s=0.02, in_flight=0.0):
        self.now += after_s
        actions = self.receive_head(attempt_id, success(in_flight))
        return actions + self.record_actions(
            self.dispatcher.attempt_done(attempt_id, self.now)
        )

    def tick(self, after_s=0.0):
        self.now += after_s
        return self.record_actions(self.dispatcher.tick(self.now))

    def run_due(self, until):
        """Ticks whenever work is due, up to a time; returns the actions."""
        found = []
        for _ in range(100_000):
            due = self.dispatcher.next_tick()
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            found += self.tick()
        else:
            raise AssertionError("The dispatcher requests ticks endlessly.")
        self.now = until
        return found

    def next_starts(self, until):
        """Ticks until an attempt starts, or up to `until`; returns starts."""
        while (due := self.dispatcher.next_tick()) is not None and due <= until:
            self.now = max(self.now, due)
            if starts := of_type(self.tick(), Start):
                return starts
        self.now = until
        return []

    def record_actions(self, actions):
        self.actions += actions
        return actions

    def fill_servers(self, calls):
        """Starts calls that take all attempts that servers may have."""
        starts = [
            of_type(self.submit(idempotent=False), Start) for _ in range(calls)
        ]
        return [start for (start,) in starts]

    def warm_up(self, calls=60):
        """Completes some calls so that latencies are known."""
        for _ in range(calls):
            for action in of_type(self.submit(), types.Start):
                self.respond(action.attempt_id)


def of_type(actions, action_type):
    return [action for action in actions if isinstance(action, action_type)]
