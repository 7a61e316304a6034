"""Runs a daemon whose routing may be one of the bench's usual choosers.

`python -m bench.load_daemon SETTINGS` is `banyantillerd SETTINGS` with the
choosers of `bench.decisions_rivals` added as routing plug-ins.
"""

import functools
import random
import sys
from collections.abc import Callable

from banyantiller import plugins
from banyantiller.bundle import options
from banyantiller.daemon import run
from banyantiller.routing import types
from bench import decisions_rivals as rivals


class PlainDispatcher(rivals.UsualDispatcher):
    """A usual chooser with the rest of what a daemon asks for."""

    def cancel(self, call_id: int, now: float) -> list[types.Action]:
        """The caller is gone; forgets the call and its tries."""
        del now
        self.calls.pop(call_id, None)
        own = [n for n, (call, _) in self.attempts.items() if call == call_id]
        for number in own:
            self.forget(number)
        return [types.Cancel(number) for number in own]

    def attempt_done(self, attempt_id: int, now: float) -> list[types.Action]:
        """Takes the end of an answer."""
        if attempt_id not in self.attempts:
            return []
        return super().attempt_done(attempt_id, now)

    def report(
        self, server: str, report: types.LoadReport, now: float
    ) -> list[types.Action]:
        """Ignores reports."""
        del server, report, now
        return []

    def probe_failed(self, server: str, now: float) -> list[types.Action]:
        """Ignores probes."""
        del server, now
        return []

    def members(self, alive: int, now: float) -> None:
        """Ignores other daemons."""

    def peer_load(
        self, peer: str, loads: dict[str, float], age_s: float, now: float
    ) -> None:
        """Ignores what peers tell."""

    def shared_load(self, now: float) -> dict[str, float]:
        """Tells peers nothing."""
        del now
        return {}


def create(
    pick: Callable[..., str],
    service: options.Service,
    servers: tuple[types.ServerState, ...],
    daemon: str,
    zone: str,
    seed: int,
    now: float,
    charge: Callable[[float], bool],
) -> PlainDispatcher:
    """Builds a dispatcher around a chooser; see `routing.types`."""
    del daemon, zone, now, charge
    return PlainDispatcher(service, servers, random.Random(seed), pick)


def with_choosers(
    load: Callable[[], plugins.Registry],
) -> Callable[[], plugins.Registry]:
    """Returns a loader of plug-ins that adds the choosers."""

    def load_more() -> plugins.Registry:
        registry = load()
        for name, pick in rivals.PICKS.items():
            registry.add("routing", name, functools.partial(create, pick))
        return registry

    return load_more


if __name__ == "__main__":
    plugins.Registry.from_entry_points = with_choosers(
        plugins.Registry.from_entry_points
    )
    sys.exit(run.run(sys.argv[1:]))
