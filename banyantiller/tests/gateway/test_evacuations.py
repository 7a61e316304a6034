"""Tests of the evacuation of availability zones."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

OBJECT_KIND = "evacuations"
RELAY_PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in RELAY_PORTS)
SUBSCRIBER_COUNT = 4
# Time after the store's response within which an evacuation has to be in force.
PROPAGATION_LIMIT_S = 5.0


def put_zones(env, **zones):
    """Registers servers in availability zones, by instance."""
    for instance, zone in zones.items():
        env.register(instance, zone=zone)


def count_traffic(env):
    """Returns the numbers of requests and probes that each server got."""
    return {
        name: (len(server.arrivals), server.asked)
        for name, server in env.servers.items()
    }


class EvacuationTest(harness.TestCase):
    def play(self, body, **more):
        async def with_zones(env):
            put_zones(env, s0="zone-a", s1="zone-a", s2="zone-b")
            await asyncio.sleep(1)
            return await body(env)

        return super().play(with_zones, **more)

    async def send_many(self, env, count=30, **more):
        """Sends requests one by one; returns the set of their statuses."""
        answers = [
            await env.request(f"r{env.seed}-{number}", **more)
            for number in range(count)
        ]
        return {answer.status for answer in answers}

    def test_evacuated_zone_gets_nothing(self):
        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            before = count_traffic(env)
            statuses = await self.send_many(env)
            after = count_traffic(env)
            moved = [name for name in before if before[name] != after[name]]
            return statuses, moved

        self.assertEqual(({200}, ["s2"]), self.play(body))

    def test_zone_gets_requests_after_its_evacuation(self):
        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            env.store.remove(OBJECT_KIND, "zone-a")
            await asyncio.sleep(0.2)
            before = count_traffic(env)
            await self.send_many(env)
            after = count_traffic(env)
            return [name for name in before if before[name] != after[name]]

        self.assertIn("s0", self.play(body))

    def test_zone_that_is_evacuated_again_gets_nothing(self):
        async def body(env):
            for _ in range(2):
                env.store.put(OBJECT_KIND, "zone-a", {})
                await asyncio.sleep(0.2)
                env.store.remove(OBJECT_KIND, "zone-a")
                await asyncio.sleep(0.2)
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            before = count_traffic(env)
            await self.send_many(env)
            after = count_traffic(env)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_service_with_all_zones_evacuated_is_rejected_at_once(self):
        async def body(env):
            for zone in ("zone-a", "zone-b"):
                env.store.put(OBJECT_KIND, zone, {})
            await asyncio.sleep(0.2)
            before = count_traffic(env)
            answer = await env.request("r", "/file/x", "POST")
            was_slow = answer.took_s > 0.03
            return (
                answer.status,
                float(answer.headers["retry-after"]) > 0,
                was_slow,
                count_traffic(env) == before,
            )

        self.assertEqual((503, True, False, True), self.play(body))

    def test_waiting_request_is_not_sent_there(self):
        """The only server with a slot is in a zone that is evacuated."""

        async def body(env):
            env.servers["s2"].slots = 0
            for name in ("s0", "s1"):
                env.servers[name].running = 9
            pending = asyncio.ensure_future(env.request("r", "/file/x", "POST"))
            await asyncio.sleep(0.01)
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.02)
            for name in ("s0", "s1"):
                env.servers[name].running = 0
            await pending
            return env.ran("r")

        self.assertEqual(0, self.play(body))

    def test_retry_is_not_sent_there(self):
        """All servers shed requests; the retry finds no server."""

        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            env.fault(shed=True)
            before = count_traffic(env)
            await self.send_many(env, 5)
            after = count_traffic(env)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_hedge_is_not_sent_there(self):
        """The server of the first attempt is lost, and its probe as well."""

        async def body(env):
            env.store.put(OBJECT_KIND, "zone-b", {})
            await asyncio.sleep(0.2)
            env.fault(lose=True)
            pending = asyncio.ensure_future(env.request("r"))
            await asyncio.sleep(0.05)
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.02)
            before = count_traffic(env)
            await pending
            return count_traffic(env) == before

        self.assertTrue(self.play(body))

    def test_request_is_not_sent_over_a_connection_that_opens_late(self):
        """The zone is evacuated between the choice and the connection."""

        async def acquire_slowly(server_pool):
            connection = await type(server_pool).acquire(server_pool, True)
            await asyncio.sleep(0.1)
            return connection

        async def body(env):
            # Without load reports, no probe opens connections beforehand.
            for one in env.servers.values():
                one.tells_load = False
            await env.request("before")
            for entry in env.gateway.store_view.table.entries.values():
                server_pool = env.gateway.pool_of(entry.server)
                server_pool.acquire = (
                    lambda fresh=False, server_pool=server_pool: acquire_slowly(
                        server_pool
                    )
                )
            pending = asyncio.ensure_future(env.request("r", "/file/x", "POST"))
            await asyncio.sleep(0.05)
            for zone in ("zone-a", "zone-b"):
                env.store.put(OBJECT_KIND, zone, {})
            return (await pending).status, env.ran("r")

        self.assertEqual((503, 0), self.play(body))

    def test_request_in_flight_is_not_cut(self):
        async def body(env):
            for one in env.servers.values():
                one.work_s = 0.3
            pending = asyncio.ensure_future(env.request("r"))
            await asyncio.sleep(0.1)
            for zone in ("zone-a", "zone-b"):
                env.store.put(OBJECT_KIND, zone, {})
            return (await pending).status

        self.assertEqual(200, self.play(body))

    def test_entries_of_any_content_count(self):
        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", "\ud800")
            env.store.put(OBJECT_KIND, "zone-c", {"unknown": [1]})
            env.store.put(OBJECT_KIND, "", None)
            await asyncio.sleep(0.2)
            return sorted(env.gateway.store_view.evacuations.evacuated), (
                await self.send_many(env, 5)
            )

        zones, statuses = self.play(body)
        self.assertIn("zone-a", zones)
        self.assertIn("zone-c", zones)
        self.assertEqual({200}, statuses)

    def test_lost_history_does_not_end_an_evacuation(self):
        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            env.store.forget()
            env.store.put(OBJECT_KIND, "zone-b", {})
            env.store.remove(OBJECT_KIND, "zone-b")
            await asyncio.sleep(12)
            before = count_traffic(env)
            await self.send_many(env, 5)
            after = count_traffic(env)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_lost_history_hides_no_evacuation_from_a_call_that_waits(self):
        async def body(env):
            # The calls of this daemon begin while watches hear nothing.
            env.store.faults.deaf = True
            await env.start_gateway()
            await asyncio.sleep(0.5)
            env.store.put(OBJECT_KIND, "zone-a", {})
            env.store.forget()
            env.store.faults.deaf = False
            await asyncio.sleep(PROPAGATION_LIMIT_S)
            return env.gateway.store_view.evacuations.evacuated

        self.assertEqual({"zone-a"}, self.play(body))

    def test_lost_history_costs_one_more_list_of_each_kind(self):
        async def body(env):
            await asyncio.sleep(1)
            lists = env.gateway.adapter.store.calls["list"]
            env.store.put("other", "unrelated", {})
            env.store.forget()
            await asyncio.sleep(12)
            return env.gateway.adapter.store.calls["list"] - lists

        self.assertEqual(3, self.play(body))

    def test_outage_of_the_store_does_not_end_an_evacuation(self):
        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            env.store.faults.down = True
            await asyncio.sleep(8)
            before = count_traffic(env)
            await self.send_many(env, 5)
            after = count_traffic(env)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_daemon_that_does_not_know_the_zones_sends_nothing(self):
        async def body(env):
            env.store.put(OBJECT_KIND, "zone-a", {})
            handle = env.store.handle

            async def without_zones(request):
                if OBJECT_KIND in request.path:
                    await asyncio.sleep(3600)
                return await handle(request)

            env.http.handler = without_zones
            await env.start_gateway(name="d2")
            before = count_traffic(env)
            answer = await env.request("r", "/file/x", "POST")
            ready = env.gateway.not_ready_reason()
            return answer.status, count_traffic(env) == before, ready

        status, untouched, reason = self.play(body)
        self.assertEqual((503, True), (status, untouched))
        self.assertEqual("the evacuated zones are not known", reason)


class FleetTest(base.TestCase):
    def play(self, body):
        """Runs `body(env, relays, subscribers)` with a fleet."""

        async def run_fleet():
            async with harness.GatewayHarness() as env:
                daemons = [env.gateway]
                for number, port in enumerate(RELAY_PORTS):
                    await env.start_gateway(SEEDS, f"seed{number}", port)
                    daemons.append(env.gateway)
                for number in range(SUBSCRIBER_COUNT):
                    await env.start_gateway(SEEDS, f"more{number}")
                    daemons.append(env.gateway)
                await asyncio.sleep(7)
                try:
                    return await body(env, daemons[1:4], daemons[4:])
                finally:
                    for one in daemons[:-1]:
                        one.listener.close()
                        await one.close()

        return self.run_paused(run_fleet())

    def test_evacuation_reaches_all_daemons_at_once(self):
        async def body(env, relays, subscribers):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(0.5)
            return [
                one.store_view.evacuations.evacuated
                for one in relays + subscribers
            ]

        expected = [frozenset({"zone-a"})] * (
            len(RELAY_PORTS) + SUBSCRIBER_COUNT
        )
        self.assertEqual(expected, self.play(body))

    def test_evacuation_reaches_the_others_if_a_relay_hangs(self):
        async def body(env, relays, subscribers):
            async def answer_nothing(request):
                await asyncio.sleep(3600)

            env.controls[1].handler = answer_nothing
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(PROPAGATION_LIMIT_S - 1.5)
            return [
                one.store_view.evacuations.evacuated
                for one in relays[1:] + subscribers
            ]

        expected = [frozenset({"zone-a"})] * (
            len(RELAY_PORTS) - 1 + SUBSCRIBER_COUNT
        )
        self.assertEqual(expected, self.play(body))

    def test_daemon_that_starts_without_the_store_learns_of_it(self):
        async def body(env, relays, subscribers):
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(1)
            env.store.faults.down = True
            await env.start_gateway(SEEDS, "late")
            late_daemon = env.gateway
            subscribers.append(late_daemon)
            await asyncio.sleep(2)
            return (
                late_daemon.store_view.evacuations.evacuated,
                late_daemon.not_ready_reason(),
            )

        self.assertEqual((frozenset({"zone-a"}), ""), self.play(body))

    def test_subscribers_make_no_store_calls_for_evacuations(self):
        async def body(env, relays, subscribers):
            calls = [one.store_view.reader.calls.total() for one in subscribers]
            env.store.put(OBJECT_KIND, "zone-a", {})
            await asyncio.sleep(10)
            return [
                one.store_view.reader.calls.total() - count
                for one, count in zip(subscribers, calls, strict=True)
            ]

        self.assertEqual([0] * SUBSCRIBER_COUNT, self.play(body))
