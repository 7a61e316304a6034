"""Tests of daemons that learn of the store from others."""

import asyncio

import structlog

from banyantiller.http import messages
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

NEW = [harness.route("new", "safe", "/new/")]


class MirrorTest(base.TestCase):
    def play(self, body):
        """Runs `body(world, first)`: a daemon that learns from `first`."""

        async def whole():
            async with harness.GatewayHarness() as place:
                first = place.gateway
                seed = f"{harness.ADDRESS}:{place.control.port}"
                place.first_seed = seed
                await place.start_gateway(seeds=(seed,))
                await asyncio.sleep(0.2)
                try:
                    return await body(place, first)
                finally:
                    first.listener.close()
                    await first.close()

        return self.run_paused(whole())

    def test_changes_come_from_the_other_daemon(self):
        async def body(place, first):
            await asyncio.sleep(5)
            before = dict(place.gateway.store_view.reader.calls)
            place.put_document(NEW)
            place.store.remove("servers", "s0")
            await asyncio.sleep(1)
            status = (await place.request("a", "/new/x")).status
            same = dict(place.gateway.store_view.reader.calls) == before
            return status, same, sorted(place.gateway.store_view.table.entries)

        self.assertEqual((200, True, ["s1", "s2"]), self.play(body))

    def test_log_tells_through_whom_a_change_came_and_after_what_age(self):
        async def body(place, first):
            await asyncio.sleep(5)
            with structlog.testing.capture_logs() as lines:
                place.put_document(NEW)
                await asyncio.sleep(0.2)
            found = [
                (line["through"], line["unconfirmed_ms"] < 2000)
                for line in lines
                if line["event"] == "gateway: document in force."
            ]
            return sorted(found) == sorted(
                [("store", True), (place.first_seed, True)]
            )

        self.assertTrue(self.play(body))

    def test_calls_to_the_store_hardly_grow_with_daemons(self):
        async def body(place, first):
            await asyncio.sleep(10)
            before = dict(place.gateway.store_view.reader.calls)
            await asyncio.sleep(30)
            return place.gateway.store_view.reader.calls["watch"] - before.get(
                "watch", 0
            )

        self.assertEqual(0, self.play(body))

    def test_change_is_in_force_although_the_other_daemon_is(self):
        async def frozen(request):
            await asyncio.sleep(3600)

        async def refusing(request):
            raise OSError

        for name, handler in (("frozen", frozen), ("refusing", refusing)):

            async def body(place, first, handler=handler):
                await asyncio.sleep(5)
                place.controls[0].handler = handler
                place.put_document(NEW)
                await asyncio.sleep(1.6)
                return (await place.request("a", "/new/x")).status

            self.assertEqual(200, self.play(body), name)

    def test_change_is_in_force_although_the_other_daemon_lost_the_store(self):
        async def body(place, first):
            await asyncio.sleep(5)
            user = first.adapter.store.http_client
            user.port = 1
            for link in user.idle:
                link.close()

            async def silent(*arguments, **more):
                await asyncio.sleep(more.get("timeout_s", arguments[2]))
                return await original(*arguments, **more)

            original = user.request
            user.request = silent
            place.put_document(NEW)
            await asyncio.sleep(1.9)
            return (await place.request("a", "/new/x")).status

        self.assertEqual(200, self.play(body))

    def test_draining_daemon_is_not_relied_on(self):
        async def body(place, first):
            await asyncio.sleep(5)
            first.draining = True
            first.store_view.begin_shutdown()
            place.put_document(NEW)
            await asyncio.sleep(0.1)
            return (await place.request("a", "/new/x")).status

        self.assertEqual(200, self.play(body))

    def test_large_document_takes_few_bytes_between_daemons(self):
        # 30 versions of 480 routes once took 32 MB between 14 daemons.
        many = [harness.route(f"r{n}", "safe", f"/p{n}/") for n in range(480)]

        async def body(place, first):
            await asyncio.sleep(5)
            since = first.store_view.mirror.histories["config"].version
            place.put_document(many)
            await asyncio.sleep(0.2)
            target = f"/mirror/config?since={since}&wait_ms=0&name=x"
            request = messages.Request("GET", target)
            answer = await first.store_view.mirror.handle(request)
            return len(answer.body), (
                await place.request("a", "/p479/x")
            ).status

        size, status = self.play(body)
        self.assertLess(size, 12_000)
        self.assertEqual(200, status)

    def test_daemon_that_is_asked_reads_the_store_itself(self):
        async def body(place, first):
            await asyncio.sleep(5)
            return (
                first.store_view.mirror.has_subscribers(),
                place.gateway.store_view.mirror.has_subscribers(),
            )

        self.assertEqual((True, False), self.play(body))

    def test_daemon_that_starts_into_an_outage_is_told_by_another(self):
        async def body(place, first):
            await asyncio.sleep(5)
            place.store.faults.down = True
            await asyncio.sleep(2)
            seed = place.first_seed
            second = place.gateway
            await place.start_gateway(seeds=(seed,))
            await asyncio.sleep(1)
            ready = place.gateway.not_ready()
            status = (await place.request("a")).status
            lost = place.gateway.store_view.store_health.lost_at is not None
            place.store.faults.down = False
            place.put_document(NEW)
            await asyncio.sleep(2.5)
            after = (await place.request("b", "/new/x")).status
            second.listener.close()
            await second.close()
            return ready, status, lost, after

        self.assertEqual(("", 200, True, 200), self.play(body))

    def test_parts_of_the_budget_add_up_over_daemons(self):
        async def body(place, first):
            seeds = (place.first_seed,)
            others = [place.gateway]
            for number in range(4):
                await place.start_gateway(seeds, f"more-{number}")
                others.append(place.gateway)
            await asyncio.sleep(6)
            shares = [
                one.store_view.reader.budget_share for one in [first, *others]
            ]
            for one in others[:-1]:
                one.listener.close()
                await one.close()
            return shares

        shares = self.play(body)
        self.assertEqual(6, len(shares))
        self.assertAlmostEqual(1.0, sum(shares))

    def test_daemon_that_starts_anew_has_no_part_for_a_window(self):
        """Else it would use again what it used before it was killed."""

        async def body(place, first):
            extras = []
            for _ in range(16):
                extras.append(place.gateway.budget_of("orders").extra)
                await asyncio.sleep(1)
            return extras

        extras = self.play(body)
        self.assertEqual([0.0] * 9, extras[:9])
        self.assertGreater(extras[-1], 100.0)

    def test_reloaded_settings_keep_what_was_used(self):
        async def body(place, first):
            await asyncio.sleep(15)
            used = place.gateway.budget_of("orders")
            while used.try_spend(0.0):
                pass
            fresh = place.gateway.settings._replace(retry_ratio=0.1)
            place.gateway.settings = fresh
            return place.gateway.budget_of("orders").try_spend(0.0)

        self.assertFalse(self.play(body))

    def test_daemon_that_could_not_count_yet_takes_no_part(self):
        async def body(place, first):
            await place.start_gateway(("127.0.0.1:1",), "alone")
            place.gateway, alone = first, place.gateway
            extra = alone.budget_of("orders").extra
            alone.listener.close()
            await alone.close()
            return extra

        self.assertEqual(0.0, self.play(body))

    def test_lost_store_gets_few_calls_and_its_return_is_seen(self):
        for fault in ("down", "reset", "silent"):
            for tenths in (80, 83, 87, 92, 96):

                async def body(place, first, fault=fault, away_s=tenths / 10):
                    await asyncio.sleep(5)
                    before = place.gateway.store_view.reader.calls.total()
                    setattr(place.store.faults, fault, True)
                    await asyncio.sleep(away_s)
                    calls = (
                        place.gateway.store_view.reader.calls.total() - before
                    )
                    setattr(place.store.faults, fault, False)
                    place.put_document(NEW)
                    await asyncio.sleep(2.6)
                    return calls, (await place.request("a", "/new/x")).status

                calls, status = self.play(body)
                self.assertEqual(200, status, (fault, tenths))
                self.assertLess(calls, 9, (fault, tenths))

    def test_question_that_makes_no_sense_is_refused(self):
        async def body(place, first):
            found = []
            targets = (
                "/mirror/none",
                "/mirror/config?since=x&wait_ms=1",
                "/mirror/none?since=1&wait_ms=1&name=x",
            )
            for target in targets:
                request = messages.Request("GET", target)
                found.append(
                    (await first.store_view.mirror.handle(request)).status
                )
            return found

        self.assertEqual([503, 400, 503], self.play(body))
