"""Tests what is estimated from the loads that daemons observe."""

import base64

from banyantiller.gateway import load_reports, types
from banyantiller.gateway.decisions import load_sums, service_load
from banyantiller.tests import base

NOW = 1000.0
IDLE = types.Load(0, 0, 2, 1.0)
BUSY = types.Load(1, 0, 2, 1.0)
FULL = types.Load(2, 3, 2, 6.0)
# Bound of the control work: 4 KB a second, with two queries a second.
MAX_MESSAGE_BYTES = 2048


def observer(*loads, service="feed", zone="a", now=NOW, first=0):
    """Returns the state of a daemon that observed servers with these loads."""
    observed = service_load.ServiceLoads()
    for number, load in enumerate(loads, first):
        observed.record_load(service, zone, f"s{number}", load, now)
    return observed


class ServiceLoadTest(base.TestCase):
    def test_shares_follow_the_observed_loads(self):
        load = observer(IDLE, BUSY, FULL, FULL).zone_load("feed", "a", NOW)
        expected = (4, 0.375, 0.25, 0.5, 1.5, 0.0, 0.0, 0.0)
        for wanted, found in zip(expected, load, strict=True):
            self.assertAlmostEqual(wanted, found, delta=0.01)

    def test_later_observation_of_a_server_replaces_the_earlier_one(self):
        """Probes that are repeated while a request waits must not add up."""
        observed = observer(IDLE, BUSY)
        for _ in range(20):
            observed.record_load("feed", "a", "s0", FULL, NOW)
        load = observed.zone_load("feed", "a", NOW)
        self.assertAlmostEqual(0.25, load.free_share)

    def test_old_observations_lose_their_weight_and_are_dropped(self):
        observed = observer(IDLE, IDLE, IDLE, IDLE)
        observed.record_load("feed", "a", "s9", FULL, NOW + 0.3)
        load = observed.zone_load("feed", "a", NOW + 0.3)
        self.assertLess(load.free_share, 0.5)
        self.assertIsNone(observed.zone_load("feed", "a", NOW + 2.1))
        observed.expire(NOW + 4.2)
        self.assertEqual({}, observed.own)

    def test_unobserved_service_is_neither_full_nor_free(self):
        observed = observer(IDLE)
        self.assertIsNone(observed.zone_load("feed", "b", NOW))
        self.assertIsNone(observed.service_load("billing", NOW))

    def test_zones_count_by_their_servers_not_by_their_observations(self):
        """A zone whose callers send more would hide the other zones."""
        observed = observer(FULL, FULL)
        other = observer(*[IDLE] * 2, zone="b")
        for source in range(10):
            observed.merge(str(source), other.to_report(NOW), NOW)
        load = observed.service_load("feed", NOW)
        self.assertAlmostEqual(0.5, load.free_share, delta=0.05)

    def test_rejections_and_freed_slots(self):
        observed = observer(BUSY, BUSY, BUSY, BUSY)
        for rejected in (True, False, False, False):
            observed.record_send("feed", "a", rejected, NOW)
        observed.record_duration("feed", "a", 0.25, NOW)
        load = observed.zone_load("feed", "a", NOW)
        self.assertAlmostEqual(0.25, load.rejected_share)
        # Four busy slots, each for 0.25 s.
        self.assertAlmostEqual(16, load.freed_per_s, delta=1)
        observed.record_load("feed", "a", "s0", BUSY, NOW + 1)
        load = observed.zone_load("feed", "a", NOW + 1)
        self.assertGreater(load.freed_per_s, 0)


class ReportsTest(base.TestCase):
    def test_report_replaces_the_earlier_one_of_its_daemon(self):
        relay = observer(IDLE)
        report = observer(FULL, first=1).to_report(NOW)
        for _ in range(5):
            relay.merge("d1", report, NOW)
        load = relay.zone_load("feed", "a", NOW)
        self.assertAlmostEqual(0.5, load.free_share)

    def test_daemon_gets_what_others_observed_and_not_its_own(self):
        relay = observer()
        relay.merge("d1", observer(FULL).to_report(NOW), NOW)
        relay.merge("d2", observer(IDLE).to_report(NOW), NOW)
        (fields,) = relay.to_reply("d1", NOW).loads
        self.assertEqual((100, 200), (fields.weight, fields.free))

    def test_relay_reports_nothing_that_a_relay_before_it_replied(self):
        """The same observation would circulate between relays."""
        relay = observer(IDLE)
        relay.merge_reply(observer(FULL).to_report(NOW), NOW)
        (fields,) = relay.to_report(NOW)
        self.assertEqual(100, fields.weight)
        (fields,) = relay.to_reply("d1", NOW).loads
        self.assertEqual(200, fields.weight)

    def test_lost_daemon_is_dropped(self):
        relay = observer()
        relay.merge("d1", observer(FULL).to_report(NOW), NOW)
        relay.expire(NOW + load_sums.MAX_AGE_S + 0.1)
        self.assertEqual({}, relay.group.reports)
        self.assertIsNone(relay.service_load("feed", NOW + 2.1))

    def test_size_is_bounded_with_more_zones_than_fit(self):
        relay = observer()
        for zone in range(40):
            group = [observer(*[BUSY] * 9, zone=f"zone-{zone}")] * 8
            for number, one in enumerate(group):
                for _ in range(10):
                    one.record_send("feed", f"zone-{zone}", False, NOW)
                    one.record_duration("feed", f"zone-{zone}", 0.2, NOW)
                relay.merge(f"{zone}-{number}", one.to_report(NOW), NOW)
        report = relay.to_report(NOW)
        self.assertEqual(load_sums.MAX_REPORTED, len(report))
        text = load_reports.encode(load_reports.Message(0, report))
        self.assertLessEqual(len(text), MAX_MESSAGE_BYTES)
        self.assertEqual(report, load_reports.decode(text).loads)

    def test_malformed_reports_raise_value_errors(self):
        for text in ("%", "AAAA", "kgCR", "é"):
            self.assertRaises(ValueError, load_reports.decode, text)
        fields = [0, [["feed", "a", *[-1] * 12]]]
        packed = base64.urlsafe_b64encode(
            load_reports.msgspec.msgpack.encode(fields)
        )
        self.assertRaises(ValueError, load_reports.decode, packed.decode())
