"""One attempt to claim a key: writes and reads until its owner is certain."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Container

import structlog

from banyantiller.claims import breaker, known, records, settling, types
from banyantiller.errors import ErrorKind
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.claims")

MOST_CALLS = 8
FIRST_PAUSE_S = 0.01
REUSE_S = 600.0
RETRY_AFTER_S = 1.0

Step = types.ClaimOutcome | interface.GetOutcome | settling.Written


@dataclasses.dataclass(slots=True)
class Attempt:
    """One claim of a key by this daemon.

    Attributes:
        name: Name of the object.
        request: What is claimed.
        record: What the claim writes; its nonce is used for this claim only.
        item: The object that holds the claim, once that is certain.
        in_doubt: Whether a write may have taken effect, or may still.
        granted: Whether the caller was told to send the request.
    """

    name: str
    request: types.ClaimRequest
    record: records.Record
    item: interface.StoredObject | None = None
    in_doubt: bool = False
    granted: bool = False


class Arbitration:
    """Runs attempts of one daemon against the object API.

    Attributes:
        unsent: Nonces of this daemon of which no request was or will be sent.
        known: Where final outcomes are kept.
        breaker: Counts calls that were not answered.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        deployment: str,
        wall: Callable[[], float],
        unsent: Container[str],
        known_keys: known.KnownKeys,
    ) -> None:
        self.store = store
        self.deployment = deployment
        self.wall = wall
        self.unsent = unsent
        self.known = known_keys
        self.breaker = breaker.Breaker()

    async def run(self, attempt: Attempt) -> types.ClaimOutcome:
        """Writes and reads until the key's owner is certain."""
        return await self._call_until_certain(
            lambda last: self._next_call(attempt, last),
            "The claim could not be settled.",
        )

    async def read_earlier_record(
        self, attempt: Attempt
    ) -> types.ClaimOutcome | None:
        """Reads the record that an earlier version kept of the key.

        Without it, a request that ran before an update of the daemons runs
        once more when it is repeated after it.

        Returns:
            What the caller gets, or None if the key is free.
        """
        return await self._call_until_certain(
            lambda _: self._judge_earlier(attempt),
            "The key's earlier record could not be read.",
        )

    async def _call_until_certain(
        self,
        call: Callable[[Step], Awaitable[Step | None]],
        failure: str,
    ) -> types.ClaimOutcome | None:
        """Calls the store until what the caller gets is certain.

        Args:
            call: Makes the next call after the last answer; returns None if
                the key is free.
            failure: What is told if it does not get certain.
        """
        pause = FIRST_PAUSE_S
        answer: Step = interface.Missing()
        for _ in range(MOST_CALLS):
            answer = await call(answer)
            may_go_on = self._note_answer(answer)
            if answer is None or isinstance(answer, types.ClaimOutcome):
                return answer
            if not may_go_on:
                break
            if isinstance(answer, interface.Unavailable):
                await asyncio.sleep(pause)
                pause *= 2
        return unavailable(failure)

    async def _judge_earlier(self, attempt: Attempt) -> Step | None:
        name = records.earlier_name(self.deployment, attempt.request)
        got = await self.store.get(records.KIND, name)
        if isinstance(got, interface.Missing):
            return None
        if isinstance(got, interface.Found):
            record = records.from_object(got.item)
            return await self._fence_or_judge(attempt, got.item, record)
        return got

    def _note_answer(self, answer: Step | None) -> bool:
        """Notes whether a call was answered; tells whether to call again."""
        if not isinstance(answer, interface.Unavailable):
            self.breaker.answered()
            return True
        now = asyncio.get_running_loop().time()
        self.breaker.failed(now)
        return self.breaker.may_try(now)

    async def _next_call(self, attempt: Attempt, last: Step) -> Step:
        if isinstance(last, interface.Missing):
            return await self._create(attempt)
        got = await self.store.get(records.KIND, attempt.name)
        if isinstance(got, interface.Found):
            return await self._judge_object(attempt, got.item)
        return got

    async def _judge_object(
        self, attempt: Attempt, item: interface.StoredObject
    ) -> Step:
        record = records.from_object(item)
        if record is None:
            log.error("claims: a record is not readable.", name=item.name)
        elif _is_own(attempt, record):
            return _grant(attempt, item)
        elif self._is_unsent(record):
            return await self._take_over(attempt, item, record)
        answer = await self._fence_or_judge(attempt, item, record)
        if answer is None:
            return await self._take_over(attempt, item, record)
        return answer

    async def _fence_or_judge(
        self,
        attempt: Attempt,
        item: interface.StoredObject,
        record: records.Record | None,
    ) -> Step | None:
        """Judges a record; returns None if the key was released.

        A claim that its daemon did not end is fenced and read back before its
        outcome is told: else a late release lets the key run after a caller
        was told for good that it does not.
        """
        wall = self.wall()
        outcome = records.judge(record, attempt.request, wall)
        if records.needs_fence(record, outcome):
            fenced = records.to_value(records.fence(record))
            return await self.store.update(item, fenced)
        self.known.remember(attempt.name, record, wall)
        return outcome

    async def _create(self, attempt: Attempt) -> Step:
        labels = records.expiry_labels(
            self.deployment, attempt.record.expires_at
        )
        value = records.to_value(attempt.record)
        was_in_doubt = attempt.in_doubt
        attempt.in_doubt = True
        written = await self.store.create(
            records.KIND, attempt.name, value, labels
        )
        return _note_write(attempt, written, was_in_doubt)

    async def _take_over(
        self,
        attempt: Attempt,
        item: interface.StoredObject,
        record: records.Record,
    ) -> Step:
        """Claims a key whose earlier claim was certainly not sent.

        The object keeps its labels when it is updated, so the time at which
        it expires stays too; an old object is deleted and made anew.
        """
        if self.wall() - record.claimed_at > REUSE_S:
            deleted = await self.store.delete(item)
            was_deleted = isinstance(deleted, interface.Found)
            return interface.Missing() if was_deleted else deleted
        attempt.record = attempt.record._replace(
            claimed_at=record.claimed_at, expires_at=record.expires_at
        )
        was_in_doubt = attempt.in_doubt
        attempt.in_doubt = True
        value = records.to_value(attempt.record)
        written = await self.store.update(item, value)
        return _note_write(attempt, written, was_in_doubt)

    def _is_unsent(self, record: records.Record) -> bool:
        return (
            record.state == records.State.CLAIMED
            and record.nonce in self.unsent
        )


def _is_own(attempt: Attempt, record: records.Record) -> bool:
    return (
        record.nonce == attempt.record.nonce
        and record.state == records.State.CLAIMED
    )


def _grant(attempt: Attempt, item: interface.StoredObject) -> types.Granted:
    attempt.item = item
    return types.Granted(attempt.record.nonce)


def _note_write(
    attempt: Attempt, written: settling.Written, was_in_doubt: bool
) -> Step:
    if isinstance(written, interface.Found):
        return _grant(attempt, written.item)
    if not isinstance(written, interface.Unknown):
        attempt.in_doubt = was_in_doubt
    return written


def unavailable(detail: str) -> types.Denied:
    """Returns a denial: the claim is not settled, nothing was run."""
    return records.deny(ErrorKind.CLAIM_UNAVAILABLE, detail, RETRY_AFTER_S)
