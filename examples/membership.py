"""Two members join and exchange a message: `python examples/membership.py`."""

import asyncio
import time

from banyantiller.config import defaults
from banyantiller.kernel.core import Kernel
from banyantiller.kernel.events import MemberChanged
from banyantiller.membership.messages import ServersLeaving
from banyantiller.membership.peers import Peers

LOCAL = defaults.Endpoint("127.0.0.1", 0)


def member(name: str, seeds: tuple[defaults.Endpoint, ...]) -> Peers:
    """Builds a member that joins through `seeds`."""
    peers = defaults.PeerSettings(LOCAL, seeds, secret="only an example")
    api = defaults.ObjectApiSettings(LOCAL)
    callers = defaults.CallerSettings(LOCAL)
    settings = defaults.Settings("x", name, "yoff", callers, LOCAL, peers, api)
    return Peers.from_settings(settings, Kernel(), time.time, seed=1)


async def main() -> None:
    """Starts both; the second sends once it has discovered the first."""
    first = member("first", ())
    second = member("second", (await first.start(),))
    leaving = ServersLeaving("desk", ("desk-1",))
    received: asyncio.Queue[tuple[str, ServersLeaving]] = asyncio.Queue()
    first.subscribe(ServersLeaving, lambda *item: received.put_nowait(item))
    second.kernel.subscribe(MemberChanged, lambda _: second.broadcast(leaving))
    await second.start()
    print(*await received.get())
    print("alive:", [entry.daemon for entry in first.alive_members()])
    await asyncio.gather(first.close(), second.close())


if __name__ == "__main__":
    asyncio.run(main())
