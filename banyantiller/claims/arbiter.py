"""Arbitrates idempotency keys by conditional writes to the object API.

The write itself decides: a key is granted to the daemon whose conditional
create or update took effect, and no clock or lease takes it away again. See
docs/design/at-most-once.md for the ways that were weighed.
"""

import asyncio
import random
from collections.abc import Callable

import structlog

from banyantiller.claims import (
    attempts,
    known,
    records,
    settling,
    sweeping,
    types,
)
from banyantiller.errors import ErrorKind
from banyantiller.store import interface, nonces

log = structlog.get_logger("banyantiller.claims")

FINISH_S = 2.0


class StoreClaims:
    """Claims over the object API; implements `claims.types.Claims`.

    Whoever gets `Granted` must call exactly one of `finish`, `release` and
    `unsettled` for it. `run` is a task that completes what could not be
    written at once and deletes expired claims.

    Attributes:
        active: Claims in progress in this daemon, by object name.
        known: Outcomes of keys seen to the end.
        settler: Ends of claims that are not yet certain.
        sweeper: Deletes expired claims.
        arbitration: Attempts at claims.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        deployment: str,
        daemon: str,
        wall: Callable[[], float],
        nonce: nonces.NonceSource = nonces.random_128_bits,
    ) -> None:
        self.store = store
        self.deployment = deployment
        self.daemon = daemon
        self.wall = wall
        self.nonce = nonce
        self.active: dict[str, attempts.Attempt] = {}
        self.known = known.KnownKeys()
        self.settler = settling.Settler(store, deployment)
        self.sweeper = sweeping.Sweeper(
            store, deployment, wall, random.Random(daemon)
        )
        self.arbitration = attempts.Arbitration(
            store, deployment, wall, self.settler.unsent, self.known
        )

    @classmethod
    def from_settings(
        cls,
        store: interface.ObjectStore,
        deployment: str,
        daemon: str,
        wall: Callable[[], float],
        nonce: nonces.NonceSource = nonces.random_128_bits,
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
        """Completes ends that could not be written, deletes expired claims."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.settler.run())
            group.create_task(self.sweeper.run())

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
            return attempts.unavailable("The deadline passed before the claim.")
        if not self.arbitration.breaker.may_try(now):
            return attempts.unavailable("The object API does not answer.")
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
                attempt.record._replace(answer_by=wall + 1), request, wall
            )
        entry = self.known.get(name, wall)
        if entry is None:
            return None
        if not records.is_same(
            request, entry.fingerprint, entry.service, entry.host
        ):
            return records.deny(
                ErrorKind.KEY_REUSED, "The key was used for another request."
            )
        return entry.outcome

    def _start(
        self, name: str, request: types.ClaimRequest, patience_s: float
    ) -> attempts.Attempt:
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
            host=request.host,
        )
        attempt = attempts.Attempt(name, request, record)
        self.active[name] = attempt
        return attempt

    async def _arbitrate_until(
        self, attempt: attempts.Attempt, deadline: float
    ) -> types.ClaimOutcome:
        try:
            async with asyncio.timeout_at(deadline):
                outcome = await self._arbitrate(attempt)
        except TimeoutError:
            return attempts.unavailable("The claim was not settled in time.")
        is_late = asyncio.get_running_loop().time() >= deadline
        if is_late and isinstance(outcome, types.Granted):
            return attempts.unavailable("The claim was settled too late.")
        return outcome

    async def _arbitrate(self, attempt: attempts.Attempt) -> types.ClaimOutcome:
        """Claims the key, and reads meanwhile what earlier versions kept."""
        async with asyncio.TaskGroup() as group:
            earlier = group.create_task(
                self.arbitration.read_earlier_record(attempt)
            )
            outcome = await self.arbitration.run(attempt)
        return earlier.result() or outcome

    def _abandon(self, attempt: attempts.Attempt) -> None:
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
        self.known.remember(name, record, self.wall())
        end = settling.End(name, record, attempt.item)
        self.settler.add(end)
        await self.settler.settle(end)
