"""Tells the other daemons which requests end servers, and hears of them.

What is new is told to all linked peers, which pass on what is new to them. A
peer that was linked is told all: it may just have started.
"""

import asyncio
from typing import TYPE_CHECKING

from banyantiller.kernel import events
from banyantiller.membership import messages
from banyantiller.quarantine import crash_table

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

EXPIRE_S = 1.0


def start(daemon: "assembly.Daemon") -> None:
    """Connects the data path's part with the other daemons."""
    known = daemon.proxy.crash_detector
    peers = daemon.peers

    def on_news(event: events.RequestsSuspected) -> None:
        now = asyncio.get_running_loop().time()
        told = known.watch.table.export_records(event.fingerprints, now)
        peers.broadcast(_message(told))

    def on_told(sender: str, message: messages.SuspectRequests) -> None:
        told = _records(message)
        if not known.receive_records(told):
            return
        now = asyncio.get_running_loop().time()
        names = [fields["fingerprint"] for fields in told]
        passed_on = known.watch.table.export_records(names, now)
        peers.broadcast(_message(passed_on), exclude=sender)

    def on_link(peer: str) -> None:
        now = asyncio.get_running_loop().time()
        told = known.watch.table.export_changes(now)
        if told:
            peers.send(peer, _message(told))

    async def keep_house() -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            known.expire()

    daemon.kernel.subscribe(events.RequestsSuspected, on_news)
    peers.subscribe(messages.SuspectRequests, on_told)
    peers.on_link.append(on_link)
    daemon.kernel.start("quarantine", keep_house)


def _message(told: list[crash_table.RecordFields]) -> messages.SuspectRequests:
    return messages.SuspectRequests(
        tuple(
            messages.SuspectRequest(
                fields["fingerprint"],
                tuple(messages.ServerCrash(**end) for end in fields["ends"]),
                fields["answered_age_ms"],
            )
            for fields in told
        )
    )


def _records(
    message: messages.SuspectRequests,
) -> list[crash_table.RecordFields]:
    return [
        crash_table.RecordFields(
            fingerprint=request.fingerprint,
            ends=[
                crash_table.CrashFields(**end._asdict()) for end in request.ends
            ],
            answered_age_ms=request.answered_age_ms,
        )
        for request in message.requests
    ]
