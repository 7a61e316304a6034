"""Drives the routing decisions by hand: `python examples/routing.py`."""

import time

from banyantiller.bundle.options import Service
from banyantiller.errors import Ran
from banyantiller.routing import adaptive
from banyantiller.routing.types import AttemptResult, Call, ServerState, Start

SERVERS = tuple(ServerState(f"desk-{n}", "yoff", slots=1) for n in (1, 2))


def main() -> None:
    """Sends three calls to two servers with one slot each."""
    now = time.monotonic()
    dispatcher = adaptive.create(
        Service("desk", ()),
        SERVERS,
        daemon="daemon-1",
        zone="yoff",
        seed=1,
        now=now,
        charge=lambda _: False,
    )
    starts: list[Start] = []
    for number in (1, 2, 3):
        call = Call(number, idempotent=True, deadline=now + 1)
        actions = dispatcher.submit(call, now)
        starts += [a for a in actions if isinstance(a, Start)]
        print("call", number, [a.server for a in actions] or "waits")
    done = starts[0].attempt_id
    head = AttemptResult(ok=True, ran=Ran.YES, status=200)
    print(dispatcher.attempt_head(done, head, now + 0.01))
    print(dispatcher.attempt_done(done, now + 0.01))


if __name__ == "__main__":
    main()
