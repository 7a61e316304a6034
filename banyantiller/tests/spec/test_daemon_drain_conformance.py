"""Traces of the shutdown of whole daemons, against `spec.daemon_drain`."""

import asyncio
import random

from banyantiller.config import defaults
from banyantiller.daemon import assembly
from banyantiller.proxy import proxy
from banyantiller.tests import base
from banyantiller.tests.daemon import test_whole_path as whole
from banyantiller.tests.faults import seeds
from spec import conformance, daemon_drain

SEEDS = 30
FAULTY_SEEDS = 20
GRACE_S = daemon_drain.GRACE + 0.1
LONGEST_POLL_S = daemon_drain.NOTICE - 0.1
AFTER_S = 0.01


class Shutdown:
    """One daemon, and the platform's balancer in front of it."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = whole.Fleet()
        self.trace = []
        self.calls = set()
        self.sends = True

    async def run(self):
        await self.fleet.start(0)
        drain = defaults.DrainSettings(grace_s=GRACE_S, limit_s=30.0)
        daemon = await self.fleet.add(whole.settings(1, drain=drain))
        await asyncio.sleep(whole.SETTLED_S)
        self.watch_listener(daemon)
        balancer = asyncio.create_task(self.send_calls())
        poll = asyncio.create_task(self.poll(daemon))
        await asyncio.sleep(self.random.uniform(0, 5))
        self.trace.append("drain")
        clock = asyncio.create_task(self.tick())
        await daemon.stop()
        # The caller of the last answer runs after the daemon's own task.
        await asyncio.sleep(AFTER_S)
        self.trace.append("exit")
        for task in (balancer, poll, clock):
            task.cancel()
        await asyncio.gather(*self.calls)
        self.fleet.daemons.clear()
        await self.fleet.stop()
        return self.trace

    def watch_listener(self, daemon):
        listener = daemon.proxy.server
        close = listener.close

        def noted():
            if listener.is_serving():
                self.trace.append("close_listeners")
            close()

        listener.close = noted

    async def tick(self):
        for _ in range(daemon_drain.GRACE):
            await asyncio.sleep(1.0)
            self.trace.append("tick")

    async def poll(self, daemon):
        while self.sends:
            await asyncio.sleep(self.random.uniform(0.1, LONGEST_POLL_S))
            if not daemon.readiness().ready:
                self.sends = False
                self.trace.append("notice")

    async def send_calls(self):
        while self.sends:
            if len(self.calls) < daemon_drain.CALLS:
                self.trace.append("arrive")
                self.fleet.service_s = self.random.choice((0.05, 0.6, 4.0))
                call = asyncio.create_task(self.call())
                self.calls.add(call)
                call.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def call(self):
        try:
            answer = await whole.send(8001, "GET", "/orders/1")
        except (AssertionError, OSError):
            self.trace.append("cut")
            return
        is_whole = answer.status == 200 and answer.body == b"done "
        self.trace.append("answer" if is_whole else "cut")


async def record(seed):
    return await Shutdown(seed).run()


def follow_all(case, count):
    follower = conformance.Follower(daemon_drain.DAEMON_DRAIN, lambda _: True)
    found = []
    for seed in seeds.seeds(count):
        trace = case.run_paused(record(seed))
        found.append((seed, trace, follower.follow(trace)))
    return found


class DaemonDrainConformanceTest(base.TestCase):
    def test_every_trace_is_a_run_of_the_specification(self):
        kinds = set()
        for seed, trace, deviation in follow_all(self, SEEDS):
            self.assertIsNone(deviation, f"seed {seed}: {trace}: {deviation}")
            kinds.update(trace)
            after = trace[trace.index("close_listeners") :]
            kinds.update(f"late {label}" for label in after)
        every = {"arrive", "answer", "drain", "notice", "tick", "exit"}
        every |= {"close_listeners", "late close_listeners"}
        every |= {"late answer", "late exit"}
        self.assertEqual(every, kinds)

    def assert_found(self, *labels):
        found = [d for _, _, d in follow_all(self, FAULTY_SEEDS) if d]
        self.assertNotEqual([], found)
        self.assertEqual(set(labels), {item.observed for item in found})

    def test_code_that_closes_listeners_at_once_is_found(self):
        drain = proxy.Proxy.drain
        self.patch(
            proxy.Proxy, "drain", lambda part, _, limit: drain(part, 0, limit)
        )
        self.assert_found("close_listeners")

    def test_code_that_ends_with_calls_in_flight_is_found(self):
        drain = proxy.Proxy.drain
        self.patch(
            proxy.Proxy, "drain", lambda part, grace, _: drain(part, grace, 0)
        )
        self.assert_found("cut")

    def test_code_whose_readiness_stays_is_found(self):
        ready = assembly.Daemon.readiness

        def stays(daemon):
            return ready(daemon)._replace(ready=True)

        self.patch(assembly.Daemon, "readiness", stays)
        self.assert_found("tick")
