"""Tests of the explanation of a request, found by its identity."""

import contextlib
import io
import json
import pathlib
import tempfile

from banyantiller.commands import cli
from banyantiller.explain import explanation, log_reader
from banyantiller.tests import base


def line(event, at="00:00:10.000000", daemon="d1", **fields):
    return json.dumps(
        {
            "daemon": daemon,
            "event": f"gateway: {event}",
            "timestamp": f"2026-01-01T{at}Z",
            **fields,
        }
    )


def ended(**fields):
    return line(
        "call ended.",
        **{
            "id": "a",
            "route": "r",
            "version": 4,
            "status": 200,
            "error": None,
            "sends": 1,
            "instances": ["s1"],
            "load": [1, 0, 2, 1.5],
            "sent_ms": 3.0,
            "took_ms": 90.0,
            "objective_ms": 200.0,
            "maybe_ran": False,
        }
        | fields,
    )


class ExplanationTest(base.TestCase):
    def explain(self, *texts):
        return explanation.explain_request("a", log_reader.parse_lines(texts))

    def test_rejected_request_did_not_run(self):
        found = self.explain(
            ended(status=503, error="no_server", sends=0, instances=[])
        )
        self.assertEqual("no", found.ran)
        self.assertIn("no server became available", found.sentences[0])

    def test_forwarded_request_is_followed_to_the_server(self):
        found = self.explain(
            line("no server of a service responds.", service="x", servers=3),
            ended(daemon="d2", service="x", forwarded_by="d1"),
            ended(service="x", peers=["10.0.0.2:7000"], load=None),
        )
        self.assertEqual("yes", found.ran)
        self.assertIn("service x", found.sentences[0])
        self.assertIn("forwarded by d1", found.sentences[1])
        self.assertIn("forwarded to 10.0.0.2:7000", found.sentences[2])

    def test_request_whose_connection_was_lost_may_have_run(self):
        found = self.explain(
            line("a try failed.", id="a", instance="s1", kind="x", load=None),
            ended(status=502, error="connection_lost", maybe_ran=True),
        )
        self.assertEqual("unknown", found.ran)
        self.assertEqual(2, len(found.sentences))

    def test_late_response_names_where_the_time_was_spent(self):
        at_server = self.explain(ended(took_ms=300.0)).sentences[0]
        before = self.explain(ended(took_ms=300.0, sent_ms=200.0)).sentences[0]
        self.assertIn("spent at the server", at_server)
        self.assertIn("spent before it was sent", before)

    def test_events_of_the_same_daemon_shortly_before_are_shown(self):
        found = self.explain(
            line("server gives no answer.", "00:00:07.000000", instance="s1"),
            line("server gives no answer.", "00:00:01.000000", instance="s1"),
            line("server gives no answer.", "00:00:09.000000", instance="s2"),
            line("store is lost.", "00:00:09.000000", daemon="d2"),
            line("store is lost.", "00:00:08.000000", reason="status 503"),
            ended(),
        )
        events = [one.event for one in found.lines]
        self.assertEqual(
            [
                "gateway: server gives no answer.",
                "gateway: store is lost.",
                "gateway: call ended.",
            ],
            events,
        )

    def test_limit_that_a_server_named_is_shown(self):
        found = self.explain(
            line(
                "server names a limit.",
                at="00:00:09.000000",
                start="s1/1/127.0.0.1:1",
                per_s=1.5,
                through="answer",
            ),
            ended(
                status=503,
                error="no_server",
                reason="servers_limited",
                sends=0,
                instances=[],
            ),
        )
        self.assertEqual("no", found.ran)
        shown = [one.fields["event"] for one in found.lines]
        self.assertIn("gateway: server names a limit.", shown)

    def test_backoff_that_a_server_asked_for_is_shown(self):
        found = self.explain(
            line(
                "server asks for a backoff.",
                at="00:00:09.000000",
                start="s1/1/127.0.0.1:1",
                seconds=3.0,
                left_s=0.0,
            ),
            ended(
                status=503,
                error="no_server",
                reason="servers_backed_off",
                sends=0,
                instances=[],
            ),
        )
        self.assertEqual("no", found.ran)
        shown = [one.fields["event"] for one in found.lines]
        self.assertIn("gateway: server asks for a backoff.", shown)

    def test_clocks_of_different_daemons_are_not_compared(self):
        """The second daemon's clock is an hour behind; it logs the same id."""
        found = self.explain(
            line("store is lost.", "00:00:09.000000", reason="x"),
            line("store is lost.", "23:00:01.000000", daemon="d2", reason="y"),
            ended(),
            line("call ended.", "23:00:02.000000", daemon="d2", id="a",
                 status=503, error="no_server", maybe_ran=False),
        )  # fmt: skip
        shown = [(one.daemon, one.event) for one in found.lines]
        self.assertEqual(
            [
                ("d1", "gateway: store is lost."),
                ("d2", "gateway: store is lost."),
                ("d1", explanation.CALL_ENDED_EVENT),
                ("d2", explanation.CALL_ENDED_EVENT),
            ],
            shown,
        )

    def test_retry_budget_is_shown_for_the_same_service_only(self):
        found = self.explain(
            line("retry budget is spent.", id="b", service="s"),
            line("retry budget is spent.", id="c", service="other"),
            ended(service="s"),
        )
        ids = [one.fields["id"] for one in found.lines]
        self.assertEqual(["b", "a"], ids)

    def test_prefixed_lines_are_parsed_and_truncated_ones_counted(self):
        logs = log_reader.parse_lines(
            ["12.5 edge-1 " + ended(), ended()[:-9], "nothing", "\n"]
        )
        self.assertEqual((1, 2), (len(logs.lines), logs.unreadable))

    def test_lost_lines_are_reported(self):
        lost = json.dumps({"event": log_reader.LINES_LOST_EVENT, "lines": 7})
        found = self.explain(lost, ended())
        self.assertEqual(
            ["Daemons failed to write 7 log lines."], found.unknown
        )

    def test_unknown_id_is_reported_as_unknown(self):
        found = explanation.explain_request(
            "b", log_reader.parse_lines([ended()])
        )
        self.assertEqual(("unknown", []), (found.ran, found.sentences))
        self.assertEqual(1, len(found.unknown))

    def test_command_reads_files_and_prints_json(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "d1.log"
            path.write_text(ended() + "\n")
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                status = cli.run(["explain", "a", str(path), "--json"])
        self.assertEqual(0, status)
        self.assertEqual("yes", json.loads(printed.getvalue())["ran"])

    def test_command_writes_a_page_with_a_timeline(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "d1.log"
            page = pathlib.Path(folder) / "a.html"
            path.write_text(ended(error="<no>") + "\n")
            with contextlib.redirect_stdout(io.StringIO()):
                status = cli.run(
                    ["explain", "a", str(path), "--html-file", str(page)]
                )
            text = page.read_text()
        self.assertEqual(0, status)
        self.assertIn("data:image/svg+xml;base64,", text)
        self.assertIn("&lt;no&gt;", text)
        self.assertNotIn("<no>", text)

    def test_page_that_cannot_be_written_is_one_error_line(self):
        printed = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "d1.log"
            path.write_text(ended() + "\n")
            with contextlib.redirect_stderr(printed):
                status = cli.run(
                    ["explain", "a", str(path), "--html-file", "/nowhere/x"]
                )
        self.assertNotEqual(0, status)
        self.assertEqual(1, len(printed.getvalue().splitlines()))

    def test_missing_file_is_one_error_line(self):
        printed = io.StringIO()
        with contextlib.redirect_stderr(printed):
            status = cli.run(["explain", "a", "/nowhere/x.log"])
        self.assertEqual(2, status)
        self.assertEqual(1, len(printed.getvalue().splitlines()))
