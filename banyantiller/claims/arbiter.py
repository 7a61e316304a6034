"""Arbitrates idempotency keys by conditional writes to the object API.

The write itself decides: a key is granted to the daemon whose conditional
create or update took effect, and no clock or lease takes it away again. See
docs/design/at-most-once.md for the ways that were weighed.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Callable

import structlog

from banyantiller.claims import known, records, settling, types
from banyantiller.errors import ErrorKind
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.claims")

MOST_CALLS = 8
FIRST_PAUSE_S = 0.01
FINISH_S = 2.0
REUSE_S = 600.0
FAILURES_TO_STOP = 3
TRIAL_S = 0.5
RETRY_AFTER_S = 1.0

NonceSource = Callable[[], str]
Step = types.ClaimOutcome | interface.GetOutcome | settling.Written


def make_nonce() -> str:
    """Returns 128 random bits, unique over all daemons and restarts."""
    return secrets.token_hex(16)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One claim of a key by this daemon.

    Attributes:
        name: Name of the object.
        record: What the claim writes; its nonce is used for this claim only.
        item: The object that holds the claim, once that is certain.
        in_doubt: Whether a write may have taken effect, or may still.
        granted: Whether the caller was told to send the request.
    """

    name: str
    record: records.Record
    item: interface.StoredObject | None = None
    in_doubt: bool = False
    granted: bool = False


class StoreClaims:
    """Claims over the object API; implements `claims.types.Claims`.

    Whoever gets `Granted` must call exactly one of `finish`, `release` and
    `unsettled` for it. `run` is a task that completes what could not be
    written at once.

    Attributes:
        active: Claims in progress in this daemon, by object name.
        known: Outcomes of keys seen to the end.
        settler: Ends of claims that are not yet certain.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        deployment: str,
        daemon: str,
        wall: Callable[[], float],
        nonce: NonceSource = make_nonce,
    ) -> None:
        self.store = store
        self.deployment = deployment
        self.daemon = daemon
        self.wall = wall
        self.nonce = nonce
        self.active: dict[str, Attempt] = {}
        self.known = known.KnownKeys()
        self.settler = settling.Settler(store, deployment)
        self.failures = 0
        self.trial_at = 0.0

    @classmethod
    def from_settings(
        cls,
        store: interface.ObjectStore,
        deployment: str,
        daemon: str,
        wall: Callable[[], float],
        nonce: NonceSource = make_nonce,
    ) -> "StoreClaims":
        """Constructs the claims of one daemon.

        Args:
            store: The object API.
            deployment: Name of the fleet.
            daemon: Name of this daemon.
            wall: Returns wall-clock seconds.
            nonce: Returns a text that no other call of it anywhere returns.
        """
        return cls(store, deployment, daemon, wall, nonce)

    async def run(self) -> None:
        """Completes ends of claims that could not be written at once."""
        await self.settler.run()

    async def drain(self) -> bool:
        """Tries once to complete all waiting ends, before a shutdown."""
        return await self.settler.settle_all()

    async def claim(
        self, request: types.ClaimRequest, deadline: float
    ) -> types.ClaimOutcome:
        """Claims a key; see `claims.types.Claims.claim`."""
        name = records.object_name(self.deployment, request)
        outcome = self._judge_locally(name, request)
        if outcome is not None:
            return outcome
        now = asyncio.get_running_loop().time()
        if now >= deadline:
            return _unavailable("The deadline passed before the claim.")
        if not self._may_try(now):
            return _unavailable("The object API does not answer.")
        attempt = self._start(name, request, deadline - now)
        try:
            outcome = await self._arbitrate_until(attempt, deadline)
            attempt.granted = isinstance(outcome, types.Granted)
            return outcome
        finally:
            if not attempt.granted:
                self._abandon(attempt)

    async def finish(
        self,
        request: types.ClaimRequest,
        nonce: str,
        answer: types.RecordedAnswer,
    ) -> None:
        """Records the answer; remembered here even while the API is down."""
        await self._end(
            request, nonce, records.State.DONE, records.keep(answer)
        )

    async def release(self, request: types.ClaimRequest, nonce: str) -> None:
        """Gives a claim back; only when no byte reached a server."""
        await self._end(request, nonce, records.State.RELEASED)

    async def unsettled(self, request: types.ClaimRequest, nonce: str) -> None:
        """Records that nobody can tell whether the request was run."""
        await self._end(request, nonce, records.State.UNKNOWN)

    def _judge_locally(
        self, name: str, request: types.ClaimRequest
    ) -> types.ClaimOutcome | None:
        wall = self.wall()
        attempt = self.active.get(name)
        if attempt is not None:
            return records.judge(
                attempt.record._replace(answer_by=wall + 1),
                request.fingerprint,
                wall,
            )
        entry = self.known.get(name, wall)
        if entry is None:
            return None
        if entry.fingerprint != request.fingerprint:
            return records.deny(
                ErrorKind.KEY_REUSED, "The key was used for another request."
            )
        return entry.outcome

    def _start(
        self, name: str, request: types.ClaimRequest, patience_s: float
    ) -> Attempt:
        wall = self.wall()
        record = records.Record(
            service=request.service,
            fingerprint=request.fingerprint,
            nonce=self.nonce(),
            daemon=self.daemon,
            state=records.State.CLAIMED,
            claimed_at=wall,
            answer_by=wall + patience_s + FINISH_S,
            expires_at=wall + request.retention_s,
        )
        attempt = Attempt(name, record)
        self.active[name] = attempt
        return attempt

    async def _arbitrate_until(
        self, attempt: Attempt, deadline: float
    ) -> types.ClaimOutcome:
        try:
            async with asyncio.timeout_at(deadline):
                outcome = await self._arbitrate(attempt)
        except TimeoutError:
            return _unavailable("The claim was not settled in time.")
        is_late = asyncio.get_running_loop().time() >= deadline
        if is_late and isinstance(outcome, types.Granted):
            return _unavailable("The claim was settled too late.")
        return outcome

    async def _arbitrate(self, attempt: Attempt) -> types.ClaimOutcome:
        """Writes and reads until the key's owner is certain."""
        pause = FIRST_PAUSE_S
        answer: Step = interface.Missing()
        for _ in range(MOST_CALLS):
            answer = await self._next_call(attempt, answer)
            if isinstance(answer, types.ClaimOutcome):
                self.failures = 0
                return answer
            if not isinstance(answer, interface.Unavailable):
                self.failures = 0
                continue
            self._count_failure()
            if not self._may_try(asyncio.get_running_loop().time()):
                break
            await asyncio.sleep(pause)
            pause *= 2
        return _unavailable("The claim could not be settled.")

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
        elif record.nonce == attempt.record.nonce:
            return _grant(attempt, item)
        elif self._is_unsent(record):
            return await self._take_over(attempt, item, record)
        wall = self.wall()
        outcome = records.judge(record, attempt.record.fingerprint, wall)
        if outcome is None:
            return await self._take_over(attempt, item, record)
        self._remember(attempt.name, record)
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
            and record.nonce in self.settler.unsent
        )

    def _abandon(self, attempt: Attempt) -> None:
        """Ends a claim that was not granted, also when cancelled."""
        del self.active[attempt.name]
        if attempt.item is None and not attempt.in_doubt:
            return
        record = attempt.record._replace(state=records.State.RELEASED)
        self.settler.add(settling.End(attempt.name, record, attempt.item))

    async def _end(
        self,
        request: types.ClaimRequest,
        nonce: str,
        state: records.State,
        answer: records.KeptAnswer | None = None,
    ) -> None:
        name = records.object_name(self.deployment, request)
        attempt = self.active.get(name)
        if attempt is None or attempt.record.nonce != nonce:
            log.error("claims: an end names no claim of this daemon.")
            return
        del self.active[name]
        record = attempt.record._replace(state=state, answer=answer)
        self._remember(name, record)
        end = settling.End(name, record, attempt.item)
        self.settler.add(end)
        await self.settler.settle(end)

    def _remember(self, name: str, record: records.Record | None) -> None:
        """Keeps an outcome that can't change any more."""
        final = (records.State.DONE, records.State.UNKNOWN)
        if record is None or record.state not in final:
            return
        outcome = records.judge(record, record.fingerprint, self.wall())
        self.known.put(name, record.fingerprint, outcome, record.expires_at)

    def _count_failure(self) -> None:
        self.failures += 1
        if self.failures == FAILURES_TO_STOP:
            now = asyncio.get_running_loop().time()
            self.trial_at = now + TRIAL_S

    def _may_try(self, now: float) -> bool:
        """Lets one claim in `TRIAL_S` through while the API is down."""
        if self.failures < FAILURES_TO_STOP:
            return True
        if now < self.trial_at:
            return False
        self.trial_at = now + TRIAL_S
        return True


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


def _unavailable(detail: str) -> types.Denied:
    return records.deny(ErrorKind.CLAIM_UNAVAILABLE, detail, RETRY_AFTER_S)
