"""Tests of daemons that are asked and ask each other in one order."""

import asyncio

from banyantiller.http import server
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
NEW = [harness.route("new", "safe", "/new/")]


class OrderOfReadingTest(base.TestCase):
    def play(self, body):
        """Runs `body(world, daemons)`: three that are asked, and four more."""

        async def whole():
            async with harness.GatewayHarness() as place:
                daemons = [place.gateway]
                for number, port in enumerate(PORTS):
                    # Settings may list them in any order.
                    turned = SEEDS[number:] + SEEDS[:number]
                    await place.start_gateway(turned, f"seed{number}", port)
                    daemons.append(place.gateway)
                for number in range(4):
                    await place.start_gateway(SEEDS, f"more{number}")
                    daemons.append(place.gateway)
                await asyncio.sleep(7)
                try:
                    return await body(place, daemons[1:])
                finally:
                    for one in daemons[:-1]:
                        one.listener.close()
                        await one.close()

        return self.run_paused(whole())

    def test_only_the_first_reads_the_store(self):
        async def body(place, daemons):
            before = [one.store_view.reader.calls.total() for one in daemons]
            place.put_document(NEW)
            await asyncio.sleep(10)
            return [
                one.store_view.reader.calls.total() - count
                for one, count in zip(daemons, before, strict=True)
            ]

        calls = self.play(body)
        self.assertGreater(calls[0], 5)
        self.assertEqual([0] * 6, calls[1:])

    def test_change_passes_through_all_within_a_period(self):
        """The bound is 2 s; a series of changes is read every 0.8 s."""

        async def body(place, daemons):
            for number in range(40):
                place.register("s1", state=("ready", "draining")[number == 39])
                place.register("s2", port=5000 + number)
                await asyncio.sleep(0.13)
            await asyncio.sleep(0.9 - 0.13)
            tables = [one.store_view.table for one in daemons]
            return [table.entries["s1"].server.leaving for table in tables]

        self.assertEqual([True] * 7, self.play(body))

    def test_change_is_in_force_although_the_first_is_frozen(self):
        async def body(place, daemons):
            async def frozen(request):
                await asyncio.sleep(3600)

            place.controls[1].handler = frozen
            place.put_document(NEW)
            await asyncio.sleep(1.6)
            return [one.store_view.version for one in daemons[1:]]

        self.assertEqual([4] * 6, self.play(body))

    def test_change_is_in_force_although_the_first_lost_the_store(self):
        async def body(place, daemons):
            user = daemons[0].adapter.store.http_client
            original = user.request

            async def silent(*arguments):
                await asyncio.sleep(arguments[2])
                return await original(*arguments)

            user.port = 1
            for link in list(user.idle):
                link.close()
            user.request = silent
            place.put_document(NEW)
            await asyncio.sleep(1.9)
            return [one.store_view.version for one in daemons[1:]]

        self.assertEqual([4] * 6, self.play(body))

    def test_parts_of_the_budget_add_up(self):
        async def body(place, daemons):
            return [one.store_view.reader.budget_share for one in daemons]

        shares = self.play(body)
        self.assertAlmostEqual(1.0, sum(shares))
        self.assertGreater(min(shares), 0.0)

    def test_start_a_moment_before_the_others_takes_no_call(self):
        async def body(place, daemons):
            seed = f"{harness.ADDRESS}:7101"
            await place.start_gateway((seed,), "early")
            early = place.gateway
            await asyncio.sleep(0.5)
            await place.start_gateway((seed,), "late", 7101)
            late = place.gateway
            await asyncio.sleep(2)
            place.gateway = daemons[-1]
            calls = dict(early.store_view.reader.calls)
            told = early.store_view.reader.query_outcomes["answered"] > 0
            for one in (early, late):
                one.listener.close()
                await one.close()
            return calls, told

        self.assertEqual(({}, True), self.play(body))

    def test_start_before_all_others_takes_two_calls_of_each_kind(self):
        """One call lists, and one waits for changes."""

        async def body(place, daemons):
            nobody = tuple(f"{harness.ADDRESS}:{port}" for port in (7101, 7102))
            await place.start_gateway(nobody, "early")
            # Zones are read again when what is known of them is 3.5 s old.
            await asyncio.sleep(5)
            early = place.gateway
            place.gateway = daemons[-1]
            calls = dict(early.store_view.reader.calls)
            early.listener.close()
            await early.close()
            return calls

        self.assertEqual({"list": 3, "watch": 3}, self.play(body))

    def test_change_is_in_force_although_daemons_ask_in_a_circle(self):
        """Each knows the other under an address before its own."""

        async def body(place, daemons):
            address = harness.ADDRESS
            first = (f"{address}:7203", f"{address}:7202")
            await place.start_gateway(first, "x", 7203)
            x = place.gateway
            alias = server.HttpServer(x.store_view.mirror.handle)
            await alias.start(address, 7201)
            place.controls.append(alias)
            second = (f"{address}:7202", f"{address}:7201")
            await place.start_gateway(second, "y", 7202)
            y = place.gateway
            place.gateway = daemons[-1]
            seen = []
            for _ in range(6):
                await asyncio.sleep(2.3)
                place.put_document(NEW)
                await asyncio.sleep(1.95)
                seen += [
                    one.store_view.version == place.version for one in (x, y)
                ]
            for one in (x, y):
                one.listener.close()
                await one.close()
            return seen

        self.assertEqual([True] * 12, self.play(body))
