"""Tests of availability zones that a bundle evacuates."""

import asyncio

from banyantiller.bundle import options
from banyantiller.routing import adaptive
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

CLOSE = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
PORTS = (9001, 9002)


def in_zones(service, *evacuated):
    """Returns the service with its servers in zone-1 and zone-2."""
    servers = tuple(
        server._replace(zone=f"zone-{number}")
        for number, server in enumerate(service.servers, start=1)
    )
    return service._replace(servers=servers, evacuated_zones=evacuated)


class EvacuationTest(base.TestCase):
    async def start(self, wait_s=0.0):
        bench = await fakes.Bench.start(
            fakes.responding(wait_s=wait_s),
            fakes.responding(wait_s=wait_s),
            create=adaptive.create,
        )
        self.version = 1
        return bench

    def evacuate(self, bench, *zones):
        self.version += 1
        service = in_zones(fakes.make_service(list(PORTS)), *zones)
        bundle = options.Bundle((service,))
        bench.proxy.apply(bundle, self.version, 1000.0)

    def test_evacuated_zone_gets_no_new_calls_until_it_is_restored(self):
        async def body():
            bench = await self.start()
            self.evacuate(bench, "zone-1")
            for _ in range(10):
                self.assertIn(b" 200 ", await bench.exchange(CLOSE))
            servers = {call.server for call in bench.finished}
            self.assertEqual({"server-9002"}, servers)
            self.evacuate(bench)
            for _ in range(20):
                await bench.exchange(CLOSE)
            servers = {call.server for call in bench.finished}
            self.assertEqual({"server-9001", "server-9002"}, servers)
            await bench.proxy.close()

        self.run_paused(body())

    def test_running_calls_are_not_cut(self):
        async def body():
            bench = await self.start(wait_s=1.0)
            running = asyncio.create_task(bench.exchange(CLOSE))
            await asyncio.sleep(0.5)
            self.evacuate(bench, "zone-1", "zone-2")
            self.assertIn(b" 200 ", await running)
            await bench.proxy.close()

        self.run_paused(body())

    def test_call_without_another_zone_is_rejected_as_not_run(self):
        async def body():
            bench = await self.start()
            self.evacuate(bench, "zone-1", "zone-2")
            started_at = asyncio.get_running_loop().time()
            response = await bench.exchange(CLOSE)
            took_s = asyncio.get_running_loop().time() - started_at
            self.assertIn(b" 503 ", response)
            self.assertLess(took_s, 0.05)
            self.assertIn(b"retry-after", response.lower())
            self.assertIn(
                b"no", response.lower().split(b"request-ran: ")[1][:3]
            )
            await bench.proxy.close()

        self.run_paused(body())
