"""Grants idempotency keys by conditional writes to the object API.

A key is granted to the daemon whose conditional create or update took effect,
and no clock or lease revokes the grant. See docs/design/at-most-once.md for
the alternatives.
"""

import asyncio
import random
from collections.abc import Callable

import structlog

from banyantiller.claims import (
    attempts,
    outcome_cache,
    records,
    settling,
    sweeping,
    types,
)
from banyantiller.errors import ErrorKind
from banyantiller.store import interface, nonces

log = structlog.get_logger("banyantiller.claims")

FINISH_MARGIN_S = 2.0


class StoreClaims:
    """Claims over the object API; implements `claims.types.Claims`.

    A caller that gets `Granted` must call exactly one of `finish`, `release`
    and `mark_unknown` for it. `run` is a background task that retries pending
    settlements and deletes expired claims.

    Attributes:
        active: Claims in progress in this daemon, by object name.
        outcomes: Cache of final outcomes.
        settler: Retries settlements that are not confirmed yet.
        sweeper: Deletes expired claims.
        arbitration: Runs attempts to claim a key.
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
        self.active: dict[str, attempts.ClaimAttempt] = {}
        self.outcomes = outcome_cache.OutcomeCache()
        self.settler = settling.Settler(store, deployment)
        self.sweeper = sweeping.Sweeper(
            store, deployment, wall, random.Random(daemon)
        )
        self.arbitration = attempts.Arbitration(
            store, deployment, wall, self.settler.unsent_nonces, self.outcomes
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
        """Creates the claims of one daemon.

        Args:
            store: The object API.
            deployment: Name of the fleet.
            daemon: Name of this daemon.
            wall: Returns wall-clock seconds.
            nonce: Returns a globally unique string on each call.
        """
        return cls(store, deployment, daemon, wall, nonce)

    async def run(self) -> None:
        """Retries pending settlements and deletes expired claims."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.settler.run())
            group.create_task(self.sweeper.run())

    async def drain(self) -> bool:
        """Tries each pending settlement once, before a shutdown.

        Returns:
            Whether none is left.
        """
        return await self.settler.settle_all()

    async def claim(
        self, request: types.ClaimRequest, deadline: float
    ) -> types.ClaimOutcome:
        """Claims a key; see `claims.types.Claims.claim`."""
        name = records.object_name(self.deployment, request)
        outcome = self._check_local_state(name, request)
        if outcome is not None:
            return outcome
        now = asyncio.get_running_loop().time()
        if now >= deadline:
            return attempts.unavailable("The deadline passed before the claim.")
        if not self.arbitration.breaker.allows_call(now):
            return attempts.unavailable("The object API does not answer.")
        attempt = self._start_attempt(name, request, deadline - now)
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
        response: types.RecordedResponse,
    ) -> None:
        """Records the response; cached locally even if the API is down."""
        await self._settle(
            request,
            nonce,
            records.State.DONE,
            records.to_stored_response(response),
        )

    async def release(self, request: types.ClaimRequest, nonce: str) -> None:
        """Releases a claim; allowed only if no byte reached a server."""
        await self._settle(request, nonce, records.State.RELEASED)

    async def mark_unknown(
        self, request: types.ClaimRequest, nonce: str
    ) -> None:
        """Records that it is unknown whether the request was run."""
        await self._settle(request, nonce, records.State.UNKNOWN)

    def _check_local_state(
        self, name: str, request: types.ClaimRequest
    ) -> types.ClaimOutcome | None:
        wall = self.wall()
        attempt = self.active.get(name)
        if attempt is not None:
            return records.evaluate(
                attempt.record._replace(answer_by=wall + 1), request, wall
            )
        cached = self.outcomes.get(name, wall)
        if cached is None:
            return None
        if not records.is_same_request(
            request, cached.fingerprint, cached.service, cached.host
        ):
            return records.deny(
                ErrorKind.KEY_REUSED, "The key was used for another request."
            )
        return cached.outcome

    def _start_attempt(
        self, name: str, request: types.ClaimRequest, timeout_s: float
    ) -> attempts.ClaimAttempt:
        wall = self.wall()
        record = records.Record(
            service=request.service,
            fingerprint=request.fingerprint,
            nonce=self.nonce(),
            daemon=self.daemon,
            state=records.State.CLAIMED,
            claimed_at=wall,
            answer_by=wall + timeout_s + FINISH_MARGIN_S,
            expires_at=wall + request.retention_s,
            host=request.host,
        )
        attempt = attempts.ClaimAttempt(name, request, record)
        self.active[name] = attempt
        return attempt

    async def _arbitrate_until(
        self, attempt: attempts.ClaimAttempt, deadline: float
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

    async def _arbitrate(
        self, attempt: attempts.ClaimAttempt
    ) -> types.ClaimOutcome:
        """Claims the key and concurrently reads its legacy record."""
        async with asyncio.TaskGroup() as group:
            legacy = group.create_task(
                self.arbitration.read_legacy_record(attempt)
            )
            outcome = await self.arbitration.run(attempt)
        return legacy.result() or outcome

    def _abandon(self, attempt: attempts.ClaimAttempt) -> None:
        """Releases a claim that was not granted or was cancelled."""
        del self.active[attempt.name]
        if attempt.item is None and not attempt.in_doubt:
            return
        record = attempt.record._replace(state=records.State.RELEASED)
        self.settler.enqueue(
            settling.Settlement(attempt.name, record, attempt.item)
        )

    async def _settle(
        self,
        request: types.ClaimRequest,
        nonce: str,
        state: records.State,
        response: records.StoredResponse | None = None,
    ) -> None:
        name = records.object_name(self.deployment, request)
        attempt = self.active.get(name)
        if attempt is None or attempt.record.nonce != nonce:
            log.error("claims: settlement matches no claim of this daemon.")
            return
        del self.active[name]
        record = attempt.record._replace(state=state, answer=response)
        self.outcomes.put_record(name, record, self.wall())
        settlement = settling.Settlement(name, record, attempt.item)
        self.settler.enqueue(settlement)
        await self.settler.settle(settlement)
