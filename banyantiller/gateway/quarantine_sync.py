"""Tells all daemons which requests end servers.

The daemons that others ask collect what each daemon saw: it is sent to all of
them at once, and they fetch from one another what one of them missed. What
concerns the whole fleet, a request with which two servers or more have ended,
they tell to those that ask them for changes of the store: each answer carries a
mark, and whoever sees a new one fetches what is behind it. A daemon that starts
sees the mark with its first question.

A lost message is sent again, and order and duplicates make no difference: see
`quarantine.crash_table`.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import TypedDict
from urllib import parse

import msgspec

from banyantiller.gateway import crash_detection, events, peers
from banyantiller.http import messages, outcomes
from banyantiller.quarantine import crash_table

PATH = "/quarantine/"
LIFT = PATH + "lift"
# Value of the query parameter `all` of a daemon that others ask.
ALL = "1"
# One end says nothing yet of a request to daemons that did not see it.
MIN_SHARED_CRASHES = 2
# What is seen within this time is sent at once: a server ends with several
# requests on it.
GATHER_S = 0.02
# New marks are shown this much later, so that hundreds of daemons that wait
# for changes are not woken for each of many servers that end together.
SHOW_S = 0.05
# How often the daemons that are asked fetch from one another.
FETCH_S = 1.0
ANSWER_S = 0.4
# All daemons remind one that was started again within this time.
REMIND_WITHIN_S = 0.5
# Pause before it is sent again to a daemon that gave no answer, and how often:
# one that starts later fetches it from the others.
AGAIN_S = 0.3
MAX_ATTEMPTS = 10


class Message(TypedDict):
    """What daemons tell each other; `mark` names the state that it is of."""

    mark: str
    records: list[crash_table.RecordFields]


class QuarantineSync:
    """Exchanges with other daemons what is known of requests.

    Attributes:
        watch: What this daemon knows.
        relays: Daemons that others ask, without this one.
        is_relay: Whether others ask this daemon.
        incarnation: Tells this process from an earlier one of the same daemon.
        shown_revision: Revision of the table that the mark stands for.
        on_mark_change: Called when the mark has changed.
        fetched_marks: Mark of what was fetched last, by the address of a
            daemon.
        incarnations: Process that the last mark was of, by the address of a
            daemon.
        unsent: Requests to tell, by the address of a daemon.
        tasks: Messages on their way.
    """

    def __init__(
        self,
        crash_detector: crash_detection.CrashDetector,
        relays: list[peers.Peer],
        is_relay: bool,
        rng: random.Random,
    ) -> None:
        self.watch = crash_detector.watch
        self.relays = relays
        self.is_relay = is_relay
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
        for peer in relays:
            peer.on_mark = self.receive_mark

    async def run(self) -> None:
        """Fetches from other daemons that are asked, until cancelled."""
        while self.is_relay:
            for peer in self.relays:
                self._begin(f"fetch {peer.address}", self._fetch(peer))
            await asyncio.sleep(FETCH_S)

    def close(self) -> None:
        """Ends what is on its way."""
        for task in self.tasks.values():
            task.cancel()

    def publish(self, fingerprints: Iterable[str]) -> None:
        """Tells the daemons that are asked what is known of requests."""
        self._show_later()
        for peer in self.relays:
            self._send_later(peer, fingerprints, GATHER_S)

    def receive_mark(self, peer: peers.Peer, mark: str) -> None:
        """Takes the mark of another daemon's answer.

        What is behind a new mark is fetched. A daemon that was started again
        is told what this one knows: those that are asked may all have been
        started again at once, and have nobody else to learn it from.
        """
        life = mark.partition("-")[0]
        known_life = self.incarnations.get(peer.address, life)
        self.incarnations[peer.address] = life
        if life != known_life:
            self._remind(peer)
        if mark and _is_newer(mark, self.fetched_marks.get(peer.address, "")):
            self._begin(f"fetch {peer.address}", self._fetch(peer))

    def mark(self) -> str:
        """Returns the mark to show to daemons that ask; empty for none."""
        return (
            f"{self.incarnation}-{self.shown_revision}"
            if self.shown_revision
            else ""
        )

    # Questions of others.

    def handle(self, request: messages.Request) -> messages.Response:
        """Answers another daemon, or an operator who lifts a quarantine."""
        if request.path == LIFT:
            return self._lift(request)
        if request.method == "POST":
            return self._take(request)
        least = MIN_SHARED_CRASHES
        if request.query.get("all") == ALL:
            least = 1
        after = self._revision_of(request.query.get("since", ""))
        now = self.loop.time()
        records = self.watch.table.export_changes(now, after, least)
        shown = self.watch.table.revision if least == 1 else self.shown_revision
        reply = Message(mark=f"{self.incarnation}-{shown}", records=records)
        return messages.Response(200, (), msgspec.json.encode(reply))

    def _take(self, request: messages.Request) -> messages.Response:
        try:
            told = msgspec.json.decode(request.body, type=Message)
        except msgspec.DecodeError:
            return messages.Response(400)
        self._learn(told["records"])
        return messages.Response(204)

    def _lift(self, request: messages.Request) -> messages.Response:
        if request.method != "POST":
            return messages.Response(405)
        fingerprint = request.query.get("fingerprint", "")
        if self.watch.lift(fingerprint, self.loop.time()):
            return messages.Response(204)
        return messages.Response(404)

    def _revision_of(self, mark: str) -> int:
        """Returns the revision that a mark of this process stands for."""
        life, _, revision = mark.partition("-")
        return (
            int(revision)
            if life == self.incarnation and revision.isdigit()
            else 0
        )

    # What is learned.

    def _learn(self, records: list[crash_table.RecordFields]) -> None:
        if self.watch.receive_records(records, self.loop.time()):
            self._show_later()

    def _show_later(self) -> None:
        self._begin("show", self._show())

    async def _show(self) -> None:
        """Shows a new mark if something concerns the whole fleet."""
        await asyncio.sleep(SHOW_S)
        newest = self.watch.table.latest_revision(MIN_SHARED_CRASHES)
        if newest > self.shown_revision:
            self.shown_revision = newest
            self.on_mark_change()

    # Messages.

    def _remind(self, peer: peers.Peer) -> None:
        """Tells a daemon that was started again what concerns the fleet."""
        known = [
            record.fingerprint
            for record in self.watch.table.records.values()
            if len(record.crashes) >= MIN_SHARED_CRASHES
        ]
        if known:
            pause_s = GATHER_S + self.random.random() * REMIND_WITHIN_S
            self._send_later(peer, known, pause_s)

    def _send_later(
        self, peer: peers.Peer, fingerprints: Iterable[str], pause_s: float
    ) -> None:
        self.unsent.setdefault(peer.address, set()).update(fingerprints)
        self._begin(f"send {peer.address}", self._send(peer, pause_s))

    def _begin(self, name: str, work) -> None:
        """Lets work go on by itself, unless the same is under way."""
        running = self.tasks.get(name)
        if running is not None and not running.done():
            work.close()
            return
        task = self.loop.create_task(work)
        self.tasks[name] = task
        task.add_done_callback(lambda _: self._ended(name, task))

    def _ended(self, name: str, task: asyncio.Task[None]) -> None:
        if self.tasks.get(name) is task:
            del self.tasks[name]

    async def _send(self, peer: peers.Peer, pause_s: float) -> None:
        """Sends what a daemon was not told yet, until it has taken it."""
        await asyncio.sleep(pause_s)
        unsent = self.unsent[peer.address]
        tries = 0
        while unsent and tries < MAX_ATTEMPTS:
            sending = set(unsent)
            unsent.clear()
            now = self.loop.time()
            records = self.watch.table.export_records(sending, now)
            body = msgspec.json.encode(Message(mark="", records=records))
            outcome = await peer.client.request(
                "POST", PATH, ANSWER_S, (), body
            )
            if not isinstance(outcome, outcomes.Answered):
                tries += 1
                unsent |= sending
                await asyncio.sleep(AGAIN_S)
        unsent.clear()

    async def _fetch(self, peer: peers.Peer) -> None:
        """Fetches what another daemon knows and this one may not."""
        query = {"since": self.fetched_marks.get(peer.address, "")}
        if self.is_relay:
            query["all"] = ALL
        target = f"{PATH}?{parse.urlencode(query)}"
        outcome = await peer.client.request("GET", target, ANSWER_S)
        if not isinstance(outcome, outcomes.Answered):
            return
        if outcome.response.status != 200:
            return
        try:
            told = msgspec.json.decode(outcome.body, type=Message)
        except msgspec.DecodeError as error:
            events.emit(events.PeerUnreadable(peer.address, str(error)))
            return
        self.fetched_marks[peer.address] = told["mark"]
        self._learn(told["records"])


def _is_newer(mark: str, known: str) -> bool:
    """Tells whether a mark stands for a later state than a known one."""
    life, _, revision = mark.partition("-")
    known_life, _, known_revision = known.partition("-")
    if life != known_life:
        return True
    return int(revision) > int(known_revision)
