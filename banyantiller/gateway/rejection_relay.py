"""Counts the rejections that daemons report to a relay, and their messages."""

import asyncio
from collections.abc import Callable
from typing import Annotated, TypedDict

import msgspec

from banyantiller.gateway import relays
from banyantiller.gateway.decisions import returning_callers, service_load
from banyantiller.http import messages
from banyantiller.utils import decoding

PATH = "/rejections"
NOT_READY_STATUS = 503
# Part of the fingerprint in messages. Among the 4,096 entries of a table, two
# are equal with a probability of 5e-13.
FINGERPRINT_BYTES = 8
MAX_FINGERPRINTS = 64

Number = Annotated[int, msgspec.Meta(ge=0)]
Digest = Annotated[
    bytes,
    msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES),
]
Digests = Annotated[list[Digest], msgspec.Meta(max_length=MAX_FINGERPRINTS)]


class RejectedFields(TypedDict):
    """Rejected requests of one service.

    `others` counts the other recent requests of the service at the daemon, and
    `others_rejected` those of them that were rejected.
    """

    digests: Digests
    others: Number
    others_rejected: Number


class AskFields(TypedDict):
    """A daemon's message to a relay.

    `rejected` has the rejected requests by service, and `served` those reported
    before that a server has executed since.
    """

    rejected: Annotated[
        dict[str, RejectedFields], msgspec.Meta(max_length=MAX_FINGERPRINTS)
    ]
    served: Digests


class SeenFields(TypedDict):
    """What a relay knows of the rejected requests of one service.

    `earlier` counts the earlier rejections of each, in the order of the
    message. `position` is that of the last one among the callers that the relay
    expects back, or null if the load of the service is not known.
    """

    earlier: list[Number]
    position: float | None


class AnswerFields(TypedDict):
    """Reply to `AskFields`.

    `returned_percent` is the share of rejected callers that come back, or null
    if it is not known.
    """

    seen: dict[str, SeenFields]
    returned_percent: int | None


class RejectionRelay:
    """Counts the rejections that daemons report to this relay.

    Attributes:
        fleet_relays: The relays in use. Each has an equal part of the callers.
        table: Rejected requests.
        queues: Callers that are expected back, by service; only of services
            whose load is known.
        load: Returns the load of a service at a loop time, or None.
    """

    def __init__(
        self,
        fleet_relays: relays.Relays,
        load: Callable[[str, float], service_load.ZoneLoad | None],
    ) -> None:
        self.fleet_relays = fleet_relays
        self.load = load
        self.loop = asyncio.get_running_loop()
        self.table = returning_callers.RejectionTable()
        self.queues: dict[str, returning_callers.ReturnQueue] = {}

    def handle(self, request: messages.Request) -> messages.Response:
        """Answers the message of another daemon.

        A daemon that only outdated settings name as a relay answers none, as
        the others ask another one.
        """
        if not self.fleet_relays.is_relay:
            return messages.Response(NOT_READY_STATUS)
        try:
            fields = decoding.from_msgpack(request.body, AskFields)
        except decoding.UnreadableError:
            return messages.Response(400)
        body = msgspec.msgpack.encode(self.answer(fields))
        return messages.Response(200, (), body)

    def answer(self, fields: AskFields) -> AnswerFields:
        """Records the rejections of a message and returns the reply."""
        now = self.loop.time()
        for digest in fields["served"]:
            self.table.withdraw(digest)
        seen = {}
        for service, rejected in fields["rejected"].items():
            self.table.record_others(
                returning_callers.OtherRequests(
                    rejected["others"],
                    min(rejected["others"], rejected["others_rejected"]),
                )
            )
            earlier = [
                self.table.record(digest, now) for digest in rejected["digests"]
            ]
            position = self._join(service, len(earlier), now)
            seen[service] = SeenFields(earlier=earlier, position=position)
        share = self.table.returned_share()
        return AnswerFields(
            seen=seen,
            returned_percent=None if share is None else round(share * 100),
        )

    def count_relays(self) -> int:
        """Returns the number of relays; without any, this daemon is one."""
        return max(1, self.fleet_relays.count)

    def _join(self, service: str, count: int, now: float) -> float | None:
        """Returns the position of the last of some callers, or None."""
        load = self.load(service, now)
        if load is None or load.freed_per_s <= 0:
            self.queues.pop(service, None)
            return None
        queue = self.queues.setdefault(service, returning_callers.ReturnQueue())
        position = None
        for _ in range(count):
            position = queue.join(load.freed_per_s / self.count_relays(), now)
        return position
