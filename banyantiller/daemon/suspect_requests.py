"""Exchanges records of requests that may crash servers with the peers.

New records are sent to all linked peers, which forward those that are new to
them. A newly linked peer receives all records, since it may have just started.
"""

import asyncio
from typing import TYPE_CHECKING

from banyantiller.kernel import events
from banyantiller.membership import messages
from banyantiller.quarantine import crash_table

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

EXPIRY_PERIOD_S = 1.0


def start(daemon: "assembly.Daemon") -> None:
    """Connects the crash detector of the data path with the peers."""
    detector = daemon.proxy.crash_detector
    peers = daemon.peers

    def on_suspected(event: events.RequestsSuspected) -> None:
        now = asyncio.get_running_loop().time()
        records = detector.tracker.table.export_records(event.fingerprints, now)
        peers.broadcast(_build_message(records))

    def on_message(sender: str, message: messages.SuspectRequests) -> None:
        records = _build_records(message)
        if not detector.receive_records(records):
            return
        now = asyncio.get_running_loop().time()
        fingerprints = [fields["fingerprint"] for fields in records]
        forwarded = detector.tracker.table.export_records(fingerprints, now)
        peers.broadcast(_build_message(forwarded), exclude=sender)

    def on_link(peer: str) -> None:
        now = asyncio.get_running_loop().time()
        records = detector.tracker.table.export_changes(now)
        if records:
            peers.send(peer, _build_message(records))

    async def expire_records() -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            detector.expire()

    daemon.kernel.subscribe(events.RequestsSuspected, on_suspected)
    peers.subscribe(messages.SuspectRequests, on_message)
    peers.on_link.append(on_link)
    daemon.kernel.start("quarantine", expire_records)


def _build_message(
    records: list[crash_table.RecordFields],
) -> messages.SuspectRequests:
    return messages.SuspectRequests(
        tuple(
            messages.SuspectRequest(
                fields["fingerprint"],
                tuple(
                    messages.ServerCrash(**crash) for crash in fields["ends"]
                ),
                fields["answered_age_ms"],
            )
            for fields in records
        )
    )


def _build_records(
    message: messages.SuspectRequests,
) -> list[crash_table.RecordFields]:
    return [
        crash_table.RecordFields(
            fingerprint=request.fingerprint,
            ends=[
                crash_table.CrashFields(**crash._asdict())
                for crash in request.ends
            ],
            answered_age_ms=request.answered_age_ms,
        )
        for request in message.requests
    ]
