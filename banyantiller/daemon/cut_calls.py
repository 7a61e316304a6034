"""Records the calls that are cut at the drain limit as breaches."""

from typing import TYPE_CHECKING

from banyantiller.evidence.promises import Promise
from banyantiller.kernel import events

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

IN_FLIGHT = "The call was in flight at the drain limit of its daemon."
TRUNCATED = "The answer had begun and was cut at the drain limit."


def report(daemon: "assembly.Daemon") -> None:
    """Emits breaches for each call in flight at the drain limit.

    A response that a slow caller has not read completely counts as well. This
    must run before the last summary of the evidence is written; the connections
    are closed only afterwards.
    """
    for connection in daemon.proxy.callers:
        call = connection.call
        request_id = "" if call is None else call.request_id.decode("latin-1")
        has_unsent_bytes = connection.transport.get_write_buffer_size() > 0
        has_begun = call is not None and call.status != 0
        if call is not None or has_unsent_bytes:
            _emit_breach(
                daemon, request_id, Promise.SHUTDOWN_CUTS_NOTHING, IN_FLIGHT
            )
        if has_begun or has_unsent_bytes:
            _emit_breach(
                daemon, request_id, Promise.WHOLE_OWN_ANSWER, TRUNCATED
            )


def _emit_breach(
    daemon: "assembly.Daemon", request_id: str, promise: Promise, detail: str
) -> None:
    daemon.kernel.emit(
        events.PromiseBroken(promise, request_id, detail, daemon.wall())
    )
