"""Fake servers, callers and a virtual clock around real dispatchers.

One-way delays are fixed: 1 ms between zones, 0.2 ms within one, 1 ms more
for a new connection. Work belongs to the call, so that a second try draws
no luckier service time. A daemon's probe budget is an even part of the
fleet's.
"""

import collections
import dataclasses
import heapq
import math
import random

from banyantiller.config.defaults import BackendSettings
from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import types

WITHIN_ZONE_S, BETWEEN_ZONES_S, CONNECT_S = 0.0002, 0.001, 0.001
CONNECT_TIMEOUT_S = BackendSettings().connect_timeout_s
PROBE_S = 0.006
BACKLOG_PER_SLOT = 4
SENDS = 4


@dataclasses.dataclass(slots=True, eq=False)
class User:
    """A caller's request and what became of it."""

    born: float
    work: float
    idempotent: bool
    deadline: float
    runs: int = 0
    sends: int = 0
    latency: float | None = None
    good: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One try, or a probe when it has no daemon."""

    work: float
    daemon: "Daemon | None" = None
    attempt_id: int = 0
    user: User | None = None
    server: "Server | None" = None
    version: int = 0
    gone: bool = False


class Server:
    """Slots and a FIFO backlog; speed and mode change on demand."""

    def __init__(self, world, state):
        self.world, self.state = world, state
        self.speed, self.mode, self.draining = 1.0, "up", False
        self.running, self.backlog = {}, []
        self.loads = collections.deque([(0.0, 0)])

    def load(self):
        """Returns the requests running and waiting."""
        return len(self.running) + len(self.backlog)

    def arrive(self, request):
        """Takes a request as the mode says."""
        if self.mode == "silent":
            kind = ErrorKind.CONNECT_TIMEOUT
            self.world.after(CONNECT_TIMEOUT_S, self.reply, request, kind)
        elif self.mode == "refuse":
            self.reply(request, ErrorKind.CONNECT_FAILED)
        elif self.mode == "failing":
            self.reply(request, status=503)
        elif self.load() >= self.state.slots * (1 + BACKLOG_PER_SLOT):
            self.reply(request, ErrorKind.BACKEND_SHED)
        elif not request.gone:
            self.backlog.append(request)
            self._fill()

    def drop(self, request):
        """Ends or cancels a request; its slot is free."""
        request.gone = True
        self.running.pop(request, None)
        if request in self.backlog:
            self.backlog.remove(request)
        self._fill()
        self.world.freed(self)

    def set_speed(self, speed):
        """Changes the speed, also of what runs."""
        for request, since in self.running.items():
            request.work -= (self.world.now - since) * self.speed
        self.speed = speed
        for request in self.running:
            self._plan_end(request)

    def set_mode(self, mode):
        """Changes the mode; what is on a silent server is lost."""
        self.mode = mode
        if mode == "silent":
            self.running.clear()
            self.backlog.clear()

    def reply(self, request, error=None, status=0):
        """Sends an answer head, or a failure that ran nothing."""
        if request.daemon is None:
            return
        ran = Ran.NO if error else Ran.YES if status == 200 else Ran.UNKNOWN
        report = types.LoadReport(self._told(), draining=self.draining)
        result = types.AttemptResult(error is None, ran, error, status, report)
        delay = self.world.delay(request.daemon.zone, self.state.zone)
        self.world.after(delay, request.daemon.result, request, result)

    def _fill(self):
        while self.backlog and len(self.running) < self.state.slots:
            request = self.backlog.pop(0)
            if request.user is not None:
                request.user.runs += 1
            self._plan_end(request)
        self._told()

    def _plan_end(self, request):
        self.running[request] = self.world.now
        request.version += 1
        left = max(request.work, 0.0) / self.speed
        self.world.after(left, self._finish, request, request.version)

    def _finish(self, request, version):
        if request in self.running and request.version == version:
            self.reply(request, status=200)
            self.drop(request)

    def _told(self):
        self.loads.append((self.world.now, self.load()))
        limit = self.world.now - self.world.report_age
        while len(self.loads) > 1 and self.loads[1][0] <= limit:
            self.loads.popleft()
        return self.loads[0][1]


class Daemon:
    """Drives one dispatcher as the proxy would."""

    def __init__(self, world, zone):
        self.world, self.zone = world, zone
        self.dispatcher = None
        self.users, self.requests = {}, {}
        self.idle = collections.Counter()
        self.tick_at = math.inf
        self.probe_tokens, self.probe_at = 1.0, 0.0

    def charge(self, now):
        """Takes a probe out of this daemon's part of the budget."""
        rate = self.world.probe_rate / len(self.world.daemons)
        earned = (now - self.probe_at) * rate
        self.probe_tokens = min(1.0, self.probe_tokens + earned)
        self.probe_at = now
        granted = self.probe_tokens >= 1.0
        self.probe_tokens -= granted
        return granted

    def submit(self, user):
        """Hands a call to the dispatcher."""
        user.sends += 1
        self.world.number += 1
        self.users[self.world.number] = user
        call = (self.world.number, user.idempotent, user.deadline)
        self.apply(self.dispatcher.submit(types.Call(*call), self.world.now))

    def result(self, request, result):
        """Hands the end of a try to the dispatcher, unless it was given up."""
        number, now = request.attempt_id, self.world.now
        if number not in self.requests:
            return
        head = self.dispatcher.attempt_head(number, result, now)
        self.apply(head, result.status < 500)
        if self.requests.pop(number, None) and result.ok:
            self.idle[request.server] += 1
            self.apply(self.dispatcher.attempt_done(number, now))

    def apply(self, actions, good=True):
        """Carries out actions and plans the next tick."""
        for action in actions:
            if isinstance(action, types.Start):
                self._start(action)
            elif isinstance(action, types.Cancel):
                self._cancel(self.requests.pop(action.attempt_id))
            elif isinstance(action, types.Relay):
                self.world.ended(self.users.pop(action.call_id), good)
            elif isinstance(action, types.Refuse):
                user = self.users.pop(action.call_id)
                self.world.refused(user, action.failure)
            else:
                self._probe(self.world.servers[action.server])
        due = self.dispatcher.next_tick()
        if due is not None and due < self.tick_at:
            self.tick_at = due
            self.world.after(due - self.world.now, self._tick, due)

    def _tick(self, due):
        if due == self.tick_at:
            self.tick_at = math.inf
            self.apply(self.dispatcher.tick(self.world.now))

    def _start(self, action):
        user, server = self.users[action.call_id], action.server
        server = self.world.servers[server]
        request = Request(user.work, self, action.attempt_id, user, server)
        self.requests[action.attempt_id] = request
        self.world.tries += 1
        delay = self.world.delay(self.zone, server.state.zone)
        delay += 0.0 if self.idle[server] else CONNECT_S
        self.idle[server] = max(0, self.idle[server] - 1)
        self.world.after(delay, server.arrive, request)

    def _cancel(self, request):
        delay = self.world.delay(self.zone, request.server.state.zone)
        delay += CONNECT_S  # Never before the request itself arrives.
        self.world.after(delay, request.server.drop, request)

    def _probe(self, server):
        self.world.probes += 1
        if server.mode == "up":
            server.arrive(Request(PROBE_S))
        silent = CONNECT_TIMEOUT_S * (server.mode == "silent")
        self.world.after(PROBE_S + silent, self._probed, server)

    def _probed(self, server):
        name, now = server.state.name, self.world.now
        if server.mode == "up":
            report = types.LoadReport(server.load(), source="probe")
            self.apply(self.dispatcher.report(name, report, now))
        else:
            self.apply(self.dispatcher.probe_failed(name, now))


class World:
    """The clock, the servers, the daemons and the callers of one run."""

    def __init__(self, service, states, zones, seed):
        self.now, self.number, self.events = 0.0, 0, []
        self.rng = random.Random(seed)
        self.service, self.zones = service, zones
        self.probe_rate = service.measuring.probes_per_second
        self.servers = {s.name: Server(self, s) for s in states}
        self.daemons, self.users, self.traces = [], [], []
        self.freed = lambda _: None
        self.report_age, self.resend = 0.0, False
        self.probes = self.tries = self.refusals = self.questions = 0

    def after(self, delay, function, *arguments):
        """Calls a function when the delay is over."""
        self.number += 1
        due = self.now + max(delay, 0.0)
        heapq.heappush(self.events, (due, self.number, function, arguments))

    def run(self, until):
        """Runs what is due until a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def delay(self, zone, other):
        """Returns the one-way delay between two zones."""
        return WITHIN_ZONE_S if zone == other else BETWEEN_ZONES_S

    def arrive(self, user):
        """Sends a new call to any daemon."""
        self.users.append(user)
        self.rng.choice(self.daemons).submit(user)

    def ended(self, user, good):
        """Notes a caller's final answer."""
        user.latency = self.now - user.born
        user.good = good and self.now <= user.deadline

    def refused(self, user, failure):
        """Notes a failure; the caller may send again when told to."""
        self.refusals += 1
        if not (self.resend and failure.response.retry and user.sends < SENDS):
            self.ended(user, False)
            return
        wait = 0.05 * 2**user.sends
        if failure.retry_after is not None:
            wait = math.ceil(failure.retry_after)
        wait += 0.1 * self.rng.random()
        user.deadline = self.now + wait + self.service.deadline_s
        self.after(wait, self.rng.choice(self.daemons).submit, user)

    def configure(self, states):
        """Tells every daemon of new or changed servers."""
        for state in states:
            server = self.servers.setdefault(state.name, Server(self, state))
            server.state = state
        known = tuple(server.state for server in self.servers.values())
        for daemon in self.daemons:
            change = daemon.dispatcher.configure
            daemon.apply(change(self.service, known, self.now))
