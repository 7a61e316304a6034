"""Tests of relays that query each other in the order of addresses."""

import asyncio

from banyantiller.http import server
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
NEW = [harness.route("new", "safe", "/new/")]


class ReadOrderTest(base.TestCase):
    def play(self, body):
        """Runs `body(env, daemons)` with three relays and four subscribers."""

        async def whole():
            async with harness.GatewayHarness() as env:
                daemons = [env.gateway]
                for number, port in enumerate(PORTS):
                    # Settings may list the relays in any order.
                    rotated_seeds = SEEDS[number:] + SEEDS[:number]
                    await env.start_gateway(
                        rotated_seeds, f"seed{number}", port
                    )
                    daemons.append(env.gateway)
                for number in range(4):
                    await env.start_gateway(SEEDS, f"more{number}")
                    daemons.append(env.gateway)
                await asyncio.sleep(7)
                try:
                    return await body(env, daemons[1:])
                finally:
                    for daemon in daemons[:-1]:
                        daemon.listener.close()
                        await daemon.close()

        return self.run_paused(whole())

    def test_only_the_first_relay_reads_the_store(self):
        async def body(env, daemons):
            calls_before = [
                daemon.store_view.reader.calls.total() for daemon in daemons
            ]
            env.put_document(NEW)
            await asyncio.sleep(10)
            return [
                daemon.store_view.reader.calls.total() - count
                for daemon, count in zip(daemons, calls_before, strict=True)
            ]

        calls = self.play(body)
        self.assertGreater(calls[0], 5)
        self.assertEqual([0] * 6, calls[1:])

    def test_change_reaches_all_daemons_within_a_period(self):
        """The bound is 2 s; a series of changes is read every 0.8 s."""

        async def body(env, daemons):
            for number in range(40):
                env.register("s1", state=("ready", "draining")[number == 39])
                env.register("s2", port=5000 + number)
                await asyncio.sleep(0.13)
            await asyncio.sleep(0.9 - 0.13)
            tables = [daemon.store_view.table for daemon in daemons]
            return [table.entries["s1"].server.leaving for table in tables]

        self.assertEqual([True] * 7, self.play(body))

    def test_change_is_in_force_although_the_first_relay_is_frozen(self):
        async def body(env, daemons):
            async def frozen(request):
                await asyncio.sleep(3600)

            env.controls[1].handler = frozen
            env.put_document(NEW)
            await asyncio.sleep(1.6)
            return [daemon.store_view.version for daemon in daemons[1:]]

        self.assertEqual([4] * 6, self.play(body))

    def test_change_is_in_force_although_the_first_relay_lost_the_store(self):
        async def body(env, daemons):
            http_client = daemons[0].adapter.store.http_client
            original = http_client.request

            async def delayed_request(*arguments):
                await asyncio.sleep(arguments[2])
                return await original(*arguments)

            http_client.port = 1
            for connection in list(http_client.idle):
                connection.close()
            http_client.request = delayed_request
            env.put_document(NEW)
            await asyncio.sleep(1.9)
            return [daemon.store_view.version for daemon in daemons[1:]]

        self.assertEqual([4] * 6, self.play(body))

    def test_budget_shares_add_up_to_one(self):
        async def body(env, daemons):
            return [daemon.store_view.reader.budget_share for daemon in daemons]

        shares = self.play(body)
        self.assertAlmostEqual(1.0, sum(shares))
        self.assertGreater(min(shares), 0.0)

    def test_start_shortly_before_the_relay_takes_no_call(self):
        async def body(env, daemons):
            seed = f"{harness.ADDRESS}:7101"
            await env.start_gateway((seed,), "early")
            early = env.gateway
            await asyncio.sleep(0.5)
            await env.start_gateway((seed,), "late", 7101)
            late = env.gateway
            await asyncio.sleep(2)
            env.gateway = daemons[-1]
            calls = dict(early.store_view.reader.calls)
            answered = early.store_view.reader.query_outcomes["answered"] > 0
            for daemon in (early, late):
                daemon.listener.close()
                await daemon.close()
            return calls, answered

        self.assertEqual(({}, True), self.play(body))

    def test_start_without_relays_takes_two_calls_of_each_kind(self):
        """One call lists, and one waits for changes."""

        async def body(env, daemons):
            absent_seeds = tuple(
                f"{harness.ADDRESS}:{port}" for port in (7101, 7102)
            )
            await env.start_gateway(absent_seeds, "early")
            # Zones are read again when their state is 3.5 s old. A call for
            # changes waits for 1.8 s, so a third one of a kind begins later.
            await asyncio.sleep(3.51)
            early = env.gateway
            env.gateway = daemons[-1]
            calls = dict(early.store_view.reader.calls)
            early.listener.close()
            await early.close()
            return calls

        self.assertEqual({"list": 3, "watch": 3}, self.play(body))

    def test_change_is_in_force_although_relays_query_in_a_circle(self):
        """Each relay has the other listed with an address before its own."""

        async def body(env, daemons):
            address = harness.ADDRESS
            x_seeds = (f"{address}:7203", f"{address}:7202")
            await env.start_gateway(x_seeds, "x", 7203)
            x = env.gateway
            alias = server.HttpServer(x.store_view.mirror.handle)
            await alias.start(address, 7201)
            env.controls.append(alias)
            y_seeds = (f"{address}:7202", f"{address}:7201")
            await env.start_gateway(y_seeds, "y", 7202)
            y = env.gateway
            env.gateway = daemons[-1]
            in_force = []
            for _ in range(6):
                await asyncio.sleep(2.3)
                env.put_document(NEW)
                await asyncio.sleep(1.95)
                in_force += [
                    daemon.store_view.version == env.version
                    for daemon in (x, y)
                ]
            for daemon in (x, y):
                daemon.listener.close()
                await daemon.close()
            return in_force

        self.assertEqual([True] * 12, self.play(body))
