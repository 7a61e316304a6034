"""Runs a daemon whose routing may be one of the bench's usual choosers.

`python -m bench.load_daemon SETTINGS` is `banyantillerd SETTINGS` with the
choosers of `bench.decisions_rivals` added as routing plug-ins.
"""

import functools
import sys
from collections.abc import Callable
from typing import Any

from banyantiller import plugins
from banyantiller.bundle import options
from banyantiller.daemon import run
from banyantiller.routing import types
from bench import decisions_rivals as rivals


def create(
    pick: Callable[..., Any],
    service: options.Service,
    servers: tuple[types.ServerState, ...],
    daemon: str,
    zone: str,
    seed: int,
    now: float,
    charge: Callable[[float], bool],
) -> types.Dispatcher:
    """Builds a dispatcher around a chooser; see `routing.types`."""
    del daemon, now, charge
    return rivals.usual(pick, service, servers, zone, seed)


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
