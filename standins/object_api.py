"""Stand-in of the platform's object API, in memory.

Serves the REST form of Kubernetes custom objects. Besides:

    PUT /standin/faults   sets fields of `Faults`, given as a JSON object
    GET /standin/faults   shows them
    GET /standin/calls    shows calls by verb and by kind
"""

import asyncio
import dataclasses

import defopt

from banyantiller.http import messages
from banyantiller.http import server_connection as connections
from standins import answers, object_calls, object_rest, runner

RETRY_AFTER = (("retry-after", "1"),)


class ObjectApi:
    """Faults and counts in front of the objects.

    Attributes:
        rest: Answers calls without faults.
        faults: What fails at present.
        counts: Calls so far.
        late: Writes that go on although their caller has left.
    """

    def __init__(self, bookmark_s: float = 1.0) -> None:
        self.faults = object_calls.Faults()
        self.rest = object_rest.ObjectRest(self.faults, bookmark_s)
        self.counts = object_calls.CallCounts()
        self.late: set[asyncio.Task[messages.Response]] = set()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        try:
            if request.path.startswith("/standin/"):
                return self._control(request)
            return await self._call(object_calls.parse(request))
        except answers.BadRequestError as error:
            return object_rest.refuse(400, "BadRequest", str(error))

    async def _call(self, call: object_calls.Call) -> messages.Response:
        self.counts.add(call)
        if self.faults.cut:
            raise connections.CutError
        if self.faults.down:
            return object_rest.refuse(
                503, "ServiceUnavailable", "down", RETRY_AFTER
            )
        if call.verb not in object_calls.WRITES:
            await asyncio.sleep(self.faults.slow)
            return self.rest.answer(call)
        task = asyncio.ensure_future(self._write(call))
        self.late.add(task)
        task.add_done_callback(self.late.discard)
        return await asyncio.shield(task)

    async def _write(self, call: object_calls.Call) -> messages.Response:
        await asyncio.sleep(self.faults.slow)
        response = self.rest.answer(call)
        if self.faults.lose_answers > 0 and response.status < 300:
            self.faults.lose_answers -= 1
            raise connections.CutError
        return response

    def _control(self, request: messages.Request) -> messages.Response:
        if request.path == "/standin/calls":
            return answers.to_json(200, self.counts.report())
        if request.path != "/standin/faults":
            return answers.to_json(404, {"error": "unknown path"})
        if request.method != "GET":
            was_stale = self.faults.stale
            answers.apply_fields(self.faults, request.body)
            if self.faults.stale != was_stale:
                self.rest.serve_stale(self.faults.stale)
            self.rest.table.wake()
        return answers.to_json(200, dataclasses.asdict(self.faults))


def main(*, port: int = 0, bookmark_s: float = 1.0) -> None:
    """Serves objects on the loopback address until SIGTERM.

    Args:
        port: Port; 0 lets the system choose.
        bookmark_s: Period of bookmarks on a watch without changes.
    """
    asyncio.run(runner.run(ObjectApi(bookmark_s).handle, port))


if __name__ == "__main__":
    defopt.run(main)
