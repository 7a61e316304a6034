"""Tests that a call lost in a short silence of the store hides no change."""

import asyncio

from banyantiller.tests.gateway import change_harness, harness

# The store gives no response for so long, which is shorter than a call waits.
SILENCE_S = 0.8
# A silence in which the calls of one kind lose a response, and others none.
SHORT_SILENCE_S = 0.2
# Time within which a zone is evacuated, and a leaving server gets no requests.
EVACUATE_S = 5.0
LEAVE_S = 2.0
# Relays lose the store for so long beyond an outage of it.
RELAYS_CUT_S = 8.0
# Lengths of outages, of which some end just after a daemon's retry.
OUTAGES_S = (3.0, 4.5, 6.0, 6.5, 8.0)
# Time after the silence from which bounds hold again.
CONTACT_S = 3.0
# Time in which a change has to be in force, in seconds.
MAX_LAG_S = 2.0
CHANGE_GAP_S = 0.3
STEP_S = 0.05
# For how long daemons are observed after `CONTACT_S`.
OBSERVED_S = 3.0
# Begins of the silence, relative to calls that take turns within seconds.
OFFSETS_S = tuple(tenths / 10 for tenths in range(0, 36, 3))
# The same for a call for a kind that changes rarely.
RARE_OFFSETS_S = tuple(quarters / 4 for quarters in range(16))


class Observer:
    """Changes documents, servers and zones, and checks who knows of it.

    Attributes:
        env: Harness with the store.
        daemons: Daemons that are observed.
        changes: Times at which documents were written, and their versions.
        late: Names of daemons that missed a change for too long.
    """

    def __init__(self, env, daemons):
        self.env = env
        self.daemons = daemons
        self.changes = []
        self.late = set()
        self.loop = asyncio.get_running_loop()

    async def change_documents(self, until):
        """Writes documents at intervals until a loop time."""
        while self.loop.time() < until:
            self.env.put_document()
            self.changes.append((self.loop.time(), self.env.version))
            await asyncio.sleep(CHANGE_GAP_S)

    async def observe(self, until):
        """Checks the documents of all daemons until a loop time."""
        while self.loop.time() < until:
            settled_at = self.loop.time() - MAX_LAG_S
            due = max(v for at, v in self.changes if at <= settled_at)
            self.late |= {
                one.settings.daemon
                for one in self.daemons
                if one.store_view.version < due
            }
            await asyncio.sleep(STEP_S)


def disturb(relays, fault, until):
    """Injects a fault into relays until a loop time."""
    for relay in relays:
        change_harness.FaultyDaemon(relay, fault, until, late_s=0.0)


class ShortSilenceTest(harness.TestCase):
    """Guards against calls that wait on after their response was lost.

    Daemons whose relays were away read the store themselves. A silence lost
    the response to a call, and the call ended too long after the silence.
    """

    def play_silence(self, offset_s):
        async def play(env, relays, subscribers):
            loop = asyncio.get_running_loop()
            disturb(relays, "unresponsive", harness.NEVER_S)
            observer = Observer(env, subscribers)
            began = loop.time() + change_harness.SETTLE_S + offset_s
            until = began + SILENCE_S + CONTACT_S
            # The first change is the one whose response is lost.
            await asyncio.sleep(began - loop.time())
            env.store.faults.silent = True
            changing = asyncio.ensure_future(
                observer.change_documents(until + OBSERVED_S)
            )
            await asyncio.sleep(SILENCE_S)
            env.store.faults.silent = False
            await asyncio.sleep(until - loop.time())
            await observer.observe(until + OBSERVED_S)
            await changing
            return observer.late

        return self.run_paused(change_harness.run_fleet(play))

    def test_document_is_in_force_although_a_response_was_lost(self):
        late = {
            offset_s: found
            for offset_s in OFFSETS_S
            if (found := self.play_silence(offset_s))
        }
        self.assertEqual({}, late)

    def play_single_change(self, put, is_known, bound_s):
        """Returns the offsets at which a change in a silence is late.

        Args:
            put: Writes the change.
            is_known: Returns whether a daemon knows of it.
            bound_s: Time within which it has to be known, in seconds.
        """

        async def play(env, relays, subscribers):
            await asyncio.sleep(offset_s)
            env.store.faults.silent = True
            await asyncio.sleep(SHORT_SILENCE_S / 2)
            put(env)
            await asyncio.sleep(SHORT_SILENCE_S / 2)
            env.store.faults.silent = False
            await asyncio.sleep(max(CONTACT_S, bound_s - SHORT_SILENCE_S / 2))
            fleet = relays + subscribers
            return [one.settings.daemon for one in fleet if not is_known(one)]

        found = {}
        for offset_s in RARE_OFFSETS_S:
            late = self.run_paused(change_harness.run_fleet(play))
            if late:
                found[offset_s] = late
        return found

    def test_zone_is_evacuated_although_a_response_was_lost(self):
        late = self.play_single_change(
            lambda env: env.store.put("evacuations", "zone-a", {}),
            lambda one: "zone-a" in one.store_view.evacuations.evacuated,
            EVACUATE_S,
        )
        self.assertEqual({}, late)

    def test_leaving_server_is_known_although_a_response_was_lost(self):
        late = self.play_single_change(
            lambda env: env.register("s0", state="draining"),
            lambda one: one.store_view.table.entries["s0"].server.leaving,
            LEAVE_S,
        )
        self.assertEqual({}, late)


class LongOutageTest(harness.TestCase):
    """Guards against retries that are too rare after an outage.

    All daemons lost the store. When it was back, the relays were still cut off
    from it, and the others tried it again seconds later.
    """

    def play_outage(self, outage_s):
        async def play(env, relays, subscribers):
            loop = asyncio.get_running_loop()
            observer = Observer(env, subscribers)
            until = loop.time() + outage_s + CONTACT_S
            env.store.faults.down = True
            disturb(relays, "rejected_by_store", until + RELAYS_CUT_S)
            await asyncio.sleep(outage_s)
            env.store.faults.down = False
            changing = asyncio.ensure_future(
                observer.change_documents(until + OBSERVED_S)
            )
            await asyncio.sleep(until - loop.time())
            await observer.observe(until + OBSERVED_S)
            await changing
            return observer.late

        return self.run_paused(change_harness.run_fleet(play))

    def test_document_is_in_force_although_relays_stay_cut_off(self):
        late = {
            outage_s: found
            for outage_s in OUTAGES_S
            if (found := self.play_outage(outage_s))
        }
        self.assertEqual({}, late)
