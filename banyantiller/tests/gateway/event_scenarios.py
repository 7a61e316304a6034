"""Scenarios in which the gateway writes the events of its log."""

import asyncio
import json
import pathlib
import tempfile
import time

from banyantiller.gateway import call_events, events, run
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import service_load
from banyantiller.http import messages
from banyantiller.tests.gateway import harness
from banyantiller.tests.gateway.decisions import test_precedence

SCENARIOS = []


def shows(*event_types):
    """Declares which events a scenario has to write."""

    def declare(scenario):
        SCENARIOS.append((scenario, event_types))
        return scenario

    return declare


@shows(events.ServerJoined, events.DocumentInForce, call_events.CallEnded)
async def successful_call(env):
    await env.request("a")


@shows(call_events.AttemptFailed)
async def connections_reset_by_servers(env):
    env.fault(reset=True)
    await env.request("a")


@shows(events.ServerLimited, events.ServerUnlimited, events.LimitUnreadable)
async def servers_name_limits(env):
    for limit in ("240", "", "many"):
        for one in env.servers.values():
            one.limit = limit
        for number in range(9):
            await env.request(f"{limit}{number}")
            await asyncio.sleep(0.2)


@shows(events.ProcessStalled)
async def long_step_of_the_program(env):
    ends_at = time.monotonic() + 0.6
    while time.monotonic() < ends_at:
        pass
    env.gateway.stalls.check(0.6)


@shows(events.OrganisationLimited, events.OrganisationWithinAllowance)
async def organisation_exceeds_its_allowance(env):
    organisation = {"name": "north", "apiKeys": ["k"], "ratePerS": 1}
    env.put_document(organisations=[organisation])
    await asyncio.sleep(6.0)
    for number in range(8):
        await env.request(f"a{number}", credential="k")
    await asyncio.sleep(12.0)


@shows(events.OrganisationOverShare, events.OrganisationWithinShare)
async def organisation_exceeds_its_share(env):
    env.put_document(
        organisations=[
            {"name": "north", "apiKeys": ["k"], "ratePerS": 300, "burst": 60},
            {"name": "south", "apiKeys": ["s"], "ratePerS": 900, "burst": 9},
            {"name": "west", "apiKeys": ["w"], "ratePerS": 900, "burst": 9},
        ]
    )
    full = service_load.ZoneLoad(4, 0.0, 0.0, 0.0, 0.0, 0.0, 9.0, 0.1)
    env.gateway.service_loads.service_load = lambda service, now: full
    await asyncio.sleep(3.0)
    # What servers execute is counted before the surge.
    for number in range(60):
        await env.request(f"a{number}", credential="sw"[number % 2])
        await env.request(f"b{number}", credential="k")
        await asyncio.sleep(0.03)
    for number in range(20):
        await asyncio.gather(
            *(
                env.request(f"c{number}-{other}", credential="k")
                for other in range(8)
            )
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(6.0)


@shows(events.BackoffRequested, events.RetryAfterUnreadable)
async def servers_refuse_requests_with_retry_after(env):
    env.fault(shed=True)
    for retry_after in ("0.1", "soon"):
        for one in env.servers.values():
            one.retry_after = retry_after
        await env.request(retry_after)
        await asyncio.sleep(0.2)


@shows(
    call_events.ServerCrashed,
    call_events.RequestQuarantined,
    call_events.QuarantineLifted,
)
async def servers_crash_during_a_request(env):
    # The last crash shows only beside a server that runs.
    await env.add_server("s3")
    await asyncio.sleep(0.1)
    for one in env.servers.values():
        one.faults.ended_by = "/file/deadly"
    for _ in env.servers.copy():
        await env.request("a", "/file/deadly", "POST")
    await asyncio.sleep(0.1)
    (record,) = env.gateway.crash_detector.tracker.table.records
    env.gateway.crash_detector.tracker.lift(record, env.gateway.loop.time())


@shows(events.ZoneEvacuated, events.ZoneGivenBack)
async def zone_evacuation(env):
    env.store.put("evacuations", "zone-a", {})
    await asyncio.sleep(0.1)
    env.store.remove("evacuations", "zone-a")
    await asyncio.sleep(0.1)


@shows(events.ServerReportedFailing)
async def server_fails_other_daemons(env):
    await env.add_server("s3")
    await asyncio.sleep(0.1)
    now = env.gateway.loop.time()
    env.gateway.store_view.table.mark_failing(["s0"], now + 1, now)


@shows(call_events.ConnectFailed)
async def connecting_fails(env):
    for one in env.servers.values():
        one.tells_load = False
    await env.request("warm")

    async def refuse(fresh):
        raise ConnectionRefusedError("refused")

    for kept in env.gateway.pools.values():
        kept.acquire = refuse
    await env.request("a")


@shows(call_events.ServerSuspected)
async def server_is_unresponsive_during_a_request(env):
    for one in env.servers.values():
        one.work_s = 0.5
    pending = asyncio.ensure_future(env.request("a"))
    await asyncio.sleep(0.03)
    env.fault(silent=True)
    await pending


@shows(call_events.BudgetSpent)
async def budget_is_spent(env):
    env.gateway.settings = env.gateway.settings._replace(
        retry_extra=0.0, retry_ratio=0.0
    )
    env.fault(reset=True)
    await env.request("a")


@shows(call_events.LinkBusy)
async def link_is_busy(env):
    env.gateway.settings = env.gateway.settings._replace(
        link_mbps=0.5, load_sharing="on"
    )
    env.put_document([harness.route("large", "download", "/large/")])
    await asyncio.sleep(0.1)
    await asyncio.gather(
        *(env.request(f"a{number}", "/large/x") for number in range(4))
    )


@shows(call_events.RetriesReserved, call_events.RetriesUnreserved)
async def servers_are_known_to_reject_requests(env):
    env.gateway.settings = env.gateway.settings._replace(load_sharing="on")
    for load in (test_precedence.REJECTING, None):
        env.gateway.service_loads.service_load = lambda *_, load=load: load
        await env.request("a")


@shows(
    events.ServerUnresponsive,
    events.ServerResponsive,
    events.ServersUnreachable,
    events.ServersReachable,
)
async def server_is_unresponsive_for_a_while(env):
    env.fault(silent=True)
    await env.request("a")
    await asyncio.sleep(5)
    for one in list(env.servers.values()):
        one.faults.silent = False
    await asyncio.sleep(1)
    await env.request("b")


@shows(events.IdleConnectionLost)
async def idle_connections_are_lost(env):
    await env.request("a")

    async def reset():
        raise ConnectionResetError("reset by the server")

    for kept in env.gateway.pools.values():
        for link in kept.idle:
            link.connection.read_head = reset
    await env.request("b")


@shows(events.ServiceWithoutLoad)
async def servers_report_no_load(env):
    for one in env.servers.values():
        one.tells_load = False
    await env.request("a")


@shows(events.SpillBegan, events.SpillEnded)
async def another_zone_has_more_room(env):
    env.register("s1", zone="zone-b")
    await asyncio.sleep(2)
    env.gateway.settings = env.gateway.settings._replace(load_sharing="on")
    full = service_load.ZoneLoad(9, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.1)
    idle = full._replace(free_share=1.0, idle_share=1.0)
    for local in (full, idle):
        loads = {"zone-a": local, "zone-b": idle}
        env.gateway.service_loads.zone_load = (
            lambda service, zone, now, loads=loads: loads[zone]
        )
        for _ in range(4):
            await env.request("a")
            await asyncio.sleep(1)


@shows(events.ServiceLoadUnknown, events.ServiceLoadKnown)
async def service_gets_no_requests_for_some_time(env):
    settings = env.gateway.settings._replace(load_sharing="on")
    env.gateway.settings = settings
    for pause_s in (7, 1):
        await env.request(f"p{pause_s}")
        await asyncio.sleep(pause_s)


@shows(events.ServerLeaving, events.ServerRemoved)
async def server_shuts_down(env):
    env.register("s0", state="draining")
    await asyncio.sleep(2)
    env.store.remove("servers", "s0")
    await asyncio.sleep(2)


@shows(
    events.StoreLost,
    events.StoreBack,
    events.RegistrationLapsed,
    events.RegistrationRestored,
)
async def registration_lapses_with_an_outage(env):
    env.store.faults.down = True
    await asyncio.sleep(4)
    env.store.remove("servers", "s0")
    env.store.faults.down = False
    await asyncio.sleep(1.2)
    env.register("s0")
    await asyncio.sleep(2)


@shows(events.ChangeHistoryLost, events.ObjectsListed)
async def change_history_is_lost(env):
    env.store.faults.down = True
    await asyncio.sleep(2)
    env.put_document()
    env.store.forget()
    env.store.faults.down = False
    await asyncio.sleep(4)


@shows(events.StoreRestored)
async def store_comes_back_from_a_copy(env):
    env.store.save_copy()
    env.put_document()
    await asyncio.sleep(1)
    env.store.restore()
    await asyncio.sleep(1)


@shows(events.DocumentOutdated)
async def document_is_older(env):
    env.version = -2
    env.put_document()
    await asyncio.sleep(1)


@shows(events.DocumentUnreadable, events.RegistrationUnreadable)
async def objects_are_unreadable(env):
    env.store.put("config", "main", {"version": "seven"})
    env.store.put("servers", "s9", {"service": 4})
    await asyncio.sleep(4)


@shows(events.DocumentRemoved)
async def document_is_removed(env):
    env.store.remove("config", "main")
    await asyncio.sleep(4)


@shows(call_events.RequestRejected)
async def request_is_malformed(env):
    _, writer = await asyncio.open_connection(harness.ADDRESS, env.port)
    writer.write(b"what is this\r\n\r\n")
    await asyncio.sleep(1)


@shows(call_events.InternalError)
async def internal_error(env):
    def fail(route):
        raise ZeroDivisionError

    env.gateway.store_view.routes.choose_service = fail
    await env.request("a")


@shows(call_events.CallsNotLogged)
async def more_calls_than_log_lines(env):
    for one in env.servers.values():
        one.work_s = 0.001
    for number in range(150):
        await env.request(f"a{number}")
    await asyncio.sleep(1.1)
    await env.request("last")


@shows(events.CallsCut)
async def drain_timeout(env):
    env.fault(mute=True)
    pending = asyncio.ensure_future(env.request("a", deadline_ms=60000))
    await asyncio.sleep(0.1)
    env.gateway.default_timeout_s = 60.0
    await env.gateway.drain(0.9)
    pending.cancel()


@shows(events.ReadsThroughRelay, events.ReadsForSubscribers, events.PeerLost)
async def peer_is_queried(env):
    first = env.gateway
    seed = f"{harness.ADDRESS}:{env.control.port}"
    await env.start_gateway(seeds=(seed,), name="d2")
    await asyncio.sleep(3)
    env.controls[0].handler = None
    await env.controls[0].close()
    await asyncio.sleep(3)
    first.listener.close()
    await first.close()


@shows(events.PeerListReceived)
async def start_during_a_store_outage(env):
    first = env.gateway
    env.store.faults.down = True
    seed = f"{harness.ADDRESS}:{env.control.port}"
    await env.start_gateway(seeds=(seed,), name="d2")
    await asyncio.sleep(3)
    first.listener.close()
    await first.close()


@shows(events.PeerMessageUnreadable)
async def peer_sends_unreadable_messages(env):
    first = env.gateway

    async def nonsense(request):
        return messages.Response(200, (), b"[")

    env.controls[0].handler = nonsense
    seed = f"{harness.ADDRESS}:{env.control.port}"
    await env.start_gateway(seeds=(seed,), name="d2")
    await asyncio.sleep(3)
    first.listener.close()
    await first.close()


@shows(events.AllowancePartTaken)
async def daemon_becomes_a_relay(env):
    seeds = (f"{harness.ADDRESS}:7501",)
    own = env.gateway.relays.own_address = f"{harness.ADDRESS}:7502"
    for named in (seeds, (own,)):
        env.gateway.reload(env.gateway.settings._replace(seeds=named))
        await asyncio.sleep(2.0)


@shows(events.RelaysChanged, events.RelaysMissing, events.SettingsNeedRestart)
async def settings_name_other_relays(env):
    settings = env.gateway.settings
    first = settings._replace(seeds=(f"{harness.ADDRESS}:7501",))
    second = first._replace(seeds=(f"{harness.ADDRESS}:7502",), zone="other")
    for reloaded in (first, second, second._replace(seeds=())):
        env.gateway.reload(reloaded)
        await asyncio.sleep(0.1)


@shows(
    events.Started,
    events.ReadinessChanged,
    events.SettingsReloaded,
    events.SettingsReloadFailed,
    events.ShuttingDown,
    events.Stopped,
)
async def daemon_lifecycle(env):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "gateway.yaml"
        text = json.dumps(
            {
                "daemon": "d9",
                "zone": "zone-a",
                "callers": f"{harness.ADDRESS}:40001",
                "ready": f"{harness.ADDRESS}:40002",
                "store": f"{harness.ADDRESS}:{env.bound.port}",
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
