"""A fleet of which some daemons lose their links to all servers."""

import asyncio
import enum

from banyantiller.gateway import gateway as gateways
from banyantiller.tests import base
from banyantiller.tests.gateway import crash_harness
from soak import links

# Control ports of the daemons; the first three are relays.
DAEMON_PORTS = (*crash_harness.RELAY_PORTS, 7004, 7005, 7006)
# Time after which callers of a daemon without links are served as others are.
CONTACT_S = 3.0
# Interval of calls at each daemon.
CALL_INTERVAL_S = 0.1
PLAY_S = 6.0
# Daemons that lose their links, two relays among them.
CUT_DAEMONS = (0, 1, 4, 5)


class Cut(enum.Enum):
    """How links are lost.

    Attributes:
        SILENT: Connections stay open, and no byte passes.
        RESET: Connections are reset, and new ones refused.
        HALF: Open connections live on, and new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    HALF = "half"


class LinkedGateway(gateways.Gateway):
    """A gateway that reaches each server over a link of its own.

    Attributes:
        links: Links by port of the server.
    """

    def __init__(self, *arguments):
        self.links = {}
        super().__init__(*arguments)

    def pool_of(self, server):
        """Returns the pool of a server, which connects through its link."""
        found = super().pool_of(server)
        if found.server.port in self.links:
            port = self.links[found.server.port].port
            found.server = found.server._replace(port=port)
        return found


class Fleet(crash_harness.Fleet):
    """Daemons with links to servers that can be cut."""

    ports = DAEMON_PORTS

    def __init__(self, harness):
        harness.gateway_class = LinkedGateway
        super().__init__(harness, crash_harness.CRASHING_PATH)

    async def add_daemon(self, port=0):
        """Starts one more daemon, with a link to each server."""
        daemon = await super().add_daemon(port)
        for server in self.running_servers():
            daemon.links[server.port] = await links.Link.to(
                "127.0.0.1", server.port
            )
        return daemon

    async def cut(self, daemons, how):
        """Cuts the links of some daemons to all servers."""
        for link in self._links_of(daemons):
            if how is Cut.SILENT:
                link.set(links.Trouble(held_in=True, held_out=True))
                continue
            link.shut()
            if how is Cut.RESET:
                link.reset()

    async def restore(self, daemons):
        """Restores the links of some daemons."""
        for link in self._links_of(daemons):
            link.set(links.Trouble())
            await link.open()

    async def close(self):
        """Closes all daemons and links."""
        await super().close()
        for link in self._links_of(self.daemons):
            await link.close()

    def _links_of(self, daemons):
        return [link for one in daemons for link in one.links.values()]


class PartitionTest(base.TestCase):
    """Base of tests with a fleet whose links to servers are cut."""

    def play(self, body):
        """Runs `body(fleet)` with a new fleet."""
        return crash_harness.play(body, Fleet)

    async def call(self, fleet, daemons, *arguments, for_s=PLAY_S, **more):
        """Calls daemons at intervals; returns all responses."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        calls = []
        while loop.time() < until:
            for daemon in daemons:
                call = fleet.send_request(daemon, *arguments, **more)
                calls.append(fleet.start_task(call))
            await asyncio.sleep(CALL_INTERVAL_S)
        return await asyncio.gather(*calls)

    def cut_daemons(self, fleet):
        """Returns the daemons that lose their links."""
        return [fleet.daemons[number] for number in CUT_DAEMONS]
