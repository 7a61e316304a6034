"""Tests of which daemons of a fleet call the store, and when."""

import asyncio

from banyantiller.gateway import peers
from banyantiller.store import interface
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
OTHERS = 8
# Kinds of objects that are followed; each may call a silent store once.
KINDS = ("config", "servers", "evacuations")
# Tries of a store that is lost for 20 s, by the kind that shows its return.
TRIES_OF_LOST_STORE = 5
# A call of each kind each 1.4 s, the age up to which others are relied on.
CALLS_IN_9_S = 7
NEW = [harness.route("new", "safe", "/new/")]


def calls(daemons):
    """Returns the calls of each daemon so far."""
    return [one.store_view.reader.calls.total() for one in daemons]


def cut_connections(place):
    """Cuts all connections of the store, also those that wait."""
    for task in place.http.connections.values():
        task.cancel()


async def silent(request):
    """Answers nothing, as a machine without power."""
    await asyncio.sleep(3600)


async def silent_for(place, away_s):
    """Lets the store lose its history and give no answer for a while."""
    place.store.faults.silent = True
    cut_connections(place)
    place.store.forget()
    await asyncio.sleep(away_s)
    place.store.faults.silent = False


def cut_off(daemon):
    """Lets no call of a daemon reach the store; it is told so at once."""

    async def unavailable(*arguments):
        return interface.Unavailable("cut off")

    daemon.store_view.reader.store.changes = unavailable
    daemon.store_view.reader.store.list = unavailable


class CallsTest(base.TestCase):
    def play(self, body, settle_s=7, **more):
        """Runs `body(world, asked, others)` on a fleet that just started."""

        async def whole():
            async with harness.GatewayHarness() as place:
                alone = place.gateway
                asked, others = [], []
                for number in range(OTHERS):
                    await place.start_gateway(SEEDS, f"more{number}", **more)
                    others.append(place.gateway)
                # Those that are asked listen a moment later.
                await asyncio.sleep(0.3)
                for number, port in enumerate(PORTS):
                    await place.start_gateway(
                        SEEDS, f"seed{number}", port, **more
                    )
                    asked.append(place.gateway)
                await asyncio.sleep(settle_s)
                try:
                    return await body(place, asked, others)
                finally:
                    place.gateway = alone
                    for one in asked + others:
                        one.listener.close()
                        await one.close()

        return self.run_paused(whole())

    def test_start_of_a_fleet_is_read_by_those_that_are_asked(self):
        async def body(place, asked, others):
            known = [one.store_view.complete.is_set() for one in others]
            return calls(others), all(known)

        self.assertEqual(([0] * OTHERS, True), self.play(body, settle_s=1))

    def test_caller_that_waits_is_not_kept_waiting_for_other_daemons(self):
        async def body(place, asked, others):
            nobody = tuple(f"{harness.ADDRESS}:{port}" for port in (7101, 7102))
            await place.start_gateway(nobody, "alone")
            answer = await place.request("a")
            asked.append(place.gateway)
            return answer.status, answer.took_s < 0.25

        self.assertEqual((200, True), self.play(body))

    def test_caller_is_served_at_once_if_others_are_silent(self):
        """After a power cut each of them is waited for in vain for 0.4 s."""

        async def body(place, asked, others):
            for control in place.controls[-len(PORTS) :]:
                control.handler = silent
            began = asyncio.get_running_loop().time()
            await place.start_gateway(SEEDS, "again")
            asked.append(place.gateway)
            status = (await place.request("a")).status
            return status, asyncio.get_running_loop().time() - began < 0.25

        self.assertEqual((200, True), self.play(body))

    def test_daemon_that_is_asked_reads_at_once_if_others_are_silent(self):
        async def body(place, asked, others):
            for control in place.controls[-len(PORTS) :]:
                control.handler = silent
            own = f"{harness.ADDRESS}:7101"
            await place.start_gateway((*SEEDS, own), "seed", 7101)
            asked.append(place.gateway)
            await asyncio.sleep(0.1)
            return place.gateway.not_ready()

        self.assertEqual("", self.play(body))

    def test_calm_fleet_is_read_for_by_one_daemon(self):
        async def body(place, asked, others):
            await asyncio.sleep(40)
            given_up = [
                one.store_view.reader.query_outcomes["given_up"]
                for one in others
            ]
            return calls(others), given_up

        nothing = [0] * OTHERS
        self.assertEqual((nothing, nothing), self.play(body))

    def test_lost_history_is_listed_once_for_all(self):
        async def body(place, asked, others):
            before = (
                calls(others),
                sum(one.store_view.reader.calls["list"] for one in asked),
            )
            await silent_for(place, 0.9)
            place.put_document(NEW)
            place.store.remove("servers", "s0")
            await asyncio.sleep(2)
            lists = sum(one.store_view.reader.calls["list"] for one in asked)
            versions = {one.store_view.version for one in asked + others}
            tables = {tuple(one.store_view.table.entries) for one in others}
            return (
                calls(others) == before[0],
                lists - before[1],
                versions,
                tables,
            )

        same, lists, versions, tables = self.play(
            body, apply_s=3.0, leave_s=3.0
        )
        self.assertTrue(same)
        # Two kinds, by each that is asked and read the store meanwhile.
        self.assertLessEqual(lists, 6)
        self.assertEqual(({4}, {("s1", "s2")}), (versions, tables))

    def test_daemon_that_starts_again_is_told_by_others(self):
        async def body(place, asked, others):
            await place.start_gateway(SEEDS, "again")
            again = place.gateway
            asked.append(again)
            await asyncio.sleep(0.1)
            return calls([again]), again.not_ready()

        self.assertEqual(([0], ""), self.play(body))

    def test_daemon_that_is_asked_and_dies_costs_the_others_no_calls(self):
        async def body(place, asked, others):
            async def frozen(request):
                await asyncio.sleep(3600)

            before = calls(others)
            place.controls[-2].handler = frozen
            await asyncio.sleep(1)
            place.put_document(NEW)
            await asyncio.sleep(1.9)
            known = {one.store_view.version for one in others}
            return calls(others) == before, known

        self.assertEqual((True, {4}), self.play(body))

    def test_change_is_known_although_all_that_are_asked_are_cut_off(self):
        for bound_s in (2.0, 3.0):

            async def body(place, asked, others, bound_s=bound_s):
                for one in asked:
                    cut_off(one)
                cut_connections(place)
                place.put_document(NEW)
                await asyncio.sleep(bound_s - 0.05)
                return {one.store_view.version for one in others}

            found = self.play(body, apply_s=bound_s, leave_s=bound_s)
            self.assertEqual({4}, found, bound_s)

    def test_all_kinds_are_known_although_all_that_are_asked_are_cut_off(self):
        async def body(place, asked, others):
            for one in asked:
                cut_off(one)
            cut_connections(place)
            # What was known is not known for fresh any more.
            await asyncio.sleep(6)
            place.register("s0", state="draining")
            place.store.put("evacuations", "zone-b", {})
            await asyncio.sleep(1.95)
            now = asyncio.get_running_loop().time()
            left = [
                one.store_view.table.entries["s0"].usable(now) for one in others
            ]
            await asyncio.sleep(3)
            zones = {one.store_view.evacuations.evacuated for one in others}
            return left, zones

        wanted = ([False] * OTHERS, {frozenset({"zone-b"})})
        self.assertEqual(wanted, self.play(body))

    def test_changes_in_series_cost_few_calls_if_all_asked_are_cut_off(self):
        async def body(place, asked, others):
            for one in asked:
                cut_off(one)
            cut_connections(place)
            before = calls(others)
            for number in range(36):
                place.put_document()
                place.register("s0", sequence=number, zone=f"z{number}")
                await asyncio.sleep(0.25)
            return max(
                now - then
                for now, then in zip(calls(others), before, strict=True)
            )

        self.assertLessEqual(self.play(body), len(KINDS) * CALLS_IN_9_S)

    def test_long_outage_takes_few_calls_and_its_end_is_seen(self):
        async def body(place, asked, others):
            before = calls(others)
            place.store.faults.silent = True
            cut_connections(place)
            await asyncio.sleep(20)
            spent = [
                now - then
                for now, then in zip(calls(others), before, strict=True)
            ]
            place.store.faults.silent = False
            place.put_document(NEW)
            await asyncio.sleep(2.6)
            return max(spent), {one.store_view.version for one in others}

        most, known = self.play(body)
        self.assertLessEqual(most, len(KINDS) + TRIES_OF_LOST_STORE)
        self.assertEqual({4}, known)

    def test_list_of_another_daemon_never_goes_back(self):
        async def body(place, asked, others):
            reader = others[0].store_view.reader
            listed = await reader.list("config")
            reader.min_versions["config"] = int(listed.version) + 1
            for one in asked:
                one.store_view.mirror.fresh_at = 1e9
            before = calls(others)[0]
            again = await reader.list("config")
            return again.relayed, calls(others)[0] - before

        self.assertEqual((False, 1), self.play(body))

    def test_list_that_is_too_old_is_taken_only_if_the_store_is_away(self):
        async def body(place, asked, others):
            reader = others[0].store_view.reader
            place.store.faults.down = True
            await asyncio.sleep(4)
            old = await reader.list("config")
            place.store.faults.down = False
            for one in asked:
                one.store_view.mirror.fresh_at = -100.0
            return old.relayed, (await reader.list("config")).relayed

        self.assertEqual((True, False), self.play(body))

    def test_refusals_tell_a_lost_store_from_a_daemon_that_ends(self):
        async def body(place, asked, others):
            peer = others[0].store_view.reader.relays[0]
            index = SEEDS.index(peer.address)
            place.store.faults.down = True
            await asyncio.sleep(3)
            lost = await peer.changes("config", "1", 0.0)
            asked[index].store_view.begin_shutdown()
            ending = await peer.changes("config", "1", 0.0)
            place.store.faults.down = False
            return lost.kind, ending.kind

        kinds = peers.RefusalKind
        wanted = (kinds.STORE_LOST, kinds.NOT_READY)
        self.assertEqual(wanted, self.play(body))
