"""Two members find each other and talk: `python examples/membership.py`."""

import asyncio
import time

from banyantiller.config import defaults
from banyantiller.kernel.core import Kernel
from banyantiller.kernel.events import MemberChanged
from banyantiller.membership.messages import ServersLeaving
from banyantiller.membership.peers import Peers

HERE = defaults.Endpoint("127.0.0.1", 0)


def member(name: str, seeds: tuple[defaults.Endpoint, ...]) -> Peers:
    """Builds a member that looks for others at `seeds`."""
    peers = defaults.PeerSettings(HERE, seeds, secret="only an example")
    api = defaults.ObjectApiSettings(HERE)
    callers = defaults.CallerSettings(HERE)
    settings = defaults.Settings("x", name, "yoff", callers, HERE, peers, api)
    return Peers.from_settings(settings, Kernel(), time.time, seed=1)


async def main() -> None:
    """Starts both; the second sends as soon as it knows the first."""
    first = member("first", ())
    second = member("second", (await first.start(),))
    leaving = ServersLeaving("desk", ("desk-1",))
    inbox: asyncio.Queue[tuple[str, ServersLeaving]] = asyncio.Queue()
    first.subscribe(ServersLeaving, lambda *told: inbox.put_nowait(told))
    second.kernel.subscribe(MemberChanged, lambda _: second.broadcast(leaving))
    await second.start()
    print(*await inbox.get())
    print("alive:", [entry.daemon for entry in first.alive_members()])
    await asyncio.gather(first.close(), second.close())


if __name__ == "__main__":
    asyncio.run(main())
