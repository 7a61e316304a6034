"""Simulates requests of several kinds at the servers of one service.

Only decisions are simulated, without sockets. Servers are slow in periods and
slower when they are full, as the page on load sharing describes. Each caller
retries once.
"""

import heapq
import random
from typing import NamedTuple

from banyantiller.gateway.decisions import (
    budget,
    precedence,
    service_load,
    waiting,
)

SLOW_CYCLE_S, SLOW_S, SLOWNESS = 0.5, 0.15, 5.0
FULL_SHARE, FULL_SLOWNESS = 0.8, 1.7
CALLER_RETRY_S = (0.1, 0.2)


class Kind(NamedTuple):
    """A kind of request; `surge` multiplies its rate from begin_s to end_s."""

    name: str
    per_s: float
    work_s: float
    objective_s: float
    timeout_s: float
    rank: float
    surge: float = 1.0


class Try(NamedTuple):
    """One try of a caller; tries are ordered by time."""

    at: float
    number: int
    kind: Kind
    first_at: float
    reprobe: bool = False
    began_at: float = 0.0
    sends: int = 0

    @property
    def returned(self):
        return self.began_at > self.first_at


class Simulation:
    """One service, and the callers of its requests.

    Attributes:
        load_of: Returns the load that daemons know at a time; None for today's
            behaviour, without precedence.
        ends: Times at which the slots of each server become free.
        rejected: Share of requests that servers reject from begin_s to end_s.
        budgets: Retry budgets of the daemons.
    """

    def __init__(self, servers, slots, seed, load_of, **more):
        self.random = random.Random(seed)
        self.slots, self.load_of = slots, load_of
        self.begin_s = more.get("begin_s", 3.0)
        self.end_s = self.begin_s + more.get("length_s", 6.0)
        self.rejected = more.get("rejected", 0.0)
        self.recognised = more.get("recognised", True)
        self.ends = [[] for _ in range(servers)]
        self.phases = [
            self.random.uniform(0, SLOW_CYCLE_S) for _ in range(servers)
        ]
        daemons = more.get("daemons", 135)
        per_daemon = more.get("extra", 208.0) / 135
        self.budgets = [
            budget.RetryBudget(10.0, 0.18, 0.8 * per_daemon, rounding)
            for rounding in (self.random.random() for _ in range(daemons))
        ]
        self.watches = [precedence.ReturnWatch() for _ in self.budgets]
        # How often the fleet's knowledge is renewed.
        self.load_age_s = more.get("load_age_s", 0.25)
        self.known = None
        self.known_at = -1.0
        self.served, self.in_time, self.sent = {}, {}, {}

    def run(self, kinds):
        """Returns the shares of callers served in time, and served, by kind."""
        queue, number = [], 0
        for kind in kinds:
            at = 0.0
            while at < self.end_s + 1:
                surge = kind.surge if self.begin_s <= at < self.end_s else 1.0
                at += self.random.expovariate(kind.per_s * surge)
                number += 1
                queue.append(Try(at, number, kind, at, False, at))
        heapq.heapify(queue)
        while queue:
            one = heapq.heappop(queue)
            later = self._handle(one)
            if later is not None:
                heapq.heappush(queue, later)
        return {
            kind.name: (
                self.in_time.get(kind.name, 0) / self.sent[kind.name],
                self.served.get(kind.name, 0) / self.sent[kind.name],
            )
            for kind in kinds
        }

    def _handle(self, one):
        """Returns the next step of a try, or None."""
        kind, now = one.kind, one.at
        counted = self.begin_s <= one.first_at < self.end_s
        daemon = one.number % len(self.budgets)
        if one.at == one.began_at:
            daemon_budget = self.budgets[daemon]
            daemon_budget.record_request(now)
            if not one.returned and counted:
                self.sent[kind.name] = self.sent.get(kind.name, 0) + 1
            if one.returned and self.recognised:
                # Retries go to another daemon.
                self.watches[(daemon * 7) % len(self.watches)].record_returned()
        cost = precedence.RequestCost(
            kind.rank,
            kind.objective_s - (now - one.first_at) - kind.work_s * 1.2,
            kind.work_s * 1.2,
            one.returned and self.recognised,
            one.first_at + kind.timeout_s - now,
        )
        load = None if self.load_of is None else self._load(now)
        if self.load_of is not None and precedence.is_hopeless(cost, load):
            return self._reject(one)
        limits = self._limits(one, cost, load)
        chosen = self._probe(now, limits)
        if chosen is None:
            if now + limits.reprobe_pause_s > limits.any_server_until:
                return self._reject(one)
            return one._replace(at=now + limits.reprobe_pause_s, reprobe=True)
        if (
            self.begin_s <= now < self.end_s
            and self.random.random() < self.rejected
        ):
            return self._retry(one._replace(sends=one.sends + 1), cost, load)
        self._serve(one, chosen, counted)
        return None

    def _limits(self, one, cost, load):
        began = cost._replace(
            slack_s=cost.slack_s + one.at - one.began_at,
            remaining_s=cost.remaining_s + one.at - one.began_at,
        )
        limits = waiting.wait_limits(
            one.kind.objective_s, cost.usual_s, False, one.began_at
        )
        if self.load_of is None:
            return limits
        return precedence.wait_limits(began, load, limits, one.began_at)

    def _retry(self, one, cost, load):
        daemon = one.number % len(self.budgets)
        retries, watch = self.budgets[daemon], self.watches[daemon]
        if one.sends >= 3:
            return self._reject(one)
        share = 1.0
        watch.update(load, one.at)
        if load is not None and watch.may_reserve:
            share = precedence.retry_share(
                cost,
                load,
                retries.retries_per_request,
                3,
                watch.window_left(10.0, one.at),
            )
        if retries.try_spend(one.at, share):
            return one._replace(at=one.at + 0.003)
        if share < 1 and retries.may_spend(one.at):
            watch.record_refused()
        return self._reject(one)

    def _reject(self, one):
        if one.returned:
            return None
        pause_s = self.random.uniform(*CALLER_RETRY_S)
        if one.sends:
            pause_s = self.random.uniform(0.03, 0.06)
        at = one.at + pause_s
        if at >= one.first_at + one.kind.timeout_s:
            return None
        number = one.number + 67
        return Try(at, number, one.kind, one.first_at, False, at)

    def _running(self, server, now):
        ends = self.ends[server] = [
            end for end in self.ends[server] if end > now
        ]
        return len(ends)

    def _is_slow(self, server, now):
        return (now + self.phases[server]) % SLOW_CYCLE_S < SLOW_S

    def _probe(self, now, limits):
        count = min(precedence.PROBES, len(self.ends))
        if limits.max_more_probes is not None:
            count = min(count, 3 + limits.max_more_probes)
        found = [
            (self._running(server, now), server)
            for server in self.random.sample(range(len(self.ends)), count)
            if not self._is_slow(server, now)
        ]
        free = self.slots
        if now + waiting.REPROBE_PAUSE_S <= limits.keep_last_slot_until:
            free -= 1
        found = [one for one in found if one[0] < free]
        return min(found)[1] if found else None

    def _serve(self, one, server, counted):
        left_s = one.kind.work_s * self.random.lognormvariate(0, 0.25)
        running = self._running(server, one.at) + 1
        if running > FULL_SHARE * self.slots:
            left_s *= FULL_SLOWNESS
        end, step = one.at, 0.005
        while left_s > 0:
            left_s -= step / (SLOWNESS if self._is_slow(server, end) else 1.0)
            end += step
        deadline = one.first_at + one.kind.timeout_s
        self.ends[server].append(min(end, deadline))
        if counted:
            name, took_s = one.kind.name, end - one.first_at
            self.served[name] = self.served.get(name, 0) + (end <= deadline)
            in_time = took_s <= one.kind.objective_s
            self.in_time[name] = self.in_time.get(name, 0) + in_time

    def _load(self, now):
        if now >= self.known_at + self.load_age_s:
            self.known, self.known_at = self._observe(now), now
        return self.load_of(self.known)

    def _observe(self, now):
        running = [
            self._running(server, now) for server in range(len(self.ends))
        ]
        count = len(running)
        slow = sum(self._is_slow(server, now) for server in range(count))
        total = count * self.slots
        return service_load.ZoneLoad(
            servers=count,
            free_share=1 - sum(running) / total,
            idle_share=running.count(0) / count,
            slow_share=slow / count,
            waiting=0.0,
            rejected_share=self.rejected
            if self.begin_s <= now < self.end_s
            else 0.0,
            freed_per_s=sum(running) / 0.25,
            age_s=0.1,
        )
