"""A fleet whose relays are lost and replaced while it runs."""

import asyncio

from banyantiller.tests.gateway import crash_harness, harness

# The first three are relays at the start.
DAEMON_PORTS = (7001, 7002, 7003, 7004, 7005, 7006, 7007, 7008)
# Time from the loss of a relay until the settings name another.
SETTINGS_LAG_S = 3.0
# Pause between two replacements.
PAUSE_S = 3.0


def addresses(ports):
    """Returns the addresses of daemons, as settings name them."""
    return tuple(f"{harness.ADDRESS}:{port}" for port in ports)


class Fleet(crash_harness.Fleet):
    """Daemons each of which may become a relay.

    Attributes:
        relay_ports: Control ports of the relays that the settings name.
        running: Daemons that were not lost, by control port.
    """

    ports = DAEMON_PORTS

    def __init__(self, env):
        super().__init__(env, crash_harness.CRASHING_PATH)
        self.relay_ports = list(crash_harness.RELAY_PORTS)
        self.running = {}

    async def add_daemon(self, port=0):
        """Starts one more daemon and returns it."""
        self.running[port] = await super().add_daemon(port)
        return self.running[port]

    async def lose(self, port):
        """Ends a daemon for good, without notice."""
        daemon = self.running.pop(port)
        for connection in list(daemon.connections):
            connection.transport.abort()
        daemon.listener.close()
        await daemon.close()
        await self.harness.controls[self.daemons.index(daemon) + 1].close()

    def name_relays(self, ports, daemons=None):
        """Names relays in the settings of some daemons, by default of all."""
        self.relay_ports = list(ports)
        for daemon in daemons or self.running.values():
            daemon.reload(daemon.settings._replace(seeds=addresses(ports)))

    async def replace_relays(self):
        """Loses the relays one by one; each time, settings name another."""
        for port in crash_harness.RELAY_PORTS:
            await self.lose(port)
            await asyncio.sleep(SETTINGS_LAG_S)
            named = set(self.relay_ports) - {port}
            others = [one for one in self.running if one not in named]
            self.name_relays([*sorted(named), others[0]])
            await asyncio.sleep(PAUSE_S)


def play(body):
    """Runs `body(fleet)` with a new fleet, on a paused clock."""
    return crash_harness.play(body, Fleet)
