"""Stand-in of the store of the users' platform, in memory.

GET /api/objects/KIND           lists; watches with `watch` and `waitMs`
PUT /standin/objects/KIND/NAME  writes the content of an object
DELETE /standin/objects/KIND/NAME
PUT /standin/faults             sets fields of `Faults`
"""

import asyncio
import dataclasses
import json
from typing import Any

import defopt

from banyantiller.http import messages
from banyantiller.http import server_connection as connections
from standins import answers, runner

PREFIX = "/api/objects/"
OBJECTS = "/standin/objects/"
PAGE_ITEMS = 500
FOREVER_S = 3600.0


@dataclasses.dataclass
class Faults:
    """What fails.

    Attributes:
        down: Calls get 503.
        busy: Calls get 429.
        silent: Calls get no answer.
        reset: Connections are cut.
        lost: Calls are carried out and their answers lost; the connection
            stays open and returns nothing further.
        slow: Seconds that a call takes.
        page: Most items of a page.
    """

    down: bool = False
    busy: bool = False
    silent: bool = False
    reset: bool = False
    lost: bool = False
    slow: float = 0.004
    page: int = PAGE_ITEMS


class PlatformStore:
    """Objects, their history, and faults in front of them.

    Attributes:
        faults: What fails at present.
        objects: Objects by kind and name.
        revision: Revision of the last change.
        history: Revision, kind, object and whether it was removed.
        oldest: Revision from which history is kept.
        changed: Set at each change; replaced after it.
        calls: Calls so far.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.oldest = 1
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Creates an object or replaces its content."""
        before = self.objects.get(kind, {}).get(name)
        if before is not None and before["spec"] == spec:
            return
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._note(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def forget(self) -> None:
        """Drops the history."""
        self.history.clear()
        self.oldest = self.revision + 1

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        if request.path.startswith("/standin/"):
            return self._control(request)
        self.calls += 1
        faults = self.faults
        await asyncio.sleep(FOREVER_S if faults.silent else faults.slow)
        if faults.reset:
            raise connections.CutError
        if faults.down or faults.busy:
            return answers.to_json(503 if faults.down else 429, {})
        kind = request.path.removeprefix(PREFIX)
        if request.method != "GET" or "/" in kind:
            return answers.to_json(404, {"error": "not in the stand-in"})
        if "watch" in request.query:
            answer = await self._watch(kind, request.query)
        else:
            answer = self._list(kind, request.query.get("after", ""))
        if self.faults.lost:
            await asyncio.sleep(FOREVER_S)
        return answer

    def _list(self, kind: str, after: str) -> messages.Response:
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        shown = names[: self.faults.page]
        return answers.to_json(
            200,
            {
                "items": [self.objects[kind][name] for name in shown],
                "more": len(shown) < len(names),
                "currentRev": self.revision,
            },
        )

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> messages.Response:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        while True:
            if since + 1 < self.oldest:
                return answers.to_json(410, {})
            events = [
                {"object": item, "removed": removed}
                for revision, of, item, removed in self.history
                if revision > since and of == kind
            ]
            left = until - loop.time()
            if events or left <= 0:
                body = {"events": events, "currentRev": self.revision}
                return answers.to_json(200, body)
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass
            if self.faults.silent:
                await asyncio.sleep(FOREVER_S)

    def _note(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def _control(self, request: messages.Request) -> messages.Response:
        if request.path == "/standin/faults":
            answers.apply_fields(self.faults, request.body)
            return answers.to_json(200, dataclasses.asdict(self.faults))
        kind, _, name = request.path.removeprefix(OBJECTS).partition("/")
        if request.method == "DELETE":
            self.remove(kind, name)
        else:
            self.put(kind, name, json.loads(request.body))
        return answers.to_json(200, {"revision": self.revision})


def main(*, port: int = 0) -> None:
    """Runs the stand-in.

    Args:
        port: Port; 0 lets the system choose.
    """
    asyncio.run(_main(port))


async def _main(port: int) -> None:
    await runner.run(PlatformStore().handle, port)


if __name__ == "__main__":
    defopt.run(main)
