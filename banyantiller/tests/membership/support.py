"""Runs several `Peers` in one process over sockets of the paused loop."""

import asyncio
import dataclasses
import random

from banyantiller.config import defaults
from banyantiller.kernel import core, events
from banyantiller.membership import peers as peering

FIRST_PORT = 7000
EPOCH = 1_800_000_000.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
SECRET = "one secret of the fleet"


def wall() -> float:
    """Returns wall-clock seconds that follow the paused loop."""
    return EPOCH + asyncio.get_running_loop().time()


def endpoint(index: int) -> defaults.Endpoint:
    return defaults.Endpoint("127.0.0.1", FIRST_PORT + index)


def settings(
    index: int, seeds: int | tuple = 2, **peers: object
) -> defaults.Settings:
    """Returns settings of daemon `index`; the first daemons are seeds."""
    if isinstance(seeds, int):
        seeds = tuple(endpoint(i) for i in range(seeds))
    fields = {
        "listen": endpoint(index),
        "seeds": seeds,
        "secret": SECRET,
        **peers,
    }
    return defaults.Settings(
        deployment="registry",
        daemon=f"d{index}",
        zone=ZONES[index % len(ZONES)],
        callers=defaults.CallerSettings(listen=endpoint(1000 + index)),
        admin=endpoint(2000 + index),
        peers=defaults.PeerSettings(**fields),
        object_api=defaults.ObjectApiSettings(endpoint=endpoint(3000)),
    )


@dataclasses.dataclass
class Node:
    """The membership of one daemon and the changes that it emitted."""

    settings: defaults.Settings
    kernel: core.Kernel
    peers: peering.Peers
    changes: list[events.MemberChanged]

    @property
    def name(self) -> str:
        return self.settings.daemon

    def alive(self) -> set[str]:
        return {
            entry.daemon
            for entry in self.peers.alive_members(include_suspects=False)
        }

    def state(self, daemon: str) -> int | None:
        entry = self.peers.table.entries.get(daemon)
        return entry.state if entry else None

    async def start(self) -> None:
        await self.peers.start()

    async def close(self) -> None:
        await self.peers.close()
        await self.kernel.stop()

    async def kill(self) -> None:
        """Simulates a crash: links are lost and the port is closed."""
        await self.kernel.stop()
        await self.peers.dialer.close()
        for link in list(self.peers.links.by_peer.values()):
            link.close_code = 1000
            link.abort()
        self.peers.links.server.close()
        await self.peers.links.server.wait_closed()


def node(node_settings: defaults.Settings, seed: int = 1) -> Node:
    kernel = core.Kernel(seed)
    changes: list[events.MemberChanged] = []
    kernel.subscribe(events.MemberChanged, changes.append)
    peers = peering.Peers.from_settings(node_settings, kernel, wall, seed)
    return Node(node_settings, kernel, peers, changes)


async def start_fleet(count: int, **peers: object) -> list[Node]:
    nodes = [node(settings(index, **peers)) for index in range(count)]
    for item in nodes:
        await item.start()
    return nodes


async def close_fleet(nodes: list[Node]) -> None:
    await asyncio.gather(*(item.close() for item in nodes))


def drop_link_messages(one: Node, other: Node) -> None:
    """Drops all messages between two nodes while their link stays open."""
    for here, there in ((one, other), (other, one)):
        link = here.peers.links.by_peer.get(there.name)
        if link is not None:
            link.send = _drop


async def _drop(data: bytes) -> None:
    await asyncio.sleep(0)


def reachable(nodes: list[Node]) -> set[str]:
    """Returns the names that the first node reaches over links."""
    by_name = {item.name: item for item in nodes}
    reached = {nodes[0].name}
    pending = [nodes[0]]
    while pending:
        for name in pending.pop().peers.linked_peers():
            if name in by_name and name not in reached:
                reached.add(name)
                pending.append(by_name[name])
    return reached


def shuffled(items: list, seed: int) -> list:
    rng = random.Random(seed)
    return rng.sample(items, len(items))
