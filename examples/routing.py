"""Calls the routing decisions directly: `python examples/routing.py`."""

import itertools
import time

from banyantiller.bundle.options import Service
from banyantiller.errors import Ran
from banyantiller.routing import adaptive
from banyantiller.routing.types import AttemptResult, Call, ServerState

SERVERS = tuple(ServerState(f"desk-{n}", "yoff", slots=1) for n in (1, 2))


def main() -> None:
    """Submits calls until one has to wait, then completes the first."""
    now, desk = time.monotonic(), Service("desk", ())
    dispatcher = adaptive.create(
        desk,
        SERVERS,
        daemon="daemon-1",
        zone="yoff",
        seed=1,
        now=now,
        charge=lambda _: False,
    )
    call_ids = itertools.count(1)
    while started := dispatcher.submit(
        Call(next(call_ids), idempotent=True, deadline=now + 1), now
    ):
        print(started)
    print("all slots are in use, so this call waits")
    result = AttemptResult(ok=True, ran=Ran.YES, status=200)
    print(dispatcher.attempt_head(1, result, now + 0.01))
    print(dispatcher.attempt_done(1, now + 0.01))


if __name__ == "__main__":
    main()
