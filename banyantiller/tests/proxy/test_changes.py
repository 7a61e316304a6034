"""Tests of planned changes: bundles, leaving servers, drain, alive daemons."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest import mock

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind
from banyantiller.kernel import events
from banyantiller.proxy import driver
from banyantiller.routing import types
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CLOSE = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
DRAINING = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"endpoint-load-metrics: TEXT named_metrics.in_flight=3,"
    b" named_metrics.draining=%d\r\n\r\nok"
)


class ChangesTest(base.TestCase):
    def test_running_call_ends_under_its_bundle(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(
                fakes.responding(wait_s=1.0), fakes.responding()
            )
            running = asyncio.create_task(bench.exchange(CLOSE))
            await asyncio.sleep(0.5)
            other = fakes.make_service([9002])
            bench.proxy.apply(options.Bundle((other,)), 2, 1000.0)
            await bench.exchange(CLOSE)
            self.assertIn(b" 200 ", await running)
            new, old = bench.finished
            self.assertEqual(("server-9002", 2), (new.server, new.bundle))
            self.assertEqual(("server-9001", 1), (old.server, old.bundle))
            await asyncio.sleep(0.1)
            eof = await bench.servers[0].connections[0].reader.read()
            self.assertEqual(b"", eof)
            await bench.proxy.close()

        self.run_paused(body())

    def test_removed_service_completes_its_calls(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding(wait_s=1.0))
            running = asyncio.create_task(bench.exchange(CLOSE))
            await asyncio.sleep(0.5)
            bench.proxy.apply(options.Bundle(()), 2, 1000.0)
            self.assertIn(b" 404 ", await bench.exchange(CLOSE))
            self.assertIn(b" 200 ", await running)
            await asyncio.sleep(0)
            self.assertEqual([], bench.proxy.services.retired)
            await bench.proxy.close()

        self.run_paused(body())

    def test_bundle_that_cannot_be_applied_keeps_the_previous_one(
        self,
    ) -> None:
        """The routing of one service of version 2 can't be created.

        Version 1 has to stay in force, including its routes. When routes were
        replaced one by one, a request for a service after the failing one got
        `404 unknown_service`, although both versions have that service.
        """

        async def body() -> None:
            def create(
                service: options.Service, *others: Any
            ) -> types.Dispatcher:
                if service.name == "broken":
                    raise ValueError("a fault of the routing")
                return fakes.RoundRobin.create(service, *others)

            bench = await fakes.Bench.start(fakes.responding(), create=create)
            orders = fakes.make_service([9001])
            broken = orders._replace(name="broken", path="/broken")
            bundle = options.Bundle((broken, orders))
            self.assertRaises(ValueError, bench.proxy.apply, bundle, 2, 1000.0)
            self.assertIn(b" 200 ", await bench.exchange(CLOSE))
            self.assertEqual(1, bench.finished[-1].bundle)
            self.assertEqual(["orders"], list(bench.proxy.drivers))
            bench.proxy.apply(options.Bundle((orders,)), 3, 1000.0)
            self.assertIn(b" 200 ", await bench.exchange(CLOSE))
            self.assertEqual(3, bench.finished[-1].bundle)
            await bench.proxy.close()

        self.run_paused(body())

    def test_drivers_of_a_bundle_that_cannot_be_applied_are_closed(
        self,
    ) -> None:
        """The routing of the last service of a bundle can't be created.

        The drivers of earlier services were created already and belong to no
        bundle. Unless they are closed, each such bundle leaks a driver and
        its timer until the process ends.
        """

        async def body() -> None:
            closed = []

            def create(
                service: options.Service, *others: Any
            ) -> types.Dispatcher:
                if service.name == "broken":
                    raise ValueError("a fault of the routing")
                return fakes.RoundRobin.create(service, *others)

            bench = await fakes.Bench.start(fakes.responding(), create=create)
            orders = fakes.make_service([9001])
            fresh = orders._replace(name="fresh", path="/fresh")
            broken = orders._replace(name="broken", path="/broken")
            bundle = options.Bundle((orders, fresh, broken))
            with mock.patch.object(
                driver.ServiceDriver,
                "close",
                lambda found: closed.append(found.service.name),
            ):
                self.assertRaises(
                    ValueError, bench.proxy.apply, bundle, 2, 1000.0
                )
            self.assertEqual(["fresh"], closed)
            await bench.proxy.close()

        self.run_paused(body())

    def test_shares_follow_their_stages(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding())
            shares = [
                (options.Share("main", 100.0 - n), options.Share("new", n))
                for n in (0.0, 50.0)
            ]
            service = fakes.make_service([9001])._replace(
                shares=shares[0], stages=(options.Stage(5.0, shares[1]),)
            )
            loop = asyncio.get_running_loop()
            begin = loop.time()
            bench.proxy.services.wall = lambda: 1000.0 + loop.time() - begin
            bench.proxy.apply(options.Bundle((service,)), 2, 1000.0)
            dispatcher = bench.proxy.drivers["orders"].dispatcher
            self.assertEqual(shares[0], dispatcher.service.shares)
            await asyncio.sleep(5.1)
            self.assertEqual(shares[1], dispatcher.service.shares)
            await bench.proxy.close()

        self.run_paused(body())

    def test_server_that_reports_draining_gets_no_new_requests(self) -> None:
        async def body() -> None:
            seen: list[bytes] = []
            leaving: list[events.ServerLeaving] = []
            bench = await fakes.Bench.start(
                fakes.responding(DRAINING % 1, seen), fakes.responding()
            )
            bench.proxy.kernel.subscribe(events.ServerLeaving, leaving.append)
            for _ in range(4):
                self.assertIn(b" 200 ", await bench.exchange(CLOSE))
            self.assertEqual(1, len(seen))
            self.assertEqual(["server-9001"], [item.server for item in leaving])
            # The server returns under the same name; a probe detects it.
            bench.servers[0].script = fakes.responding(DRAINING % 0, seen)
            await asyncio.sleep(6)
            for connection in bench.servers[0].connections:
                connection.reset()
            await asyncio.sleep(6)
            await bench.exchange(CLOSE)
            self.assertEqual("server-9001", bench.finished[-1].server)
            await bench.proxy.close()

        self.run_paused(body())

    def test_attempts_waiting_for_a_connection_are_rerouted(self) -> None:
        async def body(leave: Callable[[fakes.Bench], None]) -> None:
            first: list[bytes] = []
            second: list[bytes] = []
            bench = await fakes.Bench.start(
                fakes.responding(seen=first, wait_s=5.0),
                fakes.responding(seen=second),
                connections=1,
            )
            running = asyncio.create_task(bench.exchange(GET))
            await asyncio.sleep(0.1)
            waiting = asyncio.create_task(bench.exchange(GET))
            await asyncio.sleep(0.1)
            leave(bench)
            for response in await asyncio.gather(running, waiting):
                self.assertIn(b" 200 ", response)
            self.assertEqual((1, 1), (len(first), len(second)))
            await bench.proxy.close()

        def by_vm_list(bench: fakes.Bench) -> None:
            bench.proxy.server_leaving("orders", "server-9001", "vm_list")

        def by_bundle(bench: fakes.Bench) -> None:
            service = fakes.make_service([9002, 9003], connections=1)
            bench.proxy.apply(options.Bundle((service,)), 2, 1000.0)

        self.run_paused(body(by_vm_list))
        self.run_paused(body(by_bundle))

    def test_probe_does_not_return_a_server_that_the_vm_list_removes(
        self,
    ) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding())
            driver = bench.proxy.drivers["orders"]
            for reason in ("drain_answer", "vm_list"):
                bench.proxy.server_leaving("orders", "server-9001", reason)
            driver.probe_succeeded(
                "server-9001", types.LoadReport(0, source="probe")
            )
            self.assertIn(b" 503 ", await bench.exchange(CLOSE))
            bench.proxy.server_returned("orders", "server-9001")
            self.assertIn(b" 200 ", await bench.exchange(CLOSE))
            await bench.proxy.close()

        self.run_paused(body())

    def test_call_event_names_the_unresponsive_server(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding(wait_s=60.0))
            short_deadline = CLOSE.replace(
                b"Host", b"X-Request-Deadline-Ms: 500\r\nHost"
            )
            self.assertIn(b" 504 ", await bench.exchange(short_deadline))
            self.assertEqual("server-9001", bench.finished[0].server)
            await bench.proxy.close()

        self.run_paused(body())

    def test_drain_cuts_nothing(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding(wait_s=3.0))
            idle = await bench.connect()
            long = asyncio.create_task(bench.exchange(GET))
            await asyncio.sleep(0.1)
            drained = asyncio.create_task(bench.proxy.drain(1.0, 20.0))
            await asyncio.sleep(0.5)
            late = asyncio.create_task(bench.exchange(GET))
            await asyncio.sleep(1.0)
            self.assertEqual(b"", await idle.reader.read())
            refused = None
            try:
                await bench.connect()
            except ConnectionRefusedError as error:
                refused = error
            self.assertIsNotNone(refused)
            for response in await asyncio.gather(long, late):
                self.assertIn(b"Connection: close", response)
                self.assertTrue(response.endswith(b"ok"))
            self.assertEqual(0, await drained)
            self.assertFalse(any(item.cut for item in bench.finished))
            await bench.proxy.close()

        self.run_paused(body())

    def test_drain_counts_calls_cut_at_its_limit(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding(wait_s=9.0))
            running = asyncio.create_task(bench.exchange(CLOSE))
            await asyncio.sleep(0.1)
            self.assertEqual(1, await bench.proxy.drain(0.0, 2.0))
            await bench.proxy.close()
            self.assertEqual(b"", await running)
            self.assertEqual(ErrorKind.CALLER_GONE, bench.finished[0].error)

        self.run_paused(body())

    def test_drain_counts_responses_not_read_yet(self) -> None:
        async def body() -> None:
            size = 96 * 1024
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
            bench = await fakes.Bench.start(
                fakes.responding(head + bytes(size))
            )
            caller = await bench.connect()
            caller.writer.transport.pause_reading()
            await caller.send(GET)
            await asyncio.sleep(1)
            self.assertEqual(1, await bench.proxy.drain(0.0, 1.0))
            await bench.proxy.close()

        self.run_paused(body())

    def test_close_settles_the_claims_of_the_calls_it_cuts(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(
                fakes.responding(wait_s=60.0), connections=1
            )
            callers = [await bench.connect() for _ in range(2)]
            keys = (b"sent", b"waiting")
            for caller, key in zip(callers, keys, strict=True):
                await caller.send(
                    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                    b"Idempotency-Key: %b\r\n\r\n" % key
                )
                await asyncio.sleep(0.1)
            await bench.proxy.close()
            self.assertEqual(
                {("mark_unknown", "sent"), ("release", "waiting")},
                set(bench.claims.settled),
            )

        self.run_paused(body())

    def test_connection_limit_is_split_among_daemons(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(
                fakes.responding(wait_s=0.1), connections=10
            )
            bench.proxy.set_alive_daemons(3)
            exchanges = [bench.exchange(CLOSE) for _ in range(9)]
            responses = await asyncio.gather(*exchanges)
            self.assertTrue(all(b" 200 " in item for item in responses))
            self.assertEqual(3, len(bench.servers[0].connections))
            bench.proxy.set_alive_daemons(100)
            await bench.exchange(CLOSE)
            pool = bench.proxy.drivers["orders"].pools["server-9001"]
            self.assertEqual((1, 1), (pool.limit, len(pool.open_connections)))
            shared = bench.proxy.own_load()
            self.assertEqual({"orders": {"server-9001": 0.0}}, shared)
            await bench.proxy.close()

        self.run_paused(body())

    def test_idle_connections_to_a_server_are_closed(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding())
            await bench.exchange(CLOSE)
            pool = bench.proxy.drivers["orders"].pools["server-9001"]
            await asyncio.sleep(29)
            self.assertEqual(1, len(pool.idle))
            await asyncio.sleep(3)
            self.assertEqual(
                (0, 0), (len(pool.idle), len(pool.open_connections))
            )
            await bench.proxy.close()

        self.run_paused(body())

    def test_probe_reports_load_or_fails(self) -> None:
        async def body() -> None:
            seen: list[bytes] = []
            bench = await fakes.Bench.start(
                fakes.responding(DRAINING % 0, seen), fakes.responding(), None
            )
            driver = bench.proxy.drivers["orders"]
            for number in (1, 2, 3):
                driver._probe(f"server-900{number}")
            await asyncio.sleep(3)
            self.assertTrue(seen[0].startswith(b"GET /healthz HTTP/1.1"))
            ((server, report),) = driver.dispatcher.reports
            self.assertEqual(("server-9001", 3.0), (server, report.in_flight))
            self.assertEqual("probe", report.source)
            failed = sorted(driver.dispatcher.failed_probes)
            self.assertEqual(["server-9002", "server-9003"], failed)
            await bench.proxy.close()

        self.run_paused(body())
