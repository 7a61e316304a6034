"""Tests of a store that comes back from a copy some seconds old."""

import asyncio

from banyantiller.tests.gateway import change_harness, harness

# Changes that the copy lacks; each raises the revision of the store by one.
LOST_CHANGES = 40
OUTAGE_S = 2.6
# Outages of a series of restores; the first is over before calls time out.
OUTAGES_S = (0.05, 1.0, 2.6, 4.1)
MAX_LAG_S = 2.0
# Time after which what the copy lacks or holds in excess is taken for true.
SETTLE_S = 4.0
CHANGE_GAP_S = 0.4
CHANGES = 8


async def raise_revision(env, count):
    """Makes changes that no daemon reads."""
    for number in range(count):
        env.store.put("other", "unrelated", {"number": number})


async def lose_changes(env, outage_s=OUTAGE_S):
    """Brings the store back from a copy that lacks the last changes."""
    env.store.save_copy()
    await raise_revision(env, LOST_CHANGES)
    await asyncio.sleep(1.0)
    env.store.faults.reset = True
    await asyncio.sleep(outage_s)
    env.store.faults.reset = False
    env.store.restore()


class RestoredStoreTest(harness.TestCase):
    """Guards against comparing revisions from before a copy with later ones.

    The first relay listed the restored store at a lower revision than its
    subscribers knew, and sent them no change until it had grown beyond that.
    """

    def play_fleet(self, play):
        """Runs `play(env, fleet)` on relays and subscribers."""

        async def start(env, relays, subscribers):
            return await play(env, relays + subscribers)

        return self.run_paused(change_harness.run_fleet(start))

    def test_document_reaches_all_daemons_after_the_restore(self):
        async def play(env, fleet):
            await lose_changes(env)
            await asyncio.sleep(change_harness.SETTLE_S)
            late = []
            for _ in range(CHANGES):
                env.put_document()
                await asyncio.sleep(CHANGE_GAP_S)
                late += [
                    (one.settings.daemon, env.version)
                    for one in fleet
                    if one.store_view.version < env.version
                ]
            return late

        self.assertEqual([], self.play_fleet(play))

    def test_document_reaches_daemons_whose_revision_is_given_out_again(self):
        """The store does not tell them that their history is gone."""

        async def play(env, fleet):
            late = {}
            for outage_s in OUTAGES_S:
                await lose_changes(env, outage_s)
                env.put_document()
                await raise_revision(env, 2 * LOST_CHANGES)
                await asyncio.sleep(change_harness.SETTLE_S)
                late[outage_s] = [
                    one.settings.daemon
                    for one in fleet
                    if one.store_view.version < env.version
                ]
            return late

        expected = {outage_s: [] for outage_s in OUTAGES_S}
        self.assertEqual(expected, self.play_fleet(play))

    def test_new_route_is_served_after_the_restore(self):
        async def play(env, fleet):
            await lose_changes(env)
            await asyncio.sleep(change_harness.SETTLE_S)
            env.put_document([harness.route("new", "safe", "/new/")])
            await asyncio.sleep(MAX_LAG_S)
            statuses = []
            for number, one in enumerate(fleet):
                env.port = one.listener.sockets[0].getsockname()[1]
                answer = await env.request(f"r{number}", "/new/x")
                statuses.append(answer.status)
            return statuses

        self.assertEqual({200}, set(self.play_fleet(play)))

    def test_leaving_server_is_known_after_the_restore(self):
        async def play(env, fleet):
            await lose_changes(env)
            await asyncio.sleep(change_harness.SETTLE_S)
            env.register("s0", state="draining")
            await asyncio.sleep(MAX_LAG_S)
            return [
                one.settings.daemon
                for one in fleet
                if not one.store_view.table.entries["s0"].server.leaving
            ]

        self.assertEqual([], self.play_fleet(play))

    def test_evacuated_zone_is_known_after_the_restore(self):
        async def play(env, fleet):
            await lose_changes(env)
            await asyncio.sleep(change_harness.SETTLE_S)
            env.store.put("evacuations", "zone-a", {})
            await asyncio.sleep(MAX_LAG_S)
            return [
                one.settings.daemon
                for one in fleet
                if "zone-a" not in one.store_view.evacuations.evacuated
            ]

        self.assertEqual([], self.play_fleet(play))


class OlderCopyTest(harness.TestCase):
    """Guards against a fleet that goes back to what a copy holds.

    A copy may hold an older document than the one in force, until operators'
    changes are written again. A daemon that started then took the older one,
    and told callers of newer routes 404.
    """

    def play_restore(self, change, play):
        """Runs `play(env, fleet)` after a restore that lost a change.

        Args:
            change: Makes the change that the copy lacks.
            play: Runs after the restore.
        """

        async def start(env, relays, subscribers):
            env.store.save_copy()
            change(env)
            await asyncio.sleep(1.0)
            env.store.faults.reset = True
            await asyncio.sleep(OUTAGE_S)
            env.store.faults.reset = False
            env.store.restore()
            await asyncio.sleep(1.0)
            return await play(env, relays + subscribers)

        return self.run_paused(change_harness.run_fleet(start))

    def test_daemon_that_starts_has_the_newest_document(self):
        async def play(env, fleet):
            env.seed += 1
            await env.start_gateway(change_harness.SEEDS, "late")
            fleet.append(env.gateway)
            await asyncio.sleep(1.0)
            answer = await env.request("a", "/new/x")
            versions = {one.store_view.version for one in fleet}
            await env.gateway.close()
            return answer.status, versions == {env.version}

        def change(env):
            env.put_document([harness.route("new", "safe", "/new/")])

        self.assertEqual((200, True), self.play_restore(change, play))

    def test_missing_route_is_not_final_until_documents_are_written_again(self):
        """The store may have lost a document that no daemon had read."""

        async def play(env, fleet):
            env.port = fleet[-1].listener.sockets[0].getsockname()[1]
            early = await env.request("a", "/new/x")
            await asyncio.sleep(SETTLE_S)
            late = await env.request("b", "/new/x")
            return early.status, early.headers["request-ran"], late.status

        found = self.play_restore(lambda env: None, play)
        self.assertEqual((503, "no", 404), found)

    def test_zone_stays_evacuated_until_its_entry_is_written_again(self):
        async def play(env, fleet):
            kept = [one.store_view.evacuations.evacuated for one in fleet]
            env.store.put("evacuations", "zone-a", {})
            await asyncio.sleep(SETTLE_S)
            later = [one.store_view.evacuations.evacuated for one in fleet]
            return {*kept, *later}

        def change(env):
            env.store.put("evacuations", "zone-a", {})

        found = self.play_restore(change, play)
        self.assertEqual({frozenset({"zone-a"})}, found)

    def test_zone_is_given_back_if_its_entry_is_not_written_again(self):
        async def play(env, fleet):
            await asyncio.sleep(SETTLE_S)
            return {one.store_view.evacuations.evacuated for one in fleet}

        def change(env):
            env.store.put("evacuations", "zone-a", {})

        self.assertEqual({frozenset()}, self.play_restore(change, play))

    def test_server_that_left_gets_nothing_until_its_removal_is_repeated(self):
        """It does not announce its leaving; its entry is removed."""

        async def play(env, fleet):
            found = set(self.usable(fleet))
            env.store.remove("servers", "s0")
            await asyncio.sleep(SETTLE_S)
            return found | set(self.usable(fleet))

        def change(env):
            env.store.remove("servers", "s0")

        self.assertEqual({("s1", "s2")}, self.play_restore(change, play))

    def test_server_whose_removal_is_not_repeated_is_used_again(self):
        async def play(env, fleet):
            await asyncio.sleep(SETTLE_S)
            return set(self.usable(fleet))

        def change(env):
            env.store.remove("servers", "s0")

        self.assertEqual({("s0", "s1", "s2")}, self.play_restore(change, play))

    def test_server_that_joined_is_used_until_it_registers_again(self):
        async def play(env, fleet):
            found = set(self.usable(fleet))
            env.register("s0", service="orders", zone="zone-b")
            await asyncio.sleep(SETTLE_S)
            return found | set(self.usable(fleet))

        def change(env):
            env.store.copy[0]["servers"].pop("s0")

        self.assertEqual({("s0", "s1", "s2")}, self.play_restore(change, play))

    def usable(self, fleet):
        """Returns the servers that may get requests, for each daemon."""
        now = asyncio.get_running_loop().time()
        for one in fleet:
            entries = one.store_view.table.usable(harness.SERVICE, now)
            yield tuple(sorted(entry.server.instance for entry in entries))
