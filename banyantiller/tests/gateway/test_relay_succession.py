"""Tests of daemons that succeed relays which settings still name."""

import asyncio
import random

from banyantiller.gateway import relay_succession, relays
from banyantiller.tests import base
from banyantiller.tests.gateway import (
    crash_harness,
    harness,
    relay_harness,
    test_allowance_parts,
)

KEY = test_allowance_parts.KEY
# Time from the loss of all relays until their successors have taken over.
SUCCESSION_S = 6.0
FIRST = relay_harness.addresses(crash_harness.RELAY_PORTS)
OTHERS = relay_harness.addresses((7004, 7005, 7006))


class LostRelaysTest(base.TestCase):
    """Guards against a fleet whose settings name lost relays for good."""

    def play(self, body):
        return relay_harness.play(body)

    async def lose_relays(self, fleet):
        """Loses the relays, and waits until they are succeeded."""
        for port in crash_harness.RELAY_PORTS:
            await fleet.lose(port)
        await asyncio.sleep(SUCCESSION_S)

    def test_callers_of_organisations_with_an_allowance_are_served(self):
        async def body(fleet):
            organisation = {"name": "north", "apiKeys": [KEY]}
            organisation |= {"ratePerS": 50, "burst": 50}
            fleet.harness.put_document(organisations=[organisation])
            await asyncio.sleep(1.0)
            await self.lose_relays(fleet)
            statuses = []
            for index in range(200):
                daemons = list(fleet.running.values())
                reply = await fleet.send_request(
                    daemons[index % len(daemons)], credential=KEY
                )
                statuses.append(reply.status)
                await asyncio.sleep(0.03)
            return statuses

        self.assertEqual({200}, set(self.play(body)))

    def test_one_daemon_reads_the_store_for_the_others(self):
        async def body(fleet):
            await self.lose_relays(fleet)
            await asyncio.sleep(3.0)
            daemons = list(fleet.running.values())
            before = [one.adapter.store.calls.total() for one in daemons]
            await asyncio.sleep(20)
            after = [one.adapter.store.calls.total() for one in daemons]
            used = {one.relays.addresses for one in daemons}
            pairs = zip(after, before, strict=True)
            return used, [b - a for b, a in pairs]

        used, calls = self.play(body)
        self.assertEqual(1, len(used))
        self.assertEqual(set(), used & {FIRST})
        self.assertEqual(1, sum(count > 0 for count in calls), calls)

    def test_successors_that_are_lost_are_succeeded_again(self):
        async def body(fleet):
            await self.lose_relays(fleet)
            await asyncio.sleep(3.0)
            (used,) = {one.relays.addresses for one in fleet.running.values()}
            for port in [int(one.rpartition(":")[2]) for one in used]:
                await fleet.lose(port)
            await asyncio.sleep(SUCCESSION_S)
            return used, {
                one.relays.addresses for one in fleet.running.values()
            }

        used, (later,) = self.play(body)
        self.assertEqual(set(), set(used) & set(later))

    def test_relays_that_return_are_used_again(self):
        async def body(fleet):
            await self.lose_relays(fleet)
            await fleet.harness.start_gateway(FIRST, "again", 7001)
            fleet.running[7001] = fleet.harness.gateway
            fleet.daemons.append(fleet.harness.gateway)
            await asyncio.sleep(2.0)
            parts = {
                port: one.allowances.relay_grants.part.count
                for port, one in fleet.running.items()
            }
            return {one.relays.addresses for one in fleet.running.values()}, [
                port for port, count in parts.items() if count
            ]

        used, granting = self.play(body)
        self.assertEqual({FIRST}, used)
        self.assertEqual([7001], granting)

    def test_settings_that_name_other_relays_end_the_succession(self):
        async def body(fleet):
            await self.lose_relays(fleet)
            fleet.name_relays([7004, 7005, 7006])
            await asyncio.sleep(2.0)
            return {one.relays.addresses for one in fleet.running.values()}

        self.assertEqual({OTHERS}, self.play(body))

    def test_relay_that_is_lost_alone_is_not_succeeded(self):
        async def body(fleet):
            await fleet.lose(7001)
            await asyncio.sleep(SUCCESSION_S)
            return {one.relays.addresses for one in fleet.running.values()}

        self.assertEqual({FIRST}, self.play(body))

    def test_outage_of_the_store_is_no_loss_of_relays(self):
        async def body(fleet):
            fleet.harness.store.faults.down = True
            await asyncio.sleep(SUCCESSION_S)
            return {one.relays.addresses for one in fleet.running.values()}

        self.assertEqual({FIRST}, self.play(body))


class CutOffDaemonsTest(base.TestCase):
    """Guards against daemons that replace relays which others still use."""

    def check(self, own_address, replies):
        """Returns whether a daemon uses successors that reply so."""

        async def body():
            async with harness.GatewayHarness() as env:
                gateway = env.gateway
                gateway.relays.own_address = own_address
                gateway.relays.update(FIRST)
                gateway.relays.set_successors(OTHERS)
                succession = gateway.relay_succession

                async def silent(address):
                    return False

                async def reply(address):
                    return replies.get(address)

                succession.responds = silent
                succession.query_successor = reply
                await asyncio.sleep(5.0)
                return gateway.relays.uses_successors

        return self.run_paused(body())

    def reply(self, in_use=FIRST, lost_to=()):
        return relay_succession.UsedFields(
            in_use=list(in_use), lost_to=list(lost_to)
        )

    def test_successor_needs_most_successors_to_agree(self):
        first, second, third = OTHERS
        lost = self.reply(lost_to=OTHERS)
        cases = (
            ({}, False),
            ({second: self.reply(), third: self.reply()}, False),
            ({second: self.reply(lost_to=FIRST)}, False),
            ({second: lost}, True),
            ({second: self.reply(in_use=OTHERS)}, True),
        )
        for replies, expected in cases:
            self.assertEqual(expected, self.check(first, replies), replies)

    def test_settings_that_change_during_a_check_are_used(self):
        """The new relays respond, and the old ones did not."""

        async def body():
            async with harness.GatewayHarness() as env:
                gateway = env.gateway
                gateway.relays.update(FIRST)
                gateway.relays.set_successors(OTHERS)
                succession = gateway.relay_succession
                succession.silent_checks = 1

                async def silent(address):
                    return False

                async def change_settings(address):
                    gateway.relays.update(FIRST[:2])
                    return self.reply(in_use=OTHERS)

                for peer in gateway.relays.peers:
                    peer.skipped_until = asyncio.get_running_loop().time() + 9
                succession.reads_store = lambda: True
                succession.responds = silent
                succession.query_successor = change_settings
                await succession.check()
                return gateway.relays.addresses

        self.assertEqual(FIRST[:2], self.run_paused(body()))

    def test_other_daemon_waits_for_most_successors(self):
        first, second, third = OTHERS
        lost = self.reply(lost_to=OTHERS)
        used = self.reply(in_use=OTHERS)
        cases = (
            ({first: lost, second: lost, third: lost}, False),
            ({first: used, second: lost}, False),
            ({first: used, third: used}, True),
        )
        for replies, expected in cases:
            found = self.check("127.0.0.1:7009", replies)
            self.assertEqual(expected, found, replies)


class ChooseSuccessorsTest(base.TestCase):
    def test_successors_are_in_different_zones(self):
        zones = {f"10.0.0.{n}:1": f"zone-{n % 4}" for n in range(40)}
        chosen = relay_succession.choose_successors((), zones)
        self.assertEqual(3, len({zones[address] for address in chosen}))

    def test_successors_that_stay_are_kept(self):
        zones = {f"10.0.0.{n}:1": "zone" for n in range(9)}
        before = relay_succession.choose_successors((), zones)
        del zones[before[1]]
        after = relay_succession.choose_successors(before, zones)
        self.assertEqual(2, len(set(before) & set(after)))
        self.assertEqual(3, len(after))

    def test_single_daemon_is_no_successor(self):
        chosen = relay_succession.choose_successors((), {"10.0.0.1:1": "zone"})
        self.assertEqual((), chosen)

    def test_unreadable_addresses_are_ignored(self):
        async def body():
            rng = random.Random(1)
            fleet_relays = relays.Relays("d", "", FIRST, 1.0, rng)
            fleet_relays.set_successors(["nonsense"])
            return fleet_relays.successors

        self.assertEqual((), self.run_paused(body()))
