"""Tests of the relays that settings name, and of their replacement."""

import asyncio
import random

import structlog

from banyantiller.gateway import relays
from banyantiller.gateway import settings as options
from banyantiller.tests import base
from banyantiller.tests.gateway import crash_harness, harness, relay_harness

ADDRESSES = relay_harness.addresses(relay_harness.DAEMON_PORTS)
# Requests that may reach servers after they have crashed three, and these.
MAX_DEADLY_ARRIVALS = 6
# Settings that are read anew at each use.
FOLLOWED_SETTINGS = {
    "seeds",
    "drain_s",
    "retry_ratio",
    "retry_extra",
    "retry_window_s",
    "cold_tolerance",
    "allowance_window_s",
    "allowance_slack",
    "load_sharing",
    "link_mbps",
    "quarantine_s",
}


def make_relays(seeds, own_address="", seed=1):
    rng = random.Random(seed)
    return relays.Relays("d1", own_address, seeds, 1.0, rng)


class RelaysTest(base.TestCase):
    def check(self, body):
        """Runs `body()` in a loop, which connections need."""

        async def whole():
            return body()

        return self.run_paused(whole())

    def test_relay_that_stays_keeps_its_peer(self):
        def body():
            fleet_relays = make_relays(ADDRESSES[:3])
            before = {peer.address: peer for peer in fleet_relays.peers}
            fleet_relays.update(ADDRESSES[1:4])
            after = {peer.address: peer for peer in fleet_relays.peers}
            self.assertEqual(set(ADDRESSES[1:4]), set(after))
            for address in ADDRESSES[1:3]:
                self.assertIs(before[address], after[address])

        self.check(body)

    def test_new_relay_takes_the_place_of_a_removed_one(self):
        def body():
            fleet_relays = make_relays(ADDRESSES[:3])
            before = [peer.address for peer in fleet_relays.peers]
            fleet_relays.update([ADDRESSES[5], *ADDRESSES[1:3]])
            expected = [
                ADDRESSES[5] if one == ADDRESSES[0] else one for one in before
            ]
            self.assertEqual(
                expected, [peer.address for peer in fleet_relays.peers]
            )

        self.check(body)

    def test_daemon_that_becomes_a_relay_is_none_of_its_peers(self):
        def body():
            fleet_relays = make_relays(ADDRESSES[:3], ADDRESSES[4])
            changes = []
            fleet_relays.on_change.append(changes.append)
            self.assertFalse(fleet_relays.is_relay)
            fleet_relays.update(ADDRESSES[2:5])
            self.assertTrue(fleet_relays.is_relay)
            self.assertEqual(
                set(ADDRESSES[2:4]), {one.address for one in fleet_relays.peers}
            )
            self.assertEqual(
                [
                    relays.RelayChange(
                        frozenset(ADDRESSES[3:5]), frozenset(ADDRESSES[:2])
                    )
                ],
                changes,
            )
            # They don't share the budget of another relay's group.
            self.assertEqual({False}, {p.shares for p in fleet_relays.peers})

        self.check(body)

    def test_relays_stay_if_settings_name_none(self):
        def body():
            fleet_relays = make_relays(ADDRESSES[:3])
            with structlog.testing.capture_logs() as lines:
                fleet_relays.update(())
            self.assertEqual(ADDRESSES[:3], fleet_relays.addresses)
            self.assertEqual(
                ["gateway: settings name no relays."],
                [line["event"] for line in lines],
            )

        self.check(body)

    def test_relay_that_is_named_twice_counts_once(self):
        def body():
            fleet_relays = make_relays((*ADDRESSES[:3], ADDRESSES[0]))
            self.assertEqual(3, fleet_relays.count)
            self.assertEqual(3, len(fleet_relays.peers))

        self.check(body)


class ReloadedSettingsTest(base.TestCase):
    """Guards against a setting that a reload changes without effect."""

    def test_each_setting_is_followed_or_needs_a_restart(self):
        self.assertEqual(
            set(options.Settings._fields),
            FOLLOWED_SETTINGS | options.START_SETTINGS,
        )
        self.assertEqual(set(), FOLLOWED_SETTINGS & options.START_SETTINGS)

    def test_settings_that_need_a_restart_are_named(self):
        before = options.Settings("d", "z", "", "", "")
        after = before._replace(zone="y", retry_ratio=0.1, recovery_s=4.0)
        self.assertEqual(
            ["zone", "recovery_s"],
            options.changed_start_settings(before, after),
        )


class ReplacedRelaysTest(base.TestCase):
    """Guards against daemons that go on with the relays of their start."""

    def test_request_that_crashes_servers_is_stopped_by_all_daemons(self):
        async def body(fleet):
            await fleet.replace_relays()
            rng = random.Random(1)
            for _ in range(80):
                daemon = rng.choice(list(fleet.running.values()))
                fleet.start_task(
                    fleet.send_request(daemon, crash_harness.CRASHING_PATH)
                )
                await asyncio.sleep(0.25)
            return fleet.count_arrivals(crash_harness.CRASHING_PATH)

        self.assertLessEqual(relay_harness.play(body), MAX_DEADLY_ARRIVALS)

    def test_store_is_read_by_the_first_relay_alone(self):
        """Before, each daemon read it for itself for good."""

        async def body(fleet):
            await fleet.replace_relays()
            counts = [
                daemon.adapter.store.calls.total()
                for daemon in fleet.running.values()
            ]
            await asyncio.sleep(20)
            return [
                daemon.adapter.store.calls.total() - before
                for daemon, before in zip(
                    fleet.running.values(), counts, strict=True
                )
            ]

        more = relay_harness.play(body)
        self.assertEqual(1, sum(count > 0 for count in more), more)

    def test_daemons_count_each_other(self):
        async def body(fleet):
            await fleet.replace_relays()
            await asyncio.sleep(crash_harness.SETTLE_S)
            return [one.share() for one in fleet.running.values()]

        shares = relay_harness.play(body)
        self.assertGreater(min(shares), 0)
        self.assertLessEqual(sum(shares), 1)

    def test_all_relays_are_replaced_at_once(self):
        """Their records of crashed servers are lost with them."""

        async def body(fleet):
            for port in crash_harness.RELAY_PORTS:
                await fleet.lose(port)
            first, second, *_ = fleet.running.values()
            for daemon in (first, second):
                await fleet.send_request(daemon, crash_harness.CRASHING_PATH)
            await asyncio.sleep(relay_harness.SETTINGS_LAG_S)
            fleet.name_relays([7006, 7007, 7008])
            await asyncio.sleep(relay_harness.PAUSE_S)
            for daemon in list(fleet.running.values()) * 3:
                await fleet.send_request(daemon, crash_harness.CRASHING_PATH)
                await asyncio.sleep(0.5)
            return fleet.count_arrivals(crash_harness.CRASHING_PATH)

        self.assertLessEqual(relay_harness.play(body), MAX_DEADLY_ARRIVALS)

    def test_daemon_that_is_no_relay_any_more_goes_on_serving(self):
        async def body(fleet):
            fleet.name_relays([7004, 7005, 7006])
            await asyncio.sleep(relay_harness.PAUSE_S)
            fleet.harness.put_document([harness.route("new", "safe", "/new/")])
            await asyncio.sleep(2.0)
            return [
                (await fleet.send_request(one, "/new/x")).status
                for one in fleet.running.values()
            ]

        self.assertEqual({200}, set(relay_harness.play(body)))


class LimitsWithoutRelaysTest(base.TestCase):
    """Guards against a daemon that never learns that a limit has ended."""

    def play(self, body):
        """Runs `body(env)` with daemons that start without their relays."""

        async def whole():
            async with harness.GatewayHarness() as env:
                first = env.gateway
                fleet = []
                for number in range(2):
                    await env.start_gateway(ADDRESSES[:3], f"d{number}")
                    fleet.append(env.gateway)
                await asyncio.sleep(1.0)
                try:
                    return await body(env, fleet)
                finally:
                    env.gateway = first
                    for one in fleet:
                        one.listener.close()
                        await one.close()

        return self.run_paused(whole())

    async def call(self, env, fleet, for_s):
        """Sends ten requests a second; returns the share that was served."""
        statuses = []
        for number in range(int(for_s * 10)):
            daemon = fleet[number % len(fleet)]
            env.port = daemon.listener.sockets[0].getsockname()[1]
            statuses.append((await env.request(f"{number}")).status)
            await asyncio.sleep(0.1)
        return statuses.count(200) / len(statuses)

    def test_servers_whose_limits_have_ended_get_requests_again(self):
        async def body(env, fleet):
            for server in env.servers.values():
                server.limit = "5"
            limited = await self.call(env, fleet, 10)
            for server in env.servers.values():
                server.limit = ""
            await self.call(env, fleet, 15)
            return limited, await self.call(env, fleet, 5)

        limited, later = self.play(body)
        self.assertGreater(limited, 0)
        self.assertEqual(1.0, later)
