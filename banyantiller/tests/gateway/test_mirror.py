"""Tests of daemons that read the store through a relay."""

import asyncio

import structlog

from banyantiller.http import messages
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

NEW = [harness.route("new", "safe", "/new/")]


class MirrorTest(base.TestCase):
    def play(self, body):
        """Runs `body(env, relay)`, with a subscriber of `relay` as gateway."""

        async def whole():
            async with harness.GatewayHarness() as env:
                relay = env.gateway
                relay_address = f"{harness.ADDRESS}:{env.control.port}"
                env.relay_address = relay_address
                await env.start_gateway(seeds=(relay_address,))
                await asyncio.sleep(0.2)
                try:
                    return await body(env, relay)
                finally:
                    relay.listener.close()
                    await relay.close()

        return self.run_paused(whole())

    def test_changes_come_through_the_relay(self):
        async def body(env, relay):
            await asyncio.sleep(5)
            calls_before = dict(env.gateway.store_view.reader.calls)
            env.put_document(NEW)
            env.store.remove("servers", "s0")
            await asyncio.sleep(1)
            status = (await env.request("a", "/new/x")).status
            no_calls = dict(env.gateway.store_view.reader.calls) == calls_before
            return (
                status,
                no_calls,
                sorted(env.gateway.store_view.table.entries),
            )

        self.assertEqual((200, True, ["s1", "s2"]), self.play(body))

    def test_log_names_source_and_age_of_a_change(self):
        async def body(env, relay):
            await asyncio.sleep(5)
            with structlog.testing.capture_logs() as lines:
                env.put_document(NEW)
                await asyncio.sleep(0.2)
            sources = [
                (line["through"], line["unconfirmed_ms"] < 2000)
                for line in lines
                if line["event"] == "gateway: document in force."
            ]
            return sorted(sources) == sorted(
                [("store", True), (env.relay_address, True)]
            )

        self.assertTrue(self.play(body))

    def test_subscriber_makes_no_calls_to_the_store(self):
        async def body(env, relay):
            await asyncio.sleep(10)
            calls_before = dict(env.gateway.store_view.reader.calls)
            await asyncio.sleep(30)
            return env.gateway.store_view.reader.calls[
                "watch"
            ] - calls_before.get("watch", 0)

        self.assertEqual(0, self.play(body))

    def test_change_is_in_force_although_the_relay_is_unresponsive(self):
        async def frozen(request):
            await asyncio.sleep(3600)

        async def refusing(request):
            raise OSError

        for name, handler in (("frozen", frozen), ("refusing", refusing)):

            async def body(env, relay, handler=handler):
                await asyncio.sleep(5)
                env.controls[0].handler = handler
                env.put_document(NEW)
                await asyncio.sleep(1.6)
                return (await env.request("a", "/new/x")).status

            self.assertEqual(200, self.play(body), name)

    def test_change_is_in_force_although_the_relay_lost_the_store(self):
        async def body(env, relay):
            await asyncio.sleep(5)
            http_client = relay.adapter.store.http_client
            http_client.port = 1
            for connection in http_client.idle:
                connection.close()

            async def delayed_request(*arguments, **options):
                await asyncio.sleep(options.get("timeout_s", arguments[2]))
                return await original(*arguments, **options)

            original = http_client.request
            http_client.request = delayed_request
            env.put_document(NEW)
            await asyncio.sleep(1.9)
            return (await env.request("a", "/new/x")).status

        self.assertEqual(200, self.play(body))

    def test_draining_relay_is_not_relied_on(self):
        async def body(env, relay):
            await asyncio.sleep(5)
            relay.draining = True
            relay.store_view.begin_shutdown()
            env.put_document(NEW)
            await asyncio.sleep(0.1)
            return (await env.request("a", "/new/x")).status

        self.assertEqual(200, self.play(body))

    def test_large_document_takes_few_bytes_between_daemons(self):
        # Guards against large replies: 30 versions of 480 routes took 32 MB
        # between 14 daemons.
        routes = [harness.route(f"r{n}", "safe", f"/p{n}/") for n in range(480)]

        async def body(env, relay):
            await asyncio.sleep(5)
            since = relay.store_view.mirror.histories["config"].version
            env.put_document(routes)
            await asyncio.sleep(0.2)
            target = f"/mirror/v2/config?since={since}&wait_ms=0&name=x"
            request = messages.Request("GET", target)
            answer = await relay.store_view.mirror.handle(request)
            return len(answer.body), (await env.request("a", "/p479/x")).status

        size, status = self.play(body)
        self.assertLess(size, 12_000)
        self.assertEqual(200, status)

    def test_only_the_relay_has_subscribers(self):
        async def body(env, relay):
            await asyncio.sleep(5)
            return (
                relay.store_view.mirror.has_subscribers(),
                env.gateway.store_view.mirror.has_subscribers(),
            )

        self.assertEqual((True, False), self.play(body))

    def test_daemon_that_starts_in_an_outage_reads_through_the_relay(self):
        async def body(env, relay):
            await asyncio.sleep(5)
            env.store.faults.down = True
            await asyncio.sleep(2)
            relay_address = env.relay_address
            previous_subscriber = env.gateway
            await env.start_gateway(seeds=(relay_address,))
            await asyncio.sleep(1)
            ready = env.gateway.not_ready_reason()
            status = (await env.request("a")).status
            store_lost = env.gateway.store_view.store_health.lost_at is not None
            env.store.faults.down = False
            env.put_document(NEW)
            await asyncio.sleep(2.5)
            after = (await env.request("b", "/new/x")).status
            previous_subscriber.listener.close()
            await previous_subscriber.close()
            return ready, status, store_lost, after

        self.assertEqual(("", 200, True, 200), self.play(body))

    def test_budget_shares_of_daemons_add_up_to_one(self):
        async def body(env, relay):
            seeds = (env.relay_address,)
            subscribers = [env.gateway]
            for number in range(4):
                await env.start_gateway(seeds, f"more-{number}")
                subscribers.append(env.gateway)
            await asyncio.sleep(6)
            shares = [
                daemon.store_view.reader.budget_share
                for daemon in [relay, *subscribers]
            ]
            for daemon in subscribers[:-1]:
                daemon.listener.close()
                await daemon.close()
            return shares

        shares = self.play(body)
        self.assertEqual(6, len(shares))
        self.assertAlmostEqual(1.0, sum(shares))

    def test_restarted_daemon_has_no_retry_budget_for_a_window(self):
        """Else it would spend again what it spent before it was killed."""

        async def body(env, relay):
            extras = []
            for _ in range(16):
                extras.append(env.gateway.budget_of("orders").extra)
                await asyncio.sleep(1)
            return extras

        extras = self.play(body)
        self.assertEqual([0.0] * 9, extras[:9])
        self.assertGreater(extras[-1], 100.0)

    def test_reloaded_settings_keep_the_spent_budget(self):
        async def body(env, relay):
            await asyncio.sleep(15)
            budget = env.gateway.budget_of("orders")
            while budget.try_spend(0.0):
                pass
            reloaded = env.gateway.settings._replace(retry_ratio=0.1)
            env.gateway.settings = reloaded
            return env.gateway.budget_of("orders").try_spend(0.0)

        self.assertFalse(self.play(body))

    def test_daemon_that_cannot_count_others_has_no_budget(self):
        async def body(env, relay):
            await env.start_gateway(("127.0.0.1:1",), "alone")
            env.gateway, isolated = relay, env.gateway
            extra = isolated.budget_of("orders").extra
            isolated.listener.close()
            await isolated.close()
            return extra

        self.assertEqual(0.0, self.play(body))

    def test_lost_store_gets_few_calls_and_its_return_is_noticed(self):
        for fault in ("down", "reset", "silent"):
            for tenths in (80, 83, 87, 92, 96):

                async def body(env, relay, fault=fault, outage_s=tenths / 10):
                    await asyncio.sleep(5)
                    calls_before = env.gateway.store_view.reader.calls.total()
                    setattr(env.store.faults, fault, True)
                    await asyncio.sleep(outage_s)
                    calls = (
                        env.gateway.store_view.reader.calls.total()
                        - calls_before
                    )
                    setattr(env.store.faults, fault, False)
                    env.put_document(NEW)
                    await asyncio.sleep(2.6)
                    return calls, (await env.request("a", "/new/x")).status

                calls, status = self.play(body)
                self.assertEqual(200, status, (fault, tenths))
                self.assertLess(calls, 9, (fault, tenths))

    def test_malformed_query_is_rejected(self):
        async def body(env, relay):
            statuses = []
            targets = (
                "/mirror/v2/none",
                "/mirror/v2/config?since=x&wait_ms=1",
                "/mirror/v2/none?since=1&wait_ms=1&name=x",
            )
            for target in targets:
                request = messages.Request("GET", target)
                statuses.append(
                    (await relay.store_view.mirror.handle(request)).status
                )
            return statuses

        self.assertEqual([503, 400, 503], self.play(body))
