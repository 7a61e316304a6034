"""Tests of availability zones that operators evacuate."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

KIND = "evacuations"
PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
OTHERS = 4
# Time after the store's answer in which an evacuation has to be in force.
BOUND_S = 5.0


def put_zones(place, **zones):
    """Moves servers to availability zones, by instance."""
    for instance, zone in zones.items():
        place.register(instance, zone=zone)


def counted(place):
    """Returns requests and questions that each server got so far."""
    return {
        name: (len(one.arrivals), one.asked)
        for name, one in place.servers.items()
    }


class EvacuationTest(harness.TestCase):
    def play(self, body, **more):
        async def in_zones(place):
            put_zones(place, s0="zone-a", s1="zone-a", s2="zone-b")
            await asyncio.sleep(1)
            return await body(place)

        return super().play(in_zones, **more)

    async def ask_often(self, place, count=30, **more):
        """Returns the statuses of requests that are sent one by one."""
        answers = [
            await place.request(f"r{place.seed}-{number}", **more)
            for number in range(count)
        ]
        return {answer.status for answer in answers}

    def test_evacuated_zone_gets_nothing(self):
        async def body(place):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            before = counted(place)
            statuses = await self.ask_often(place)
            after = counted(place)
            moved = [name for name in before if before[name] != after[name]]
            return statuses, moved

        self.assertEqual(({200}, ["s2"]), self.play(body))

    def test_zone_that_is_given_back_gets_requests(self):
        async def body(place):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            place.store.remove(KIND, "zone-a")
            await asyncio.sleep(0.2)
            before = counted(place)
            await self.ask_often(place)
            after = counted(place)
            return [name for name in before if before[name] != after[name]]

        self.assertIn("s0", self.play(body))

    def test_zone_that_is_evacuated_again_gets_nothing(self):
        async def body(place):
            for _ in range(2):
                place.store.put(KIND, "zone-a", {})
                await asyncio.sleep(0.2)
                place.store.remove(KIND, "zone-a")
                await asyncio.sleep(0.2)
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            before = counted(place)
            await self.ask_often(place)
            after = counted(place)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_only_zone_of_a_service_is_refused_at_once(self):
        async def body(place):
            for zone in ("zone-a", "zone-b"):
                place.store.put(KIND, zone, {})
            await asyncio.sleep(0.2)
            before = counted(place)
            answer = await place.request("r", "/file/x", "POST")
            late = answer.took_s > 0.03
            return (
                answer.status,
                float(answer.headers["retry-after"]) > 0,
                late,
                counted(place) == before,
            )

        self.assertEqual((503, True, False, True), self.play(body))

    def test_request_that_waits_does_not_go_there(self):
        """The only server with a slot is in a zone that is evacuated."""

        async def body(place):
            place.servers["s2"].slots = 0
            for name in ("s0", "s1"):
                place.servers[name].running = 9
            waiting = asyncio.ensure_future(
                place.request("r", "/file/x", "POST")
            )
            await asyncio.sleep(0.01)
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.02)
            for name in ("s0", "s1"):
                place.servers[name].running = 0
            await waiting
            return place.ran("r")

        self.assertEqual(0, self.play(body))

    def test_second_try_does_not_go_there(self):
        """Every server turns requests away; the second try finds none."""

        async def body(place):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            place.fault(shed=True)
            before = counted(place)
            await self.ask_often(place, 5)
            after = counted(place)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_second_server_beside_does_not_go_there(self):
        """The running server is lost; the question whether it lives too."""

        async def body(place):
            place.store.put(KIND, "zone-b", {})
            await asyncio.sleep(0.2)
            place.fault(lose=True)
            running = asyncio.ensure_future(place.request("r"))
            await asyncio.sleep(0.05)
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.02)
            before = counted(place)
            await running
            return counted(place) == before

        self.assertTrue(self.play(body))

    def test_request_is_not_sent_over_a_connection_that_opens_late(self):
        """The zone is evacuated between the choice and the connection."""

        async def slow(home):
            link = await type(home).acquire(home, True)
            await asyncio.sleep(0.1)
            return link

        async def body(place):
            # Connections to these are not opened by a question before.
            for one in place.servers.values():
                one.tells_load = False
            await place.request("before")
            for entry in place.gateway.store_view.table.entries.values():
                home = place.gateway.pool_of(entry.server)
                home.acquire = lambda fresh=False, home=home: slow(home)
            running = asyncio.ensure_future(
                place.request("r", "/file/x", "POST")
            )
            await asyncio.sleep(0.05)
            for zone in ("zone-a", "zone-b"):
                place.store.put(KIND, zone, {})
            return (await running).status, place.ran("r")

        self.assertEqual((503, 0), self.play(body))

    def test_running_request_is_not_cut(self):
        async def body(place):
            for one in place.servers.values():
                one.work_s = 0.3
            running = asyncio.ensure_future(place.request("r"))
            await asyncio.sleep(0.1)
            for zone in ("zone-a", "zone-b"):
                place.store.put(KIND, zone, {})
            return (await running).status

        self.assertEqual(200, self.play(body))

    def test_entries_of_any_content_count(self):
        async def body(place):
            place.store.put(KIND, "zone-a", "\ud800")
            place.store.put(KIND, "zone-c", {"unknown": [1]})
            place.store.put(KIND, "", None)
            await asyncio.sleep(0.2)
            return sorted(place.gateway.store_view.evacuations.evacuated), (
                await self.ask_often(place, 5)
            )

        zones, statuses = self.play(body)
        self.assertIn("zone-a", zones)
        self.assertIn("zone-c", zones)
        self.assertEqual({200}, statuses)

    def test_lost_history_does_not_bring_a_zone_back(self):
        async def body(place):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            place.store.forget()
            place.store.put(KIND, "zone-b", {})
            place.store.remove(KIND, "zone-b")
            await asyncio.sleep(12)
            before = counted(place)
            await self.ask_often(place, 5)
            after = counted(place)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_outage_of_the_store_does_not_bring_a_zone_back(self):
        async def body(place):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.2)
            place.store.faults.down = True
            await asyncio.sleep(8)
            before = counted(place)
            await self.ask_often(place, 5)
            after = counted(place)
            return [name for name in before if before[name] != after[name]]

        self.assertEqual(["s2"], self.play(body))

    def test_daemon_that_does_not_know_the_zones_sends_nothing(self):
        async def body(place):
            place.store.put(KIND, "zone-a", {})
            handle = place.store.handle

            async def without_zones(request):
                if KIND in request.path:
                    await asyncio.sleep(3600)
                return await handle(request)

            place.http.handler = without_zones
            await place.start_gateway(name="d2")
            before = counted(place)
            answer = await place.request("r", "/file/x", "POST")
            ready = place.gateway.not_ready_reason()
            return answer.status, counted(place) == before, ready

        status, unasked, reason = self.play(body)
        self.assertEqual((503, True), (status, unasked))
        self.assertEqual("the evacuated zones are not known", reason)


class FleetTest(base.TestCase):
    def play(self, body):
        """Runs `body(world, asked, others)`."""

        async def whole():
            async with harness.GatewayHarness() as place:
                daemons = [place.gateway]
                for number, port in enumerate(PORTS):
                    await place.start_gateway(SEEDS, f"seed{number}", port)
                    daemons.append(place.gateway)
                for number in range(OTHERS):
                    await place.start_gateway(SEEDS, f"more{number}")
                    daemons.append(place.gateway)
                await asyncio.sleep(7)
                try:
                    return await body(place, daemons[1:4], daemons[4:])
                finally:
                    for one in daemons[:-1]:
                        one.listener.close()
                        await one.close()

        return self.run_paused(whole())

    def test_evacuation_is_in_force_everywhere_at_once(self):
        async def body(place, asked, others):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(0.5)
            return [
                one.store_view.evacuations.evacuated for one in asked + others
            ]

        wanted = [frozenset({"zone-a"})] * (len(PORTS) + OTHERS)
        self.assertEqual(wanted, self.play(body))

    def test_evacuation_is_in_force_although_the_first_is_frozen(self):
        async def body(place, asked, others):
            async def frozen(request):
                await asyncio.sleep(3600)

            place.controls[1].handler = frozen
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(BOUND_S - 1.5)
            return [
                one.store_view.evacuations.evacuated
                for one in asked[1:] + others
            ]

        wanted = [frozenset({"zone-a"})] * (len(PORTS) - 1 + OTHERS)
        self.assertEqual(wanted, self.play(body))

    def test_daemon_that_starts_without_the_store_learns_of_it(self):
        async def body(place, asked, others):
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(1)
            place.store.faults.down = True
            await place.start_gateway(SEEDS, "late")
            late = place.gateway
            others.append(late)
            await asyncio.sleep(2)
            return (
                late.store_view.evacuations.evacuated,
                late.not_ready_reason(),
            )

        self.assertEqual((frozenset({"zone-a"}), ""), self.play(body))

    def test_zones_add_calls_of_one_reader_only(self):
        async def body(place, asked, others):
            calls = [one.store_view.reader.calls.total() for one in others]
            place.store.put(KIND, "zone-a", {})
            await asyncio.sleep(10)
            return [
                one.store_view.reader.calls.total() - count
                for one, count in zip(others, calls, strict=True)
            ]

        self.assertEqual([0] * OTHERS, self.play(body))
