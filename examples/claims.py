"""Runs a keyed request at most once: `python examples/claims.py`."""

import asyncio
import time

from banyantiller.claims.arbiter import StoreClaims
from banyantiller.claims.types import ClaimRequest, Finished, Granted
from banyantiller.claims.types import RecordedResponse as Response
from banyantiller.store.memory import MemoryStore


async def deposit(claims: StoreClaims, request: ClaimRequest) -> str:
    """Pays a deposit unless its key was used; returns the outcome."""
    deadline = asyncio.get_running_loop().time() + 5
    match await claims.claim(request, deadline):
        case Granted(nonce):
            await claims.finish(request, nonce, Response(201, (), b"paid"))
            return "paid now"
        case Finished(response):
            return f"paid before, response {response.body!r}"
        case denied:
            return f"not run: {denied.failure.detail}"


async def main() -> None:
    """Two daemons receive a request with the same key."""
    store = MemoryStore()
    first, second = (
        StoreClaims.from_settings(store, "orders", name, time.time)
        for name in ("daemon-1", "daemon-2")
    )
    request = ClaimRequest("desk", "key-7", "fingerprint", retention_s=60)
    print(await deposit(first, request))
    print(await deposit(second, request))


if __name__ == "__main__":
    asyncio.run(main())
