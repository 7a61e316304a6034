"""Tells the evidence which calls a drain did not wait for."""

from typing import TYPE_CHECKING

from banyantiller.evidence.promises import Promise
from banyantiller.kernel import events

if TYPE_CHECKING:
    from banyantiller.daemon import assembly


def report(daemon: "assembly.Daemon") -> None:
    """Emits a breach for each call in flight at the drain limit.

    It has to be called before the last summary is written; the connections
    are closed only afterwards.
    """
    for connection in daemon.proxy.callers:
        if connection.call is None:
            continue
        daemon.kernel.emit(
            events.PromiseBroken(
                Promise.SHUTDOWN_CUTS_NOTHING,
                connection.call.request_id.decode("latin-1"),
                "The call was in flight at the drain limit of its daemon.",
                daemon.wall(),
            )
        )
