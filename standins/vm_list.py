"""Stand-in of the platform's VM list.

GET /vms                 the list, as `banyantiller.vmlist.http` reads it
PUT /standin/vms         replaces the list: {"vms": [...]}
PUT /standin/vms/NAME    sets the state: {"state": "leaving"}
DELETE /standin/vms/NAME removes a VM
PUT /standin/faults      sets fields of `Faults`; GET shows them
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

import defopt

from banyantiller.http import messages
from standins import answers, runner

MOST_HISTORY = 1000
STATES = ("live", "leaving")


@dataclasses.dataclass
class Faults:
    """What fails.

    Attributes:
        down: Reads get 503.
        slow: Seconds that a read takes.
        stale: Reads show the list at the time of the switch.
        lag: Seconds by which the list lags.
    """

    down: bool = False
    slow: float = 0.0
    stale: bool = False
    lag: float = 0.0


class VmListStandin:
    """The list with its history.

    Attributes:
        faults: What fails at present.
        history: Times of changes and the VMs by name from then on.
        reads: Number of reads.
    """

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        self.wall = wall
        self.faults = Faults()
        self.history: list[tuple[float, dict[str, dict[str, Any]]]] = [
            (wall(), {})
        ]
        self.stale_since = 0.0
        self.reads = 0

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        try:
            if request.path == "/vms":
                return await self._read()
            if request.path == "/standin/faults":
                return self._set_faults(request)
            if request.path.startswith("/standin/vms"):
                return self._set_vms(request)
        except answers.BadRequestError as error:
            return answers.to_json(400, {"error": str(error)})
        return answers.to_json(404, {"error": "unknown path"})

    async def _read(self) -> messages.Response:
        self.reads += 1
        await asyncio.sleep(self.faults.slow)
        if self.faults.down:
            return answers.to_json(503, {"error": "down"})
        as_of = self.stale_since if self.faults.stale else self.wall()
        as_of -= self.faults.lag
        return answers.to_json(
            200, {"as_of": as_of, "vms": list(self._at(as_of).values())}
        )

    def _at(self, as_of: float) -> dict[str, dict[str, Any]]:
        known = [vms for changed, vms in self.history if changed <= as_of]
        return known[-1] if known else self.history[0][1]

    def _set_faults(self, request: messages.Request) -> messages.Response:
        if request.method != "GET":
            was_stale = self.faults.stale
            answers.apply_fields(self.faults, request.body)
            if self.faults.stale and not was_stale:
                self.stale_since = self.wall()
        return answers.to_json(200, dataclasses.asdict(self.faults))

    def _set_vms(self, request: messages.Request) -> messages.Response:
        name = request.path.removeprefix("/standin/vms").strip("/")
        vms = dict(self.history[-1][1])
        if not name:
            listed = answers.read_object(request.body).get("vms", [])
            vms = {vm["name"]: vm for vm in listed}
        elif name not in vms:
            return answers.to_json(404, {"error": "no such VM"})
        elif request.method == "DELETE":
            del vms[name]
        else:
            state = answers.read_object(request.body).get("state")
            if state not in STATES:
                raise answers.BadRequestError("state is live or leaving")
            vms[name] = {**vms[name], "state": state}
        self.history.append((self.wall(), vms))
        del self.history[:-MOST_HISTORY]
        return answers.to_json(200, {"vms": list(vms.values())})


def main(*, port: int = 0) -> None:
    """Serves the list on the loopback address until SIGTERM.

    Args:
        port: Port; 0 lets the system choose.
    """
    asyncio.run(runner.run(VmListStandin().handle, port))


if __name__ == "__main__":
    defopt.run(main)
