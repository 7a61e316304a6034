"""Tests that each event of the gateway's log is written when it occurs."""

import asyncio
import json
import pathlib
import tempfile
import typing

import structlog

from banyantiller.gateway import call_events, events, run
from banyantiller.gateway import settings as options
from banyantiller.http import messages
from banyantiller.telemetry import events as log_events
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

DECLARED = {
    kind: declared
    for kind, declared in log_events.DECLARATIONS.items()
    if kind.__module__ in (events.__name__, call_events.__name__)
}
SCENARIOS = []


def shows(*kinds):
    """Declares which events a scenario must write."""

    def declare(scenario):
        SCENARIOS.append((scenario, kinds))
        return scenario

    return declare


@shows(events.ServerJoined, events.DocumentInForce, call_events.CallEnded)
async def good_call(place):
    await place.request("a")


@shows(call_events.AttemptFailed)
async def reset_by_servers(place):
    place.fault(reset=True)
    await place.request("a")


@shows(events.ServerLimited, events.ServerUnlimited, events.LimitUnreadable)
async def servers_name_limits(place):
    for limit in ("240", "", "many"):
        for one in place.servers.values():
            one.limit = limit
        for number in range(9):
            await place.request(f"{limit}{number}")
            await asyncio.sleep(0.2)


@shows(
    call_events.ServerCrashed,
    call_events.RequestQuarantined,
    call_events.QuarantineLifted,
)
async def servers_end_under_a_request(place):
    for one in place.servers.values():
        one.faults.ended_by = "/file/deadly"
    for _ in place.servers.copy():
        await place.request("a", "/file/deadly", "POST")
    await asyncio.sleep(0.1)
    (record,) = place.gateway.crash_detector.watch.table.records
    place.gateway.crash_detector.watch.lift(record, place.gateway.loop.time())


@shows(events.ZoneEvacuated, events.ZoneGivenBack)
async def zone_is_evacuated(place):
    place.store.put("evacuations", "zone-a", {})
    await asyncio.sleep(0.1)
    place.store.remove("evacuations", "zone-a")
    await asyncio.sleep(0.1)


@shows(events.ServerReportedFailing)
async def server_fails_other_daemons(place):
    await place.add_server("s3")
    await asyncio.sleep(0.1)
    now = place.gateway.loop.time()
    place.gateway.store_view.table.mark_failing(["s0"], now + 1, now)


@shows(call_events.NoConnection)
async def connecting_fails(place):
    for one in place.servers.values():
        one.tells_load = False
    await place.request("warm")

    async def refuse(fresh):
        raise ConnectionRefusedError("refused")

    for kept in place.gateway.pools.values():
        kept.acquire = refuse
    await place.request("a")


@shows(call_events.ServerSuspected)
async def server_falls_silent_at_work(place):
    for one in place.servers.values():
        one.work_s = 0.5
    asked = asyncio.ensure_future(place.request("a"))
    await asyncio.sleep(0.03)
    place.fault(silent=True)
    await asked


@shows(call_events.BudgetSpent)
async def budget_is_spent(place):
    place.gateway.settings = place.gateway.settings._replace(
        retry_extra=0.0, retry_ratio=0.0
    )
    place.fault(reset=True)
    await place.request("a")


@shows(events.ServerUnresponsive, events.ServerResponsive)
async def server_is_silent_for_a_while(place):
    place.fault(silent=True)
    await place.request("a")
    await asyncio.sleep(5)
    for one in list(place.servers.values()):
        one.faults.silent = False
    await place.request("b")


@shows(events.KeptConnectionLost)
async def kept_connections_end(place):
    await place.request("a")

    async def reset():
        raise ConnectionResetError("reset by the server")

    for kept in place.gateway.pools.values():
        for link in kept.idle:
            link.connection.read_head = reset
    await place.request("b")


@shows(events.ServiceWithoutLoad)
async def servers_tell_no_load(place):
    for one in place.servers.values():
        one.tells_load = False
    await place.request("a")


@shows(events.ServerLeaves, events.ServerRemoved)
async def server_leaves(place):
    place.register("s0", state="draining")
    await asyncio.sleep(2)
    place.store.remove("servers", "s0")
    await asyncio.sleep(2)


@shows(
    events.StoreLost,
    events.StoreBack,
    events.RegistrationLapsed,
    events.ServerBack,
)
async def registration_lapses_with_an_outage(place):
    place.store.faults.down = True
    await asyncio.sleep(4)
    place.store.remove("servers", "s0")
    place.store.faults.down = False
    await asyncio.sleep(1.2)
    place.register("s0")
    await asyncio.sleep(2)


@shows(events.HistoryLost)
async def history_is_forgotten(place):
    place.store.faults.down = True
    await asyncio.sleep(2)
    place.put_document()
    place.store.forget()
    place.store.faults.down = False
    await asyncio.sleep(4)


@shows(events.DocumentUnreadable, events.RegistrationUnreadable)
async def objects_are_unreadable(place):
    place.store.put("config", "main", {"version": "seven"})
    place.store.put("servers", "s9", {"service": 4})
    await asyncio.sleep(4)


@shows(events.DocumentRemoved)
async def document_is_removed(place):
    place.store.remove("config", "main")
    await asyncio.sleep(4)


@shows(call_events.RequestRejected)
async def request_is_no_request(place):
    _, writer = await asyncio.open_connection(harness.ADDRESS, place.port)
    writer.write(b"what is this\r\n\r\n")
    await asyncio.sleep(1)


@shows(call_events.CallFault)
async def fault_of_its_own(place):
    def fail(route):
        raise ZeroDivisionError

    place.gateway.store_view.routes.choose_service = fail
    await place.request("a")


@shows(call_events.CallsNotLogged)
async def more_calls_than_lines(place):
    for one in place.servers.values():
        one.work_s = 0.001
    for number in range(150):
        await place.request(f"a{number}")
    await asyncio.sleep(1.1)
    await place.request("last")


@shows(events.CallsCut)
async def time_to_end_is_over(place):
    place.fault(mute=True)
    asked = asyncio.ensure_future(place.request("a", deadline_ms=60000))
    await asyncio.sleep(0.1)
    place.gateway.default_timeout_s = 60.0
    await place.gateway.drain(0.9)
    asked.cancel()


@shows(events.ReadsThroughRelay, events.ReadsForSubscribers, events.PeerLost)
async def other_daemon_is_asked(place):
    first = place.gateway
    seed = f"{harness.ADDRESS}:{place.control.port}"
    await place.start_gateway(seeds=(seed,), name="d2")
    await asyncio.sleep(3)
    place.controls[0].handler = None
    await place.controls[0].close()
    await asyncio.sleep(3)
    first.listener.close()
    await first.close()


@shows(events.PeerListReceived)
async def started_while_the_store_is_away(place):
    first = place.gateway
    place.store.faults.down = True
    seed = f"{harness.ADDRESS}:{place.control.port}"
    await place.start_gateway(seeds=(seed,), name="d2")
    await asyncio.sleep(3)
    first.listener.close()
    await first.close()


@shows(events.PeerUnreadable)
async def other_daemon_talks_nonsense(place):
    first = place.gateway

    async def nonsense(request):
        return messages.Response(200, (), b"[")

    place.controls[0].handler = nonsense
    seed = f"{harness.ADDRESS}:{place.control.port}"
    await place.start_gateway(seeds=(seed,), name="d2")
    await asyncio.sleep(3)
    first.listener.close()
    await first.close()


@shows(
    events.Started,
    events.ReadinessChanged,
    events.SettingsReloaded,
    events.SettingsRefused,
    events.ShuttingDown,
    events.Stopped,
)
async def life_of_a_daemon(place):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "gateway.yaml"
        text = json.dumps(
            {
                "daemon": "d9",
                "zone": "zone-a",
                "callers": f"{harness.ADDRESS}:40001",
                "ready": f"{harness.ADDRESS}:40002",
                "store": f"{harness.ADDRESS}:{place.bound.port}",
                "metrics_port": 0,
            }
        )
        path.write_text(text)
        daemon = run.Daemon(str(path), options.load(str(path)))
        running = asyncio.ensure_future(daemon.run())
        await asyncio.sleep(1)
        await daemon._answer_ready(messages.Request("GET", "/"))
        daemon.reload()
        path.write_text("zone: [")
        daemon.reload()
        daemon.shutdown_requested.set()
        await running


class EventsTest(base.TestCase):
    def lines_of(self, scenario):
        """Plays a scenario in a world and returns the log lines."""

        async def whole():
            async with harness.GatewayHarness() as place:
                await scenario(place)

        with structlog.testing.capture_logs() as lines:
            self.run_paused(whole())
        return lines

    def test_every_event_has_a_scenario(self):
        shown = {kind for _, kinds in SCENARIOS for kind in kinds}
        self.assertEqual(set(DECLARED), shown)

    def test_every_event_is_written_when_it_occurs(self):
        for scenario, kinds in SCENARIOS:
            lines = self.lines_of(scenario)
            for kind in kinds:
                found = [line for line in lines
                         if line["event"] == DECLARED[kind].text]  # fmt: skip
                self.assertNotEqual([], found, (scenario.__name__, kind))
                for line in found:
                    self.check_line(kind, line)

    def check_line(self, kind, line):
        """Checks that a line has the declared fields and level."""
        self.assertEqual(DECLARED[kind].level, line["log_level"])
        hints = typing.get_type_hints(kind)
        for name, hint in hints.items():
            allowed = typing.get_args(hint) or (hint,)
            if typing.get_origin(hint) is list:
                allowed = (list,)
            plain = tuple(typing.get_origin(one) or one for one in allowed)
            self.assertIsInstance(line[name], (*plain, int), (kind, name))
        extra = set(line) - set(hints) - {"event", "log_level", "exc_info"}
        self.assertEqual(set(), extra)

    def test_all_lines_are_declared_events(self):
        texts = {declared.text for declared in DECLARED.values()}
        for scenario, _ in SCENARIOS:
            for line in self.lines_of(scenario):
                if line["event"].startswith("gateway:"):
                    self.assertIn(line["event"], texts)

    def test_line_of_a_call_tells_how_old_its_document_is(self):
        async def before_the_first(place):
            place.store.faults.silent = True
            await place.start_gateway(name="d2")
            await place.request("a")

        async def in_time(place):
            await asyncio.sleep(20)
            await place.request("a")

        async def silent(place):
            place.store.faults.silent = True
            await asyncio.sleep(20)
            await place.request("a")

        ages = [
            line["known_ms"]
            for scenario in (before_the_first, in_time, silent)
            for line in self.lines_of(scenario)
            if line["event"] == DECLARED[call_events.CallEnded].text
        ]
        self.assertIsNone(ages[0])
        self.assertLess(ages[1], 3100)
        self.assertGreater(ages[2], 20000)

    def test_two_events_can_not_have_one_text(self):
        self.assertRaises(ValueError, log_events.event, "gateway: started.")
