"""Tests of the recorder, its rules, summaries and the backlog."""

import random

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Ran
from banyantiller.evidence import backlog, latency, recorder
from banyantiller.evidence import summary as summaries
from banyantiller.evidence.promises import STATEMENTS, Promise
from banyantiller.kernel import core, events
from banyantiller.tests import base
from banyantiller.tests.evidence import samples


class RecorderTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        self.kernel = core.Kernel()
        self.recorder = recorder.Recorder.from_settings(
            samples.settings(most_requests=2), self.kernel, lambda: self.now
        )

    def breaches_after(
        self, *calls: events.CallFinished
    ) -> list[tuple[str, str]]:
        for call in calls:
            self.kernel.emit(call)
        summary = self.recorder.close_period()
        return [(item.promise, item.request_id) for item in summary.breaches]

    def test_calls_without_a_breach(self) -> None:
        harmless = [
            samples.call(),
            samples.call(attempts=3, error=ErrorKind.CONNECTION_LOST),
            samples.call(idempotent=False, attempts=1),
            samples.call(idempotent=False, attempts=2, shed=1),
            samples.call(error=ErrorKind.BACKEND_SHED, told=Ran.NO),
            samples.call(
                error=ErrorKind.NO_SERVER, attempts=0, server="", told=Ran.NO
            ),
            samples.call(error=ErrorKind.NO_SERVER, told=Ran.UNKNOWN),
            samples.call(cut=True, error=ErrorKind.CALLER_GONE),
            samples.call(cut=True, error=ErrorKind.BODY_TIMEOUT),
        ]
        self.assertEqual([], self.breaches_after(*harmless))

    def test_second_run_of_a_non_idempotent_request(self) -> None:
        found = self.breaches_after(
            samples.call("r2", idempotent=False, attempts=2)
        )
        self.assertEqual([("at_most_once", "r2")], found)

    def test_reported_not_run_after_bytes_were_sent(self) -> None:
        found = self.breaches_after(
            samples.call("r3", error=ErrorKind.NO_SERVER, told=Ran.NO)
        )
        self.assertEqual([("not_run_is_not_run", "r3")], found)

    def test_cut_answer(self) -> None:
        found = self.breaches_after(
            samples.call("r4", cut=True, error=ErrorKind.CONNECTION_LOST)
        )
        self.assertEqual([("whole_own_answer", "r4")], found)

    def test_cut_while_the_daemon_drains(self) -> None:
        self.kernel.emit(events.DaemonDraining(self.now))
        found = self.breaches_after(samples.call("r5", cut=True))
        self.assertIn(("shutdown_cuts_nothing", "r5"), found)

    def test_request_to_a_leaving_server(self) -> None:
        service = options.Service(
            "registry", (), drain=options.DrainPolicy(stop_within_s=2.0)
        )
        self.recorder.configure([service])
        leaving_event = events.ServerLeaving(
            "registry", "s1", "vm_list", self.now
        )
        self.kernel.emit(leaving_event)
        self.now += 2.5
        self.assertEqual([], self.breaches_after(samples.call(duration_s=0.6)))
        late = samples.call("r6", duration_s=0.6, sent_after_s=0.2)
        self.assertEqual(
            [("leaving_server_spared", "r6")], self.breaches_after(late)
        )

    def test_first_report_of_leaving_counts(self) -> None:
        for reason in ("drain_answer", "vm_list"):
            leaving_event = events.ServerLeaving(
                "registry", "s1", reason, self.now
            )
            self.kernel.emit(leaving_event)
            self.now += 2.0
        self.assertEqual(
            1, len(self.breaches_after(samples.call(duration_s=0.1)))
        )

    def test_returned_server_is_not_leaving(self) -> None:
        leaving_event = events.ServerLeaving(
            "registry", "s1", "vm_list", self.now
        )
        self.kernel.emit(leaving_event)
        self.kernel.emit(events.ServerReturned("registry", "s1", self.now))
        self.now += 60
        self.assertEqual([], self.breaches_after(samples.call()))

    def test_server_removed_by_a_bundle_and_added_again(self) -> None:
        server = options.BackendServer("s1", "127.0.0.1", 80)
        with_server = options.Service("registry", (server,))
        self.recorder.configure([with_server])
        self.recorder.configure([with_server._replace(servers=())])
        self.now += 60
        late = self.breaches_after(samples.call("r9"))
        self.assertEqual([("leaving_server_spared", "r9")], late)
        self.recorder.configure([with_server])
        self.assertEqual([], self.breaches_after(samples.call()))

    def test_cut_while_the_server_leaves(self) -> None:
        leaving_event = events.ServerLeaving(
            "registry", "s1", "drain_answer", self.now
        )
        self.kernel.emit(leaving_event)
        found = self.breaches_after(samples.call("r7", cut=True))
        self.assertIn(("shutdown_cuts_nothing", "r7"), found)

    def test_breach_found_by_another_module(self) -> None:
        self.kernel.emit(
            events.PromiseBroken("at_most_once", "r8", "Granted twice.", 1.0)
        )
        self.kernel.emit(events.PromiseBroken("no_such", "r9", "", 1.0))
        self.assertEqual([("at_most_once", "r8")], self.breaches_after())

    def test_listed_breaches_are_bounded_and_all_are_counted(self) -> None:
        for index in range(5):
            self.kernel.emit(samples.call(f"r{index}", cut=True))
        summary = self.recorder.close_period()
        self.assertEqual(2, len(summary.breaches))
        self.assertEqual({"breaches": 3}, summary.omitted)
        self.assertEqual({"whole_own_answer": 5}, summary.breach_counts)

    def test_store_outage_is_measured_across_periods(self) -> None:
        self.kernel.emit(events.StoreState(False, self.now))
        self.now += 4
        self.assertEqual(4000, self.recorder.close_period().store_down_ms)
        self.now += 3
        self.kernel.emit(events.StoreState(True, self.now))
        self.now += 1
        self.assertEqual(3000, self.recorder.close_period().store_down_ms)

    def test_clock_set_back_causes_no_negative_period(self) -> None:
        self.now -= 50
        summary = self.recorder.close_period()
        self.assertEqual(summary.from_ms, summary.to_ms)

    def test_probes_carry_their_budget(self) -> None:
        self.recorder.configure([options.Service("registry", ())])
        self.kernel.emit(events.ProbeCharged("registry", self.now))
        spent = self.recorder.close_period().probes["registry"]
        self.assertEqual(summaries.ProbeUsage(1, 2.0), spent)


class SummaryTest(base.TestCase):
    def test_every_promise_has_a_statement(self) -> None:
        self.assertEqual(set(Promise), set(STATEMENTS))

    def test_json_form_round_trips(self) -> None:
        summary = summaries.Summary(
            1,
            2,
            calls={"registry": 3},
            probes={"registry": summaries.ProbeUsage(1, 2.0)},
            bundles=(summaries.AppliedBundle(1, "ab", 1, 2, "peer"),),
            final=True,
        )
        encoded = summaries.encode(summary)
        self.assertNotIn("errors", encoded)
        self.assertEqual(summary, summaries.decode({**encoded, "new": 1}))

    def test_backlog_stays_bounded_and_counts_stay_exact(self) -> None:
        pending_summaries = backlog.Backlog(most_requests=3, max_pending=4)
        for index in range(100):
            breach = summaries.ObservedBreach(
                "at_most_once", f"r{index}", "", 0
            )
            pending_summaries.add_summary(
                summaries.Summary(
                    index,
                    index + 1,
                    calls={"a": 2},
                    breaches=(breach,),
                    breach_counts={"at_most_once": 1},
                )
            )
        pending = pending_summaries.take_all()
        self.assertEqual(4, len(pending))
        self.assertEqual(200, sum(item.calls["a"] for item in pending))
        self.assertEqual(100, sum(item.merged for item in pending))
        self.assertEqual((0, 100), (pending[0].from_ms, pending[-1].to_ms))
        for item in pending:
            named = len(item.breaches) + item.omitted.get("breaches", 0)
            self.assertEqual(item.breach_counts["at_most_once"], named)
            self.assertTrue(len(item.breaches) <= 3)

    def test_merged_probes_keep_the_smallest_budget(self) -> None:
        first = summaries.Summary(
            0, 1, probes={"a": summaries.ProbeUsage(1, 2.0)}
        )
        second = summaries.Summary(
            1, 2, probes={"a": summaries.ProbeUsage(2, 1.0)}
        )
        merged = summaries.merge(first, second, 1)
        self.assertEqual(summaries.ProbeUsage(3, 1.0), merged.probes["a"])

    def test_buckets_are_ordered_and_narrow(self) -> None:
        rng = random.Random(1)
        durations = sorted(rng.lognormvariate(-6, 3) for _ in range(2000))
        numbers = [latency.bucket_of(item) for item in durations]
        self.assertEqual(sorted(numbers), numbers)
        for duration, bucket in zip(durations, numbers, strict=True):
            upper = latency.upper_s(bucket)
            self.assertTrue(duration < upper + 1e-9)
            self.assertTrue(upper <= duration * 1.126 + 2e-6)

    def test_percentile_of_counted_durations(self) -> None:
        counts = {str(latency.bucket_of(0.001)): 99}
        counts[str(latency.bucket_of(1.0))] = 1
        p50 = latency.percentile_s(counts, 50)
        p100 = latency.percentile_s(counts, 100)
        self.assertTrue(0.001 <= p50 <= 0.00113)
        self.assertTrue(1.0 <= p100 <= 1.13)
        self.assertIsNone(latency.percentile_s({}, 50))
