"""Tests of the HTTP adapter of the VM list against the stand-in."""

import asyncio
import json

from banyantiller.config import defaults
from banyantiller.http import client, messages, server
from banyantiller.tests import base
from banyantiller.vmlist import http, interface
from standins import vm_list

ADDRESS = "127.0.0.1"
VM = {
    "name": "vm-1",
    "address": "10.0.0.1",
    "zone": "north",
    "state": "live",
    "role": "backend",
}


class HttpVmListTest(base.TestCase):
    def run_with(self, handler, check):
        """Runs `check(adapter, control)` against a server."""

        async def body():
            listener = server.HttpServer(handler)
            bound = await listener.start(ADDRESS, 0)
            control = client.HttpClient(ADDRESS, bound.port)

            async def put(target, value, method="PUT"):
                sent = json.dumps(value).encode()
                return await control.request(method, target, 9, body=sent)

            adapter = http.HttpVmList.from_settings(
                defaults.VmListSettings(defaults.Endpoint(ADDRESS, bound.port))
            )
            try:
                return await check(adapter, put)
            finally:
                await adapter.close()
                await control.close()
                await listener.close()

        return self.run_paused(body())

    def run_with_standin(self, check):
        async def body(adapter, put):
            clock["loop"] = asyncio.get_running_loop()
            await put("/standin/vms", {"vms": [VM]})
            return await check(adapter, put)

        clock = {"loop": None}

        def wall():
            return 1000 + (clock["loop"].time() if clock["loop"] else 0)

        standin = vm_list.VmListStandin(wall)
        return self.run_with(standin.handle, body)

    def test_states(self):
        async def check(adapter, put):
            live = await adapter.read()
            await put("/standin/vms/vm-1", {"state": "leaving"})
            leaving = await adapter.read()
            await put("/standin/vms/vm-1", {}, "DELETE")
            return live, leaving, await adapter.read()

        live, leaving, gone = self.run_with_standin(check)
        self.assertEqual((interface.Vm(**VM),), live.vms)
        self.assertIs(interface.VmState.LEAVING, leaving.vms[0].state)
        self.assertEqual((), gone.vms)

    def test_stale_and_lagging_lists_show_their_time(self):
        async def check(adapter, put):
            await asyncio.sleep(10)
            await put("/standin/faults", {"stale": True})
            await asyncio.sleep(10)
            await put("/standin/vms/vm-1", {"state": "leaving"})
            stale = await adapter.read()
            await put("/standin/faults", {"stale": False, "lag": 5})
            lagging = await adapter.read()
            await asyncio.sleep(5)
            return stale, lagging, await adapter.read()

        stale, lagging, late = self.run_with_standin(check)
        states = [found.vms[0].state for found in (stale, lagging, late)]
        self.assertEqual(["live", "live", "leaving"], states)
        ages = [round(found.as_of) for found in (stale, lagging, late)]
        self.assertEqual([1010, 1015, 1020], ages)

    def test_down_and_slow(self):
        async def check(adapter, put):
            await put("/standin/faults", {"down": True})
            down = await adapter.read()
            await put("/standin/faults", {"down": False, "slow": 30})
            return down, await adapter.read()

        expected = ("status 503", "no whole answer within 2 s")
        found = self.run_with_standin(check)
        self.assertEqual(
            [interface.VmListUnavailable(reason) for reason in expected],
            list(found),
        )

    def test_malformed_response(self):
        bodies = (
            b"",
            b"{}",
            b'{"as_of":1,"vms":[{"name":"a"}]}',
            json.dumps({"as_of": 1, "vms": [VM, VM]}).encode(),
            json.dumps({"as_of": 1, "vms": [{**VM, "address": "x"}]}).encode(),
            json.dumps({"as_of": 1, "vms": [{**VM, "state": "x"}]}).encode(),
        )
        left = list(bodies)

        async def handler(request):
            return messages.Response(200, (), left.pop(0))

        async def check(adapter, put):
            return [await adapter.read() for _ in bodies]

        found = self.run_with(handler, check)
        self.assertEqual(len(bodies), len(found))
        for outcome in found:
            self.assertIsInstance(outcome, interface.VmListUnavailable)
            self.assertIn("not a VM list: ", outcome.reason)
