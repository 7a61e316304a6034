"""One daemon of the demonstration as its callers and its platform reach it."""

import asyncio
import json

from banyantiller.http import client, outcomes
from standins.demo import files

READY_PERIOD_S = 0.1
ADMIN_TIMEOUT_S = 1.0


class Gateway:
    """One daemon as callers reach it.

    Attributes:
        ready: Whether the daemon wants callers, as last told.
        was_ready: Set once the daemon has been ready.
    """

    def __init__(self, callers: int, admin: int) -> None:
        self.user = client.HttpClient(files.ADDRESS, callers)
        self.admin = client.HttpClient(files.ADDRESS, admin)
        self.ready = False
        self.was_ready = asyncio.Event()

    async def follow_readiness(self) -> None:
        """Does what the platform's balancer does."""
        while True:
            await self.check()
            await asyncio.sleep(READY_PERIOD_S)

    async def check(self) -> None:
        """Asks once."""
        outcome = await self.admin.request("GET", "/readyz", ADMIN_TIMEOUT_S)
        self.ready = (
            isinstance(outcome, outcomes.Answered)
            and outcome.response.status == 200
        )
        if self.ready:
            self.was_ready.set()

    async def bundle(self) -> int:
        """Returns the version in force, 0 if the daemon doesn't answer."""
        outcome = await self.admin.request("GET", "/status", ADMIN_TIMEOUT_S)
        if not isinstance(outcome, outcomes.Answered):
            return 0
        return int(json.loads(outcome.body)["bundle"])

    async def close(self) -> None:
        """Closes all connections."""
        await self.user.close()
        await self.admin.close()
