"""An attempt to claim a key: writes and reads until its owner is known."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Container

import structlog

from banyantiller.claims import breaker, outcome_cache, records, settling, types
from banyantiller.errors import ErrorKind
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.claims")

MAX_CALLS = 8
INITIAL_BACKOFF_S = 0.01
MAX_REUSE_AGE_S = 600.0
RETRY_AFTER_S = 1.0

Step = types.ClaimOutcome | interface.GetOutcome | settling.WriteOutcome


@dataclasses.dataclass(slots=True)
class ClaimAttempt:
    """An attempt by this daemon to claim a key.

    Attributes:
        name: Name of the object.
        request: The request whose key is claimed.
        record: The record to write; its nonce is unique to this attempt.
        item: The object that holds the claim, once confirmed.
        in_doubt: Whether a write may have taken effect or still may.
        granted: Whether the claim was granted.
    """

    name: str
    request: types.ClaimRequest
    record: records.Record
    item: interface.StoredObject | None = None
    in_doubt: bool = False
    granted: bool = False


class Arbitration:
    """Runs the claim attempts of one daemon against the object API.

    Attributes:
        unsent_nonces: Nonces of this daemon whose request was not sent and
            will not be.
        outcomes: Cache of final outcomes.
        breaker: Stops calls while the object API does not respond.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        deployment: str,
        wall: Callable[[], float],
        unsent_nonces: Container[str],
        outcomes: outcome_cache.OutcomeCache,
    ) -> None:
        self.store = store
        self.deployment = deployment
        self.wall = wall
        self.unsent_nonces = unsent_nonces
        self.outcomes = outcomes
        self.breaker = breaker.CircuitBreaker()

    async def run(self, attempt: ClaimAttempt) -> types.ClaimOutcome:
        """Writes and reads until the key's owner is known."""
        return await self._call_until_decided(
            lambda last: self._next_call(attempt, last),
            "The claim could not be settled.",
        )

    async def read_legacy_record(
        self, attempt: ClaimAttempt
    ) -> types.ClaimOutcome | None:
        """Reads the record of the key under its legacy name.

        Earlier versions named the object by service and key. Without this
        read, a request that ran before an update of the daemons runs again
        when it is repeated afterwards.

        Returns:
            The outcome for the caller, or None if the key is free.
        """
        return await self._call_until_decided(
            lambda _: self._check_legacy_record(attempt),
            "The key's earlier record could not be read.",
        )

    async def _call_until_decided(
        self,
        call: Callable[[Step], Awaitable[Step | None]],
        failure_detail: str,
    ) -> types.ClaimOutcome | None:
        """Calls the store until the outcome for the caller is decided.

        Args:
            call: Makes the next call, given the previous result; returns
                None if the key is free.
            failure_detail: Detail of the denial if no call decides.
        """
        pause = INITIAL_BACKOFF_S
        result: Step = interface.Missing()
        for _ in range(MAX_CALLS):
            result = await call(result)
            may_continue = self._record_availability(result)
            if result is None or isinstance(result, types.ClaimOutcome):
                return result
            if not may_continue:
                break
            if isinstance(result, interface.Unavailable):
                await asyncio.sleep(pause)
                pause *= 2
        return unavailable(failure_detail)

    async def _check_legacy_record(self, attempt: ClaimAttempt) -> Step | None:
        name = records.legacy_object_name(self.deployment, attempt.request)
        read = await self.store.get(records.OBJECT_KIND, name)
        if isinstance(read, interface.Missing):
            return None
        if isinstance(read, interface.Found):
            record = records.from_object(read.item)
            return await self._fence_or_evaluate(attempt, read.item, record)
        return read

    def _record_availability(self, result: Step | None) -> bool:
        """Records the result in the breaker.

        Returns:
            Whether another call is allowed.
        """
        if not isinstance(result, interface.Unavailable):
            self.breaker.record_success()
            return True
        now = asyncio.get_running_loop().time()
        self.breaker.record_failure(now)
        return self.breaker.allows_call(now)

    async def _next_call(self, attempt: ClaimAttempt, last: Step) -> Step:
        if isinstance(last, interface.Missing):
            return await self._create(attempt)
        read = await self.store.get(records.OBJECT_KIND, attempt.name)
        if isinstance(read, interface.Found):
            return await self._evaluate_object(attempt, read.item)
        return read

    async def _evaluate_object(
        self, attempt: ClaimAttempt, item: interface.StoredObject
    ) -> Step:
        record = records.from_object(item)
        if record is None:
            log.error("claims: record cannot be decoded.", name=item.name)
        elif _is_held_by(attempt, record):
            return _grant(attempt, item)
        elif self._is_unsent(record):
            return await self._take_over(attempt, item, record)
        result = await self._fence_or_evaluate(attempt, item, record)
        if result is None:
            return await self._take_over(attempt, item, record)
        return result

    async def _fence_or_evaluate(
        self,
        attempt: ClaimAttempt,
        item: interface.StoredObject,
        record: records.Record | None,
    ) -> Step | None:
        """Evaluates a record; returns None if the key was released.

        A claim that its daemon did not settle in time is fenced and read back
        before its outcome is reported. Without the fence, a late release would
        let the key run after a caller got the final answer that it does not.
        """
        wall = self.wall()
        outcome = records.evaluate(record, attempt.request, wall)
        if records.needs_fence(record, outcome):
            fenced = records.to_value(records.to_fenced(record))
            return await self.store.update(item, fenced)
        self.outcomes.put_record(attempt.name, record, wall)
        return outcome

    async def _create(self, attempt: ClaimAttempt) -> Step:
        labels = records.expiry_labels(
            self.deployment, attempt.record.expires_at
        )
        value = records.to_value(attempt.record)
        was_in_doubt = attempt.in_doubt
        attempt.in_doubt = True
        written = await self.store.create(
            records.OBJECT_KIND, attempt.name, value, labels
        )
        return _grant_if_written(attempt, written, was_in_doubt)

    async def _take_over(
        self,
        attempt: ClaimAttempt,
        item: interface.StoredObject,
        record: records.Record,
    ) -> Step:
        """Claims a key whose previous claim was certainly not sent.

        An update keeps the labels of the object and so its expiry time; an
        old object is therefore deleted and created again.
        """
        if self.wall() - record.claimed_at > MAX_REUSE_AGE_S:
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
        return _grant_if_written(attempt, written, was_in_doubt)

    def _is_unsent(self, record: records.Record) -> bool:
        return (
            record.state == records.State.CLAIMED
            and record.nonce in self.unsent_nonces
        )


def _is_held_by(attempt: ClaimAttempt, record: records.Record) -> bool:
    return (
        record.nonce == attempt.record.nonce
        and record.state == records.State.CLAIMED
    )


def _grant(
    attempt: ClaimAttempt, item: interface.StoredObject
) -> types.Granted:
    attempt.item = item
    return types.Granted(attempt.record.nonce)


def _grant_if_written(
    attempt: ClaimAttempt, written: settling.WriteOutcome, was_in_doubt: bool
) -> Step:
    if isinstance(written, interface.Found):
        return _grant(attempt, written.item)
    if not isinstance(written, interface.Unknown):
        attempt.in_doubt = was_in_doubt
    return written


def unavailable(detail: str) -> types.Denied:
    """Returns a denial: the claim is undecided and nothing was run."""
    return records.deny(ErrorKind.CLAIM_UNAVAILABLE, detail, RETRY_AFTER_S)
