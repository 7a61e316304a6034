"""Two daemons share a probe budget: `python examples/budget.py`."""

import asyncio
import time

from banyantiller.bundle.options import MeasuringPolicy, Service
from banyantiller.kernel.core import Kernel
from banyantiller.measuring.budget import Budget
from banyantiller.store.memory import MemoryStore

DURATION_S = 30.0
DESK = Service("desk", (), measuring=MeasuringPolicy(probes_per_second=4))


async def count_probes(budget: Budget, name: str) -> int:
    """Returns how many probes the budget allows one daemon."""
    kernel = Kernel()
    kernel.start(name, budget.run)
    loop, sent = asyncio.get_running_loop(), 0
    charge = budget.charger("desk")
    for _ in range(int(DURATION_S / 0.05)):
        sent += charge(loop.time())
        await asyncio.sleep(0.05)
    await kernel.stop()
    return sent


async def main() -> None:
    """Prints how many probes two daemons send in total."""
    store, names = MemoryStore(), ("daemon-1", "daemon-2")
    budgets = [Budget.from_settings(store, "x", n, time.time) for n in names]
    for budget in budgets:
        budget.configure([DESK])
    sent = await asyncio.gather(*map(count_probes, budgets, names))
    print("probes in", DURATION_S, "s:", sum(sent))


if __name__ == "__main__":
    asyncio.run(main())
