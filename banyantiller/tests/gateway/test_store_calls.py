"""Tests of which daemons of a fleet call the store, and when."""

import asyncio

from banyantiller.gateway import mirror, peers
from banyantiller.http import messages
from banyantiller.store import interface
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
SUBSCRIBERS = 8
# Kinds of objects that are watched; each may call an unresponsive store once.
KINDS = ("config", "servers", "evacuations")
# Calls to a store that is lost for 20 s, by the watcher that retries it: one
# every 2.4 s, as its return has to be noticed within 3 s.
RETRIES_OF_LOST_STORE = 9
# One call of each kind every 1.4 s, the age up to which relays are relied on.
CALLS_IN_9_S = 7
NEW = [harness.route("new", "safe", "/new/")]


def count_calls(daemons):
    """Returns the number of store calls of each daemon so far."""
    return [daemon.store_view.reader.calls.total() for daemon in daemons]


def close_store_connections(env):
    """Closes all connections of the store, also those of waiting calls."""
    for task in env.http.connections.values():
        task.cancel()


async def never_respond(request):
    """Gives no response, like a machine without power."""
    await asyncio.sleep(3600)


async def make_store_unresponsive(env, outage_s):
    """Makes the store lose its history and give no response for a while."""
    env.store.faults.silent = True
    close_store_connections(env)
    env.store.forget()
    await asyncio.sleep(outage_s)
    env.store.faults.silent = False


def disconnect_from_store(daemon):
    """Makes all store calls of a daemon fail at once."""

    async def unavailable(*arguments):
        return interface.Unavailable("cut off")

    daemon.store_view.reader.store.changes = unavailable
    daemon.store_view.reader.store.list = unavailable


class StoreCallsTest(base.TestCase):
    def play(self, body, settle_s=7, **settings):
        """Runs `body(env, relays, subscribers)` on a fleet that starts."""

        async def whole():
            async with harness.GatewayHarness() as env:
                initial_gateway = env.gateway
                relays, subscribers = [], []
                for number in range(SUBSCRIBERS):
                    await env.start_gateway(SEEDS, f"more{number}", **settings)
                    subscribers.append(env.gateway)
                # The relays listen a moment later.
                await asyncio.sleep(0.3)
                for number, port in enumerate(PORTS):
                    await env.start_gateway(
                        SEEDS, f"seed{number}", port, **settings
                    )
                    relays.append(env.gateway)
                await asyncio.sleep(settle_s)
                try:
                    return await body(env, relays, subscribers)
                finally:
                    env.gateway = initial_gateway
                    for daemon in relays + subscribers:
                        daemon.listener.close()
                        await daemon.close()

        return self.run_paused(whole())

    def test_only_relays_read_the_store_at_the_start_of_a_fleet(self):
        async def body(env, relays, subscribers):
            complete = [
                daemon.store_view.complete.is_set() for daemon in subscribers
            ]
            return count_calls(subscribers), all(complete)

        self.assertEqual(([0] * SUBSCRIBERS, True), self.play(body, settle_s=1))

    def test_caller_does_not_wait_for_absent_relays(self):
        async def body(env, relays, subscribers):
            absent_seeds = tuple(
                f"{harness.ADDRESS}:{port}" for port in (7101, 7102)
            )
            await env.start_gateway(absent_seeds, "alone")
            answer = await env.request("a")
            relays.append(env.gateway)
            return answer.status, answer.took_s < 0.25

        self.assertEqual((200, True), self.play(body))

    def test_caller_is_served_at_once_if_relays_are_unresponsive(self):
        """After a power cut a query to each of them takes 0.4 s in vain."""

        async def body(env, relays, subscribers):
            for control in env.controls[-len(PORTS) :]:
                control.handler = never_respond
            started_at = asyncio.get_running_loop().time()
            await env.start_gateway(SEEDS, "again")
            relays.append(env.gateway)
            status = (await env.request("a")).status
            return status, asyncio.get_running_loop().time() - started_at < 0.25

        self.assertEqual((200, True), self.play(body))

    def test_relay_reads_the_store_at_once_if_others_are_unresponsive(self):
        async def body(env, relays, subscribers):
            for control in env.controls[-len(PORTS) :]:
                control.handler = never_respond
            local_address = f"{harness.ADDRESS}:7101"
            await env.start_gateway((*SEEDS, local_address), "seed", 7101)
            relays.append(env.gateway)
            await asyncio.sleep(0.1)
            return env.gateway.not_ready_reason()

        self.assertEqual("", self.play(body))

    def test_subscribers_of_a_healthy_fleet_make_no_calls(self):
        async def body(env, relays, subscribers):
            await asyncio.sleep(40)
            given_up = [
                daemon.store_view.reader.query_outcomes["given_up"]
                for daemon in subscribers
            ]
            return count_calls(subscribers), given_up

        nothing = [0] * SUBSCRIBERS
        self.assertEqual((nothing, nothing), self.play(body))

    def test_lost_history_is_listed_by_relays_only(self):
        async def body(env, relays, subscribers):
            calls_before = (
                count_calls(subscribers),
                sum(
                    daemon.store_view.reader.calls["list"] for daemon in relays
                ),
            )
            await make_store_unresponsive(env, 0.9)
            env.put_document(NEW)
            env.store.remove("servers", "s0")
            await asyncio.sleep(2)
            lists = sum(
                daemon.store_view.reader.calls["list"] for daemon in relays
            )
            versions = {
                daemon.store_view.version for daemon in relays + subscribers
            }
            tables = {
                tuple(daemon.store_view.table.entries) for daemon in subscribers
            }
            return (
                count_calls(subscribers) == calls_before[0],
                lists - calls_before[1],
                versions,
                tables,
            )

        no_calls, lists, versions, tables = self.play(
            body, apply_s=3.0, leave_s=3.0
        )
        self.assertTrue(no_calls)
        # Two kinds, by each relay that read the store meanwhile.
        self.assertLessEqual(lists, 6)
        self.assertEqual(({4}, {("s1", "s2")}), (versions, tables))

    def test_restarted_daemon_reads_through_relays(self):
        async def body(env, relays, subscribers):
            await env.start_gateway(SEEDS, "again")
            restarted = env.gateway
            relays.append(restarted)
            await asyncio.sleep(0.1)
            return count_calls([restarted]), restarted.not_ready_reason()

        self.assertEqual(([0], ""), self.play(body))

    def test_frozen_relay_costs_subscribers_no_calls(self):
        async def body(env, relays, subscribers):
            async def frozen(request):
                await asyncio.sleep(3600)

            calls_before = count_calls(subscribers)
            env.controls[-2].handler = frozen
            await asyncio.sleep(1)
            env.put_document(NEW)
            await asyncio.sleep(1.9)
            versions = {daemon.store_view.version for daemon in subscribers}
            return count_calls(subscribers) == calls_before, versions

        self.assertEqual((True, {4}), self.play(body))

    def test_change_is_in_force_although_all_relays_lost_the_store(self):
        for bound_s in (2.0, 3.0):

            async def body(env, relays, subscribers, bound_s=bound_s):
                for daemon in relays:
                    disconnect_from_store(daemon)
                close_store_connections(env)
                env.put_document(NEW)
                await asyncio.sleep(bound_s - 0.05)
                return {daemon.store_view.version for daemon in subscribers}

            versions = self.play(body, apply_s=bound_s, leave_s=bound_s)
            self.assertEqual({4}, versions, bound_s)

    def test_all_kinds_are_read_although_all_relays_lost_the_store(self):
        async def body(env, relays, subscribers):
            for daemon in relays:
                disconnect_from_store(daemon)
            close_store_connections(env)
            # The cached state is no longer fresh after that.
            await asyncio.sleep(6)
            env.register("s0", state="draining")
            env.store.put("evacuations", "zone-b", {})
            await asyncio.sleep(1.95)
            now = asyncio.get_running_loop().time()
            left = [
                daemon.store_view.table.entries["s0"].usable(now)
                for daemon in subscribers
            ]
            await asyncio.sleep(3)
            zones = {
                daemon.store_view.evacuations.evacuated
                for daemon in subscribers
            }
            return left, zones

        expected = ([False] * SUBSCRIBERS, {frozenset({"zone-b"})})
        self.assertEqual(expected, self.play(body))

    def test_series_of_changes_takes_few_calls_if_all_relays_lost_the_store(
        self,
    ):
        async def body(env, relays, subscribers):
            for daemon in relays:
                disconnect_from_store(daemon)
            close_store_connections(env)
            calls_before = count_calls(subscribers)
            for number in range(36):
                env.put_document()
                env.register("s0", sequence=number, zone=f"z{number}")
                await asyncio.sleep(0.25)
            return max(
                now - then
                for now, then in zip(
                    count_calls(subscribers), calls_before, strict=True
                )
            )

        self.assertLessEqual(self.play(body), len(KINDS) * CALLS_IN_9_S)

    def test_long_outage_takes_few_calls_and_its_end_is_noticed(self):
        async def body(env, relays, subscribers):
            calls_before = count_calls(subscribers)
            env.store.faults.silent = True
            close_store_connections(env)
            await asyncio.sleep(20)
            spent = [
                now - then
                for now, then in zip(
                    count_calls(subscribers), calls_before, strict=True
                )
            ]
            env.store.faults.silent = False
            env.put_document(NEW)
            await asyncio.sleep(2.6)
            return max(spent), {
                daemon.store_view.version for daemon in subscribers
            }

        max_calls, versions = self.play(body)
        self.assertLessEqual(max_calls, len(KINDS) + RETRIES_OF_LOST_STORE)
        self.assertEqual({4}, versions)

    def test_older_list_of_a_relay_is_not_used(self):
        async def body(env, relays, subscribers):
            reader = subscribers[0].store_view.reader
            listed = await reader.list("config")
            reader.min_versions["config"] = int(listed.version) + 1
            for daemon in relays:
                daemon.store_view.mirror.fresh_at = 1e9
            before = count_calls(subscribers)[0]
            reread = await reader.list("config")
            return reread.relayed, count_calls(subscribers)[0] - before

        self.assertEqual((False, 1), self.play(body))

    def test_list_that_ends_where_changes_are_gone_is_not_used(self):
        """Otherwise the daemon lists again and again at the same version.

        A relay that kept the difference of two lists can't serve versions in
        between, and another relay's list may end at one of them.
        """

        async def body(env, relays, subscribers):
            reader = subscribers[0].store_view.reader
            listed = await reader.list("config")

            def serve_lists_only(relay):
                handle = relay.store_view.mirror.handle

                async def serve(request):
                    if "since" in request.query:
                        return messages.Response(mirror.GONE_STATUS)
                    return await handle(request)

                relay.store_view.mirror.handle = serve

            for relay in relays:
                serve_lists_only(relay)
            outcome = await reader.changes("config", listed.version, 1.0)
            relisted = await reader.list("config")
            return outcome, relisted.relayed

        self.assertEqual((interface.Gone(), False), self.play(body))

    def test_stale_list_is_used_only_if_the_store_is_down(self):
        async def body(env, relays, subscribers):
            reader = subscribers[0].store_view.reader
            env.store.faults.down = True
            await asyncio.sleep(4)
            old = await reader.list("config")
            env.store.faults.down = False
            for daemon in relays:
                daemon.store_view.mirror.fresh_at = -100.0
            return old.relayed, (await reader.list("config")).relayed

        self.assertEqual((True, False), self.play(body))

    def test_refusals_distinguish_a_lost_store_from_a_shutdown(self):
        async def body(env, relays, subscribers):
            peer = subscribers[0].relays.peers[0]
            index = SEEDS.index(peer.address)
            env.store.faults.down = True
            await asyncio.sleep(3)
            store_lost = await peer.changes("config", "1", 0.0)
            relays[index].store_view.begin_shutdown()
            shutting_down = await peer.changes("config", "1", 0.0)
            env.store.faults.down = False
            return store_lost.refusal_kind, shutting_down.refusal_kind

        kinds = peers.RefusalKind
        expected = (kinds.STORE_LOST, kinds.NOT_READY)
        self.assertEqual(expected, self.play(body))
