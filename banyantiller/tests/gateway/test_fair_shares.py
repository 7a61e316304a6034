"""Tests of organisations that share a service short of capacity.

Load pattern: 84 organisations, one of which sends 3 to 7 times its usual rate,
still below its allowance, for 12 s. The servers, half used before, are then
slower, as more than 0.8 of their slots are taken.
"""

import asyncio
import collections
import functools
import math
from typing import TypedDict

import msgspec
import structlog

from banyantiller.gateway import allowance_grants, allowance_link
from banyantiller.gateway.decisions import service_load
from banyantiller.tests import base
from banyantiller.tests.gateway import crash_harness, shares_harness
from banyantiller.utils import decoding

USUAL_S = 6
SURGE_S = 12
SURGE = range(USUAL_S, USUAL_S + SURGE_S)
# The load at relays is 0.75 s old, and it is counted after another second which
# requests were executed: the shares are in force from then on.
KNOWN_S = 3
LIMITED = range(USUAL_S + KNOWN_S, USUAL_S + SURGE_S)
# Requirement: nobody is served less than a quarter as often as all.
LEAST_SHARE = 0.25


class PreviousAsk(TypedDict):
    """Message of a daemon of the previous build."""

    asked: dict[str, int]
    unused: dict[str, int]


class PreviousGrants(TypedDict):
    """Reply of a relay of the previous build."""

    granted: dict[str, int]
    wait_ms: dict[str, int]


@functools.cache
def play(factor, names=("o0",), body=None, **options):
    """Plays a surge and returns the fleet."""

    async def whole():
        fleet = shares_harness.Fleet(**options)

        async def surge():
            await asyncio.sleep(USUAL_S)
            fleet.factors.update(dict.fromkeys(names, factor))
            if body is not None:
                await body(fleet)
            await asyncio.sleep(fleet.began + SURGE.stop - fleet.loop.time())
            fleet.factors.update(dict.fromkeys(names, 1.0))

        playing = fleet.play(USUAL_S + SURGE_S + 5)
        await asyncio.gather(surge(), playing)
        return fleet

    return base.run_paused(whole())


class ChecksTestCase(base.TestCase):
    """Checks of what organisations were served."""

    def check_others(self, fleet, names=("o0",), seconds=LIMITED):
        """Checks that the others keep nine tenths of their requests."""
        others = [name for name in fleet.usual if name not in names]
        asked = fleet.total("asked", others, seconds)
        served = fleet.total("served", others, seconds)
        self.assertGreater(served, 0.9 * asked)

    def check_nobody_starves(self, fleet):
        """Checks each organisation with enough requests to tell."""
        served = fleet.served_share(fleet.usual, SURGE)
        for name in fleet.usual:
            if fleet.total("asked", [name], SURGE) < 10:
                continue
            share = fleet.served_share([name], SURGE)
            self.assertGreater(share, LEAST_SHARE * served, name)


class SurgeTest(ChecksTestCase):
    """Guards against a surge that takes the servers from the others."""

    def test_others_keep_their_shares_in_fleets_of_all_sizes(self):
        for daemons, factor in ((13, 5), (135, 3), (135, 7), (312, 5)):
            fleet = play(factor, daemons=daemons)
            self.check_others(fleet)
            self.check_nobody_starves(fleet)

    def test_servers_were_lost_to_the_others_before(self):
        """Shows that the simulation has the fault without fair shares."""
        fleet = play(5, load_known=False)
        others = [name for name in fleet.usual if name != "o0"]
        self.assertLess(fleet.served_share(others, LIMITED), 0.7)

    def test_surge_of_a_small_organisation_does_not_starve_it(self):
        """Its usual part of the capacity is a seventh of what it asks for."""
        fleet = play(7, names=("o3",), use=0.58)
        self.check_others(fleet, ("o3",))
        self.check_nobody_starves(fleet)

    def test_nobody_is_refused_within_the_share_of_a_second(self):
        """By more than one request at each relay."""
        fleet = play(5)
        for second in LIMITED:
            level = min(
                level for at, level in fleet.levels if int(at) == second
            )
            for name, counts in fleet.counts.items():
                share = level * fleet.organisations[name].per_s
                beyond = max(0.0, counts.asked[second] - math.floor(share))
                self.assertLessEqual(
                    counts.over_share[second],
                    beyond + len(shares_harness.SEEDS),
                    (name, second),
                )

    def test_limit_does_not_swing(self):
        """It stays in force, within a factor of two.

        At three times, the servers suffice once they are not slow any more, and
        the limit may end.
        """
        for factor in (5, 7):
            fleet = play(factor)
            limits = [limit for at, limit in fleet.limits if int(at) in LIMITED]
            self.assertLess(max(limits), math.inf)
            self.assertLess(max(limits), 2 * min(limits))

    def test_surge_that_ends_leaves_no_limit(self):
        fleet = play(5)
        after = range(SURGE.stop + 2, SURGE.stop + 5)
        asked = fleet.total("asked", fleet.usual, after)
        refused = fleet.total("over_share", fleet.usual, after)
        self.assertLess(refused, 0.01 * asked)

    def test_shortage_without_a_surge_is_left_to_the_costs_of_requests(self):
        """All organisations grow alike: most requests are not limited."""
        fleet = play(2, names=tuple(f"o{number}" for number in range(84)))
        asked = fleet.total("asked", fleet.usual, SURGE)
        refused = fleet.total("over_share", fleet.usual, SURGE)
        self.assertLess(refused, 0.1 * asked)

    def test_messages_do_not_double(self):
        """A refused request costs a message, as a granted one does."""
        fleet = play(7)
        asked = fleet.total("asked", fleet.usual, SURGE)
        messages = sum(fleet.messages[second] for second in SURGE)
        self.assertLess(messages, 1.25 * asked)


class FailureTest(ChecksTestCase):
    """Guards against failures that refuse requests or end the sharing."""

    def test_relay_that_is_lost_leaves_the_shares(self):
        async def body(fleet):
            await asyncio.sleep(4)
            fleet.relays[1] = None

        fleet = play(5, body=body)
        self.check_others(fleet)
        self.check_nobody_starves(fleet)

    def test_relay_that_restarts_learns_the_shares(self):
        async def body(fleet):
            await asyncio.sleep(4)
            fleet.start_relay(1)

        fleet = play(5, body=body)
        self.check_others(fleet)
        self.check_nobody_starves(fleet)

    def test_unknown_load_limits_nobody(self):
        fleet = play(5, load_known=False)
        self.assertEqual(0, fleet.total("over_share", fleet.usual, SURGE))

    def test_old_load_does_not_swing_the_limit(self):
        """The load is as old as it may be, two seconds."""
        fleet = play(5, load_age_s=2.0)
        late = range(LIMITED.start + 2, LIMITED.stop)
        self.check_others(fleet, seconds=late)
        self.check_nobody_starves(fleet)

    def test_load_that_becomes_unknown_ends_the_limits(self):
        async def body(fleet):
            await asyncio.sleep(6)
            fleet.load_known = False

        fleet = play(5, body=body)
        unknown = range(USUAL_S + 8, SURGE.stop)
        self.assertEqual(0, fleet.total("over_share", fleet.usual, unknown))

    def test_service_that_the_document_lacks_takes_no_memory(self):
        fleet = play(5, service="unknown")
        self.assertEqual({}, fleet.relays[0].shares.by_service)
        self.assertEqual(0, fleet.total("over_share", fleet.usual, SURGE))

    def test_daemons_of_the_previous_build_are_not_limited(self):
        """They would take the refusal for a spent allowance."""
        fleet = play(5, service="")
        self.assertEqual(0, fleet.total("over_share", fleet.usual, SURGE))


class SharesOfCallersTest(base.TestCase):
    """Callers of a fleet whose servers are all full."""

    def play(self, free_share, **settings):
        """Returns the replies to a surge, the log, and the sent requests."""
        organisations = [
            {"name": "north", "apiKeys": ["n"], "ratePerS": 90, "burst": 90},
            {"name": "south", "apiKeys": ["s"], "ratePerS": 900, "burst": 9},
        ]

        async def body(fleet):
            fleet.harness.put_document(organisations=organisations)
            full = service_load.ZoneLoad(4, free_share, *[0.0] * 5, 0.1)
            for one in fleet.daemons:
                one.settings = one.settings._replace(**settings)
                one.service_loads.service_load = lambda service, now: full
            await asyncio.sleep(1.0)
            replies = []
            for number in range(200):
                daemon = fleet.daemons[number % len(fleet.daemons)]
                key = "n" if number % 9 else "s"
                replies.append(await fleet.send_request(daemon, credential=key))
            servers = fleet.harness.servers.values()
            return replies, sum(one.ran.total() for one in servers)

        with structlog.testing.capture_logs() as lines:
            replies, runs = crash_harness.play(
                body, lambda env: crash_harness.Fleet(env, "/read/deadly")
            )
        return replies, lines, runs

    def test_requests_beyond_the_share_are_refused_and_not_run(self):
        replies, lines, runs = self.play(0.0)
        refused = [one for one in replies if one.status == 503]
        self.assertNotEqual([], refused)
        self.assertEqual({200, 503}, {one.status for one in replies})
        self.assertEqual(len(replies) - runs, len(refused))
        for reply in refused:
            self.assertEqual("no", reply.headers["request-ran"])
            self.assertGreater(float(reply.headers["retry-after"]), 0)
        reasons = [one for one in lines if one.get("reason") == "fair_share"]
        self.assertEqual({"no_server"}, {one["error"] for one in reasons})

    def test_nobody_is_refused_while_slots_are_free(self):
        replies, _, _ = self.play(0.6)
        self.assertEqual({200}, {one.status for one in replies})

    def test_nobody_is_refused_while_load_sharing_is_off(self):
        replies, _, _ = self.play(0.0, load_sharing="off")
        self.assertEqual({200}, {one.status for one in replies})


class MessageTest(base.TestCase):
    """Guards against messages that the previous build can't read."""

    def ask(self, service):
        """Returns the message that asks for one request and gives two back."""

        async def body():
            loop = asyncio.get_running_loop()
            question = allowance_link.Question(
                loop.create_future(), service, True
            )
            unused = collections.Counter({("p", service): 2})
            return allowance_link.ask_fields({"o": [question]}, unused)

        return base.run_paused(body())

    def test_message_is_unchanged_while_load_is_not_shared(self):
        expected = {"asked": {"o": 1}, "unused": {"p": 2}}
        self.assertEqual(expected, self.ask(""))

    def test_previous_build_reads_messages_of_this_build(self):
        expected = {"asked": {"o": 1}, "unused": {"p": 2}}
        data = msgspec.msgpack.encode(self.ask("feed"))
        self.assertEqual(expected, decoding.from_msgpack(data, PreviousAsk))
        short = allowance_grants.ShortShare("o", "feed", 1, 90, True)
        reply = {"granted": {"o": 0}, "wait_ms": {}}
        data = msgspec.msgpack.encode(reply | {"short": [short]})
        self.assertEqual(reply, decoding.from_msgpack(data, PreviousGrants))

    def test_message_names_the_service_in_few_bytes(self):
        """A daemon sends two of them a second."""
        plain = msgspec.msgpack.encode(self.ask(""))
        with_service = msgspec.msgpack.encode(self.ask("feed"))
        self.assertLess(len(with_service) - len(plain), 50)

    def test_reply_that_refuses_more_than_was_asked_is_survived(self):
        async def body():
            async def send(fields):
                short = allowance_grants.ShortShare("o", "feed", 9, 90, True)
                return {"granted": {"o": 0}, "wait_ms": {}, "short": [short]}

            return await allowance_link.RelayLink(send).ask("o", "feed")

        expected = allowance_link.Answer(False, 0.09, True, True)
        self.assertEqual(expected, base.run_paused(body()))
