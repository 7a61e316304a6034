"""Tests that each check of the soak finds what it is there for."""

from banyantiller.tests import base
from soak import checks, organisations
from soak import record as records
from soak.record import (
    Acceptance,
    Arrival,
    Attempt,
    Disturbance,
    Evacuation,
    Exit,
    Leaving,
    NamedLimit,
    ServerEnd,
    StatedLeaving,
)


def attempt(request_id="a", kind=records.READ, at=10.0, **more):
    """Returns an attempt that was answered well, with changes."""
    fields = {
        "version": 0,
        "daemon": 0,
        "life": 1,
        "sent_at": at,
        "limit_s": 2.0,
        "status": 200,
        "body": f"{request_id} at s0".encode(),
        "signature": "by.s0",
        "ended_at": at + 0.1,
        "end": records.ANSWERED,
    }
    return Attempt(request_id, kind, **(fields | more))


def arrival(
    request_id="a", instance="s0", at=10.05, executed=True, other=False
):
    """Returns an arrival at a server."""
    return Arrival(at, request_id, instance, executed, other)


def record(attempts=(), arrivals=(), **more):
    """Returns a record of these."""
    return records.Record(
        attempts=list(attempts), arrivals=list(arrivals), **more
    )


def broken(seen, promise):
    """Returns the findings of one promise."""
    (found,) = [p for p in checks.PROMISES if p.name == promise]
    return list(found.check(seen))


class ChecksTest(base.TestCase):
    def assert_broken(self, promise, seen):
        self.assertNotEqual([], broken(seen, promise))

    def assert_kept(self, promise, seen):
        self.assertEqual([], broken(seen, promise))

    def test_good_answer_breaks_nothing(self):
        seen = record([attempt()], [arrival()], calm_from=99.0)
        found = [f for f in checks.judge(seen, True)
                 if f.promise != "served again"]  # fmt: skip
        self.assertEqual([], found)

    def test_untimed_checks_leave_out_what_depends_on_speed(self):
        seen = record([attempt(ended_at=19.0)], [arrival()])
        self.assertEqual([], checks.judge(seen, False))
        self.assertNotEqual([], checks.judge(seen, True))

    def test_answer_of_another_request_or_server(self):
        for changes in (
            {"body": b"b at s0"},
            {"body": b"a at s"},
            {"signature": ""},
            {"signature": "by.s1"},
        ):
            seen = record([attempt(**changes)], [arrival()])
            self.assert_broken("whole answer", seen)

    def test_success_of_a_request_that_no_server_executed(self):
        seen = record([attempt()], [arrival(executed=False)])
        self.assert_broken("whole answer", seen)

    def test_executed_though_told_not(self):
        for status in (408, 421, 429, 503):
            seen = record([attempt(status=status)], [arrival()])
            self.assert_broken("not run", seen)
            seen = record([attempt(status=status)], [arrival(executed=False)])
            self.assert_kept("not run", seen)

    def test_proper_request_that_a_daemon_refused_for_good(self):
        for status in (302, 400, 401, 403, 404, 413, 431, 501, 505):
            denied = attempt(status=status, signature="")
            self.assert_broken("never denied", record([denied]))
            seen = record([attempt(status=status)])
            self.assert_kept("never denied", seen)
        for status in (408, 421, 429, 500, 502, 503, 504):
            again = attempt(status=status, signature="")
            self.assert_kept("never denied", record([again]))

    def test_nothing_excuses_a_final_refusal(self):
        denied = attempt(status=404, signature="")
        faults = [
            Disturbance(9.0, 11.0, what, None)
            for what in (
                records.PROCESS,
                records.CALLER_LINK,
                records.STORE,
                records.STORE_LINK,
                records.LAG,
            )
        ]
        seen = record([denied], disturbances=faults)
        self.assert_broken("never denied", seen)
        self.assertIn(
            "never denied", [f.promise for f in checks.judge(seen, False)]
        )

    def test_route_of_some_documents_only_may_be_unknown(self):
        gone = attempt(version=3, status=404, signature="")
        self.assert_kept("never denied", record([gone]))

    def test_executed_too_often(self):
        twice = [arrival(), arrival(instance="s1")]
        seen = record([attempt(kind=records.FILE)], twice)
        self.assert_broken("at most once", seen)
        self.assert_kept("at most once", record([attempt()], twice))
        thrice = [*twice, arrival(instance="s2")]
        self.assert_broken("at most once", record([attempt()], thrice))

    def test_request_that_nobody_sent(self):
        self.assert_broken("nothing invented", record([], [arrival()]))

    def test_connection_lost_while_a_server_worked(self):
        lost = attempt(end=records.CLOSED, status=0)
        self.assert_broken("answered", record([lost], [arrival()]))
        self.assert_kept("answered", record([lost], []))
        excuse = Disturbance(8.0, 9.0, records.PROCESS, 0)
        seen = record([lost], [arrival()], disturbances=[excuse])
        self.assert_kept("answered", seen)
        for other in (
            Disturbance(8.0, 9.0, records.PROCESS, 1),
            Disturbance(8.0, 9.0, records.STORE, None),
            Disturbance(2.0, 6.9, records.PROCESS, 0),
            Disturbance(10.2, 11.0, records.PROCESS, 0),
        ):
            seen = record([lost], [arrival()], disturbances=[other])
            self.assert_broken("answered", seen)

    def test_request_held_too_long(self):
        held = attempt(ended_at=12.6, status=504)
        self.assert_broken("in time", record([held]))
        self.assert_kept("in time", record([attempt(ended_at=12.4)]))

    def test_leaving_server_gets_new_requests(self):
        leavings = [Leaving(5.0, "s0")]
        late = [arrival(at=7.5)]
        seen = record([attempt(at=7.45)], late, leavings=leavings)
        self.assert_broken("leaving servers", seen)
        turned_away = [arrival(at=7.5, executed=False, other=True)]
        seen = record([attempt(at=7.45)], turned_away, leavings=leavings)
        self.assert_kept("leaving servers", seen)
        seen = record([attempt(at=7.2)], [arrival(at=7.25)], leavings=leavings)
        self.assert_kept("leaving servers", seen)

    def test_evacuated_zone_gets_new_requests(self):
        spans = [Evacuation("zone-a", 5.0, 15.0)]
        zones = {"s0": "zone-a"}
        for at, check in (
            (11.0, self.assert_broken),
            (9.0, self.assert_kept),
            (15.5, self.assert_kept),
        ):
            sent, arrived = [attempt(at=at - 0.05)], [arrival(at=at)]
            seen = record(sent, arrived, evacuations=spans, zones=zones)
            check("evacuated zones", seen)
        elsewhere = record(
            [attempt(at=10.95)], [arrival(at=11.0)],
            evacuations=spans, zones={"s0": "zone-b"},
        )  # fmt: skip
        self.assert_kept("evacuated zones", elsewhere)

    def test_server_gets_more_than_the_limit_that_it_named(self):
        def seen(count, gap_s=0.1, began=15.0, **more):
            times = [began + gap_s * number for number in range(count)]
            # The first tells the daemon, well before the others.
            times.insert(0, 10.0)
            attempts = [
                attempt(f"r{number}", at=at) for number, at in enumerate(times)
            ]
            arrivals = [
                arrival(f"r{number}", at=at + 0.05)
                for number, at in enumerate(times)
            ]
            limits = [NamedLimit("s0", 1.5, 10.0, 30.0)]
            return record(attempts, arrivals, limits=limits, **more)

        self.assert_broken("named limits", seen(15))
        self.assert_kept("named limits", seen(14))
        self.assert_kept("named limits", seen(40, gap_s=0.5))
        # Before the limit has to be kept, and after it ended.
        self.assert_kept("named limits", seen(15, began=10.6))
        self.assert_kept("named limits", seen(15, began=31.0))
        paused = [Disturbance(14.0, 15.0, records.PROCESS, 0)]
        self.assert_kept("named limits", seen(15, disturbances=paused))

    def test_daemon_that_was_not_told_a_limit_is_not_judged(self):
        times = [15.0 + 0.01 * number for number in range(15)]
        attempts = [
            attempt(f"r{number}", at=at) for number, at in enumerate(times)
        ]
        arrivals = [
            arrival(f"r{number}", at=at + 0.05)
            for number, at in enumerate(times)
        ]
        limits = [NamedLimit("s0", 1.5, 10.0, 30.0)]
        self.assert_kept(
            "named limits", record(attempts, arrivals, limits=limits)
        )

    def test_requests_in_a_backoff(self):
        def seen(count, gap_s=0.1, daemon=0, start=0, **more):
            times = [10.0, *(11.0 + gap_s * number for number in range(count))]
            daemons = [0, *[daemon] * count]
            attempts = [
                attempt(f"r{number}", at=at, daemon=by)
                for number, (at, by) in enumerate(
                    zip(times, daemons, strict=True)
                )
            ]
            arrivals = [
                arrival(f"r{number}", at=at)._replace(start=start, sender=by)
                for number, (at, by) in enumerate(
                    zip(times, daemons, strict=True)
                )
            ]
            arrivals[0] = arrivals[0]._replace(retry_after_s=3.0, start=0)
            return record(attempts, arrivals, **more)

        self.assert_broken("backoffs", seen(3))
        self.assert_kept("backoffs", seen(2))
        # After the end of the backoff, and from another daemon.
        self.assert_kept("backoffs", seen(4, gap_s=1.0))
        self.assert_kept("backoffs", seen(3, daemon=1))
        # At another start of the server.
        self.assert_kept("backoffs", seen(3, start=1))
        for what in (records.PROCESS, records.SERVER_LINK):
            disturbed = [Disturbance(10.0, 10.5, what, None)]
            self.assert_kept("backoffs", seen(3, disturbances=disturbed))

    def test_sender_of_a_forwarded_request_is_held_to_its_backoff(self):
        """Guards against blaming the daemon of the caller instead."""

        def seen(*senders):
            times = [10.0, 11.0, 11.1, 11.2]
            attempts = [
                attempt(f"r{number}", at=at, daemon=0)
                for number, at in enumerate(times)
            ]
            arrivals = [
                arrival(f"r{number}", at=at)._replace(sender=sender)
                for number, (at, sender) in enumerate(
                    zip(times, senders, strict=True)
                )
            ]
            arrivals[0] = arrivals[0]._replace(retry_after_s=3.0)
            return record(attempts, arrivals)

        self.assert_broken("backoffs", seen(1, 1, 1, 1))
        self.assert_kept("backoffs", seen(1, 0, 0, 0))
        self.assert_kept("backoffs", seen(1, 0, 2, 3))

    def test_requests_for_another_organisation(self):
        own = attempt("a")
        own.organisation = "callers"
        for organisation, shows_key, kept in (
            ("callers", False, True),
            ("other", False, False),
            ("", False, False),
            ("callers", True, False),
        ):
            found = arrival("a")._replace(
                organisation=organisation, shows_key=shows_key
            )
            check = self.assert_kept if kept else self.assert_broken
            check("own organisation", record([own], [found]))

    def test_requests_beyond_an_allowance(self):
        def seen(count, gap_s, organisation=organisations.LIMITED):
            return record(
                (),
                [
                    arrival(f"r{n}", at=10 + n * gap_s)._replace(
                        organisation=organisation
                    )
                    for n in range(count)
                ],
            )

        self.assert_broken("allowances", seen(47, 0.1))
        self.assert_kept("allowances", seen(46, 0.1))
        self.assert_kept("allowances", seen(200, 0.12))
        self.assert_kept("allowances", seen(99, 0.01, "callers"))

    def test_requests_with_a_removed_key(self):
        def seen(sent_at, **more):
            keyed = records.KeyedAttempt("a", "", "k", 10.0, sent_at)
            found = [arrival("a", at=sent_at + 0.1)]
            return record((), found, keyed_attempts=[keyed], **more)

        self.assert_broken("removed keys", seen(12.1))
        self.assert_kept("removed keys", seen(11.9))
        lost = [Disturbance(11.0, 11.5, records.STORE, None)]
        self.assert_kept("removed keys", seen(12.1, disturbances=lost))

    def test_requests_after_a_stated_leaving_was_passed_on(self):
        def seen(at, daemon=0, life=1, **more):
            attempts = [
                attempt("told", at=10.0),
                attempt("late", at=at, daemon=daemon, life=life),
            ]
            arrivals = [arrival("told"), arrival("late", at=at + 0.05)]
            leavings = [StatedLeaving(9.9, "s0")]
            return record(attempts, arrivals, stated_leavings=leavings, **more)

        self.assert_broken("stated leaving", seen(12.2))
        self.assert_kept("stated leaving", seen(12.0))
        self.assert_kept("stated leaving", seen(12.2, daemon=1))
        self.assert_kept("stated leaving", seen(12.2, life=2))
        paused = [Disturbance(11.0, 11.5, records.PROCESS, 0)]
        self.assert_kept("stated leaving", seen(12.2, disturbances=paused))
        # A disturbance of the store excuses nothing here.
        lost = [Disturbance(11.0, 11.5, records.STORE, None)]
        self.assert_broken("stated leaving", seen(12.2, disturbances=lost))

    def test_old_version_in_force(self):
        acceptances = [Acceptance(0.0, 1), Acceptance(5.0, 2)]
        old = attempt(version=1, at=7.5)
        seen = record([old], [arrival()], acceptances=acceptances)
        self.assert_broken("in force", seen)
        missing = attempt(version=2, at=7.5, status=404, signature="")
        seen = record([missing], acceptances=acceptances)
        self.assert_broken("in force", seen)
        early = attempt(version=1, at=6.5)
        seen = record([early], [arrival()], acceptances=acceptances)
        self.assert_kept("in force", seen)

    def test_version_goes_back_within_a_life(self):
        steps = [
            attempt("a", version=2, at=5.0),
            attempt("b", version=1, at=6.0),
        ]
        self.assert_broken("never back", record(steps))
        steps[1].life = 2
        self.assert_kept("never back", record(steps))

    def test_too_many_repeats(self):
        bounds = records.Bounds(retry_extra=2.0, retry_ratio=0.0)
        sends = [arrival(at=10.0 + n, instance=f"s{n}") for n in range(4)]
        seen = record([attempt()], sends, bounds=bounds)
        self.assert_broken("retry budget", seen)
        self.assert_kept("retry budget", record([attempt()], sends[:3],
                                                bounds=bounds))  # fmt: skip

    def test_ends_of_processes(self):
        for one in (
            Exit(0, 1, None, 5.0, 0),
            Exit(0, 1, 5.0, 6.0, 1),
            Exit(0, 1, 5.0, 11.5, 0),
        ):
            self.assert_broken("ends", record(exits=[one]))
        good = Exit(0, 1, 5.0, 9.0, 0)
        self.assert_kept("ends", record(exits=[good]))
        early = Exit(0, 1, 5.0, 5.1, -15, listened=False)
        self.assert_kept("ends", record(exits=[early]))
        self.assert_broken(
            "ends", record(exits=[early._replace(asked_at=None)])
        )

    def test_errors_in_logs(self):
        self.assert_broken("logs", record(log_errors=["Traceback"]))

    def test_soak_that_could_not_keep_up_is_no_clean_run(self):
        calls = [attempt(f"g{n}", at=10.0 + n) for n in range(20)]
        slow = [Disturbance(12.0, 15.0, records.LAG, None)]
        self.assert_broken("kept up", record(calls, disturbances=slow))
        short = [Disturbance(12.0, 12.5, records.LAG, None)]
        self.assert_kept("kept up", record(calls, disturbances=short))

    def test_not_served_after_the_last_fault(self):
        good = [attempt(f"g{n}", at=30.0) for n in range(30)]
        self.assert_kept("served again", record(good, calm_from=20.0))
        bad = [attempt(f"b{n}", at=30.0, status=503) for n in range(4)]
        self.assert_broken("served again", record(good + bad, calm_from=20.0))
        self.assert_broken("served again", record(good, calm_from=31.0))
        lag = Disturbance(25.0, 25.2, records.LAG, None)
        seen = record(good + bad, calm_from=20.0, disturbances=[lag])
        self.assert_kept("served again", seen)
        lag = Disturbance(15.0, 15.2, records.LAG, None)
        seen = record(good + bad, calm_from=20.0, disturbances=[lag])
        self.assert_broken("served again", seen)

    def test_a_request_that_goes_on_ending_servers(self):
        ends = [ServerEnd(10.0 + n, "/read/ends-1") for n in range(5)]
        calls = [
            attempt(f"e{n}", records.ENDING, 13.0 + 0.5 * n, status=502)
            for n in range(9)
        ]
        seen = record(calls, ends=ends)
        seen.arrivals = [
            Arrival(call.sent_at, call.request_id, "s0", True, False,
                    "/read/ends-1")
            for call in calls
        ]  # fmt: skip
        # Those from 3 s after the third end on: 15.5, 16.0, 16.5, 17.0.
        self.assert_broken("servers that end", seen)
        seen.arrivals.pop()
        self.assert_kept("servers that end", seen)
        seen.arrivals.append(seen.arrivals[-1]._replace(at=99.0))
        self.assert_broken("servers that end", seen)
        killed = Disturbance(96.5, 97.0, records.PROCESS, 0)
        seen.disturbances.append(killed)
        self.assert_kept("servers that end", seen)
        seen.ends = ends[:2]
        seen.disturbances.clear()
        self.assert_kept("servers that end", seen)

    def test_a_proper_request_that_is_taken_for_another(self):
        changes = {"status": 503, "body": checks.QUARANTINED}
        seen = record([attempt(**changes)])
        self.assert_broken("nobody else refused", seen)
        seen = record([attempt(kind=records.ENDING, **changes)])
        self.assert_kept("nobody else refused", seen)

    def test_callers_of_partitioned_daemons_are_served(self):
        def play(status, **more):
            inside = [
                attempt(f"i{n}", daemon=1, at=14.0, status=status)
                for n in range(30)
            ]
            outside = [attempt(f"o{n}", at=14.0) for n in range(30)]
            cut = Disturbance(10.0, 20.0, records.PARTITION, 1)
            seen = record(inside + outside, disturbances=[cut], **more)
            return seen, cut

        seen, cut = play(503)
        self.assert_broken("served in partitions", seen)
        seen.disturbances.append(Disturbance(9.0, 15.0, records.PROCESS, 1))
        self.assert_kept("served in partitions", seen)
        for what in (records.PROCESS, records.RESTART):
            seen.disturbances = [cut, Disturbance(13.0, 16.0, what, 0)]
            self.assert_kept("served in partitions", seen)
        seen.disturbances = [cut, Disturbance(1.0, 9.0, records.RESTART, 0)]
        self.assert_broken("served in partitions", seen)
        seen.disturbances = [cut._replace(began=12.0)]
        self.assert_kept("served in partitions", seen)
        self.assert_kept("served in partitions", play(200)[0])
