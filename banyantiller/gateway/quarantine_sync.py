"""Synchronises between daemons which requests crash servers.

Relays collect the observations of all daemons: each daemon sends its own to all
relays at once, and the relays fetch from one another what they missed. Records
that concern the whole fleet, those of requests with which two servers or more
crashed, reach all subscribers of the relays: each reply to a query for changes
of the store carries a mark, and a daemon that receives a new mark fetches the
records behind it. A daemon that starts receives the mark with the reply to its
first query.

Lost messages are sent again, and neither order nor duplicates matter: see
`quarantine.crash_table`.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import TypedDict
from urllib import parse

import msgspec

from banyantiller.gateway import crash_detection, events, peers, relays
from banyantiller.http import messages, outcomes
from banyantiller.quarantine import crash_table
from banyantiller.utils import decoding

PATH = "/quarantine/"
LIFT = PATH + "lift"
# Value of the query parameter `all` in queries of a relay.
ALL = "1"
# A single crash tells daemons that did not observe it nothing about a request.
MIN_SHARED_CRASHES = 2
# Observations made within this time are sent in one message: a server that
# crashes usually has several requests running.
BATCH_S = 0.02
# Delay before a new mark is announced, so that hundreds of waiting subscribers
# are not woken for each of many servers that crash together.
ANNOUNCE_DELAY_S = 0.05
# Interval at which relays fetch from one another.
FETCH_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 0.4
# All daemons send their records to a restarted relay within this time.
RESEND_SPREAD_S = 0.5
# Pause before a message is sent again to a relay that gave no response, and the
# maximum number of attempts: a relay that starts later fetches the records from
# the other relays.
RETRY_PAUSE_S = 0.3
MAX_ATTEMPTS = 10


class Message(TypedDict):
    """Records in a message between daemons; `mark` names their state."""

    mark: str
    records: list[crash_table.RecordFields]


class QuarantineSync:
    """Exchanges records of requests that crash servers with other daemons.

    Attributes:
        tracker: Records of this daemon.
        fleet_relays: The relays in use.
        incarnation: Distinguishes this process from earlier ones of the daemon.
        shown_revision: Revision of the table that the mark stands for.
        on_mark_change: Called when the mark has changed.
        fetched_marks: Mark of the last fetched state, by the address of the
            relay.
        incarnations: Incarnation in the last received mark, by the address of
            the relay.
        unsent: Fingerprints of the requests whose records have to be sent, by
            the address of the relay.
        tasks: Running sends, fetches and announcements, by name.
    """

    def __init__(
        self,
        crash_detector: crash_detection.CrashDetector,
        fleet_relays: relays.Relays,
        rng: random.Random,
    ) -> None:
        self.tracker = crash_detector.tracker
        self.fleet_relays = fleet_relays
        self.random = rng
        self.incarnation = f"{rng.getrandbits(32):08x}"
        self.shown_revision = 0
        self.on_mark_change: Callable[[], None] = lambda: None
        self.fetched_marks: dict[str, str] = {}
        self.incarnations: dict[str, str] = {}
        self.unsent: dict[str, set[str]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.loop = asyncio.get_running_loop()
        crash_detector.on_change = self.publish
        fleet_relays.on_change.append(self._change_relays)

    async def run(self) -> None:
        """Fetches from the other relays while this is one, until cancelled."""
        while True:
            if self.fleet_relays.is_relay:
                for peer in self.fleet_relays.peers:
                    self._start_task(f"fetch {peer.address}", self._fetch(peer))
            await asyncio.sleep(FETCH_INTERVAL_S)

    def close(self) -> None:
        """Cancels all running tasks."""
        for task in self.tasks.values():
            task.cancel()

    def publish(self, fingerprints: Iterable[str]) -> None:
        """Sends the records of some requests to the relays."""
        self._schedule_announcement()
        for peer in self.fleet_relays.peers:
            self._schedule_send(peer, fingerprints, BATCH_S)

    def receive_mark(self, peer: peers.Peer, mark: str) -> None:
        """Processes the mark of a relay's reply.

        Fetches the records behind a new mark. A restarted relay is sent the
        records of this daemon: all relays may have restarted at once, and then
        no relay has the records.
        """
        incarnation = mark.partition("-")[0]
        known_incarnation = self.incarnations.get(peer.address, incarnation)
        self.incarnations[peer.address] = incarnation
        if incarnation != known_incarnation:
            self._resend(peer)
        if mark and _is_newer(mark, self.fetched_marks.get(peer.address, "")):
            self._start_task(f"fetch {peer.address}", self._fetch(peer))

    def mark(self) -> str:
        """Returns the mark for replies to subscribers; empty for none."""
        return (
            f"{self.incarnation}-{self.shown_revision}"
            if self.shown_revision
            else ""
        )

    # Requests of peers and operators.

    def handle(self, request: messages.Request) -> messages.Response:
        """Handles a peer's request, or an operator's to lift a quarantine."""
        if request.path == LIFT:
            return self._lift(request)
        if request.method == "POST":
            return self._receive(request)
        min_crashes = MIN_SHARED_CRASHES
        if request.query.get("all") == ALL:
            min_crashes = 1
        after = self._revision_of(request.query.get("since", ""))
        now = self.loop.time()
        records = self.tracker.table.export_changes(now, after, min_crashes)
        revision = (
            self.tracker.table.revision
            if min_crashes == 1
            else self.shown_revision
        )
        reply = Message(mark=f"{self.incarnation}-{revision}", records=records)
        return messages.Response(200, (), msgspec.json.encode(reply))

    def _receive(self, request: messages.Request) -> messages.Response:
        try:
            message = decoding.from_json(request.body, Message)
        except decoding.UnreadableError:
            return messages.Response(400)
        self._merge_records(message["records"])
        return messages.Response(204)

    def _lift(self, request: messages.Request) -> messages.Response:
        if request.method != "POST":
            return messages.Response(405)
        fingerprint = request.query.get("fingerprint", "")
        if self.tracker.lift(fingerprint, self.loop.time()):
            return messages.Response(204)
        return messages.Response(404)

    def _revision_of(self, mark: str) -> int:
        """Returns the revision of a mark of this process; 0 for others."""
        incarnation, _, revision = mark.partition("-")
        return (
            int(revision)
            if incarnation == self.incarnation and decoding.is_number(revision)
            else 0
        )

    # Updates of the records.

    def _merge_records(self, records: list[crash_table.RecordFields]) -> None:
        if self.tracker.receive_records(records, self.loop.time()):
            self._schedule_announcement()

    def _schedule_announcement(self) -> None:
        self._start_task("announce", self._announce_mark())

    async def _announce_mark(self) -> None:
        """Announces a new mark if records changed that concern the fleet."""
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        newest = self.tracker.table.latest_revision(MIN_SHARED_CRASHES)
        if newest > self.shown_revision:
            self.shown_revision = newest
            self.on_mark_change()

    # Messages to relays.

    def _change_relays(self, change: relays.RelayChange) -> None:
        """Sends what is known to relays that were added.

        All relays may have been replaced at once, so that no other daemon knows
        of the single crashes that this one observed.
        """
        for address in change.removed:
            self.fetched_marks.pop(address, None)
            self.incarnations.pop(address, None)
        for peer in self.fleet_relays.peers:
            if peer.address in change.added:
                self._resend(peer, min_crashes=1)

    def _resend(
        self, peer: peers.Peer, min_crashes: int = MIN_SHARED_CRASHES
    ) -> None:
        """Sends a relay the records with some crashes or more."""
        fingerprints = [
            record.fingerprint
            for record in self.tracker.table.records.values()
            if len(record.crashes) >= min_crashes
        ]
        if fingerprints:
            pause_s = BATCH_S + self.random.random() * RESEND_SPREAD_S
            self._schedule_send(peer, fingerprints, pause_s)

    def _schedule_send(
        self, peer: peers.Peer, fingerprints: Iterable[str], pause_s: float
    ) -> None:
        self.unsent.setdefault(peer.address, set()).update(fingerprints)
        self._start_task(f"send {peer.address}", self._send(peer, pause_s))

    def _start_task(self, name: str, work) -> None:
        """Starts a background task unless one of this name is running."""
        running = self.tasks.get(name)
        if running is not None and not running.done():
            work.close()
            return
        task = self.loop.create_task(work)
        self.tasks[name] = task
        task.add_done_callback(lambda _: self._forget_task(name, task))

    def _forget_task(self, name: str, task: asyncio.Task[None]) -> None:
        if self.tasks.get(name) is task:
            del self.tasks[name]

    async def _send(self, peer: peers.Peer, pause_s: float) -> None:
        """Sends the unsent records to a relay until it has accepted them."""
        await asyncio.sleep(pause_s)
        unsent = self.unsent[peer.address]
        failures = 0
        while unsent and failures < MAX_ATTEMPTS:
            batch = set(unsent)
            unsent.clear()
            now = self.loop.time()
            records = self.tracker.table.export_records(batch, now)
            body = msgspec.json.encode(Message(mark="", records=records))
            outcome = await peer.client.request(
                "POST", PATH, REQUEST_TIMEOUT_S, (), body
            )
            if not isinstance(outcome, outcomes.Answered):
                failures += 1
                unsent |= batch
                await asyncio.sleep(RETRY_PAUSE_S)
        unsent.clear()

    async def _fetch(self, peer: peers.Peer) -> None:
        """Fetches the records that changed at a relay since the last fetch."""
        query = {"since": self.fetched_marks.get(peer.address, "")}
        if self.fleet_relays.is_relay:
            query["all"] = ALL
        target = f"{PATH}?{parse.urlencode(query)}"
        outcome = await peer.client.request("GET", target, REQUEST_TIMEOUT_S)
        if not isinstance(outcome, outcomes.Answered):
            return
        if outcome.response.status != 200:
            return
        try:
            message = decoding.from_json(outcome.body, Message)
        except decoding.UnreadableError as error:
            events.emit(events.PeerMessageUnreadable(peer.address, str(error)))
            return
        self.fetched_marks[peer.address] = message["mark"]
        self._merge_records(message["records"])


def _is_newer(mark: str, known: str) -> bool:
    """Returns whether a mark stands for a later state than a known one."""
    incarnation, _, revision = mark.partition("-")
    known_incarnation, _, known_revision = known.partition("-")
    if incarnation != known_incarnation:
        return True
    return int(revision) > int(known_revision)
