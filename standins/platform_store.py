"""Stand-in of the store of the users' platform, in memory.

GET /api/objects/KIND           lists; watches with `watch` and `waitMs`
GET /api/objects/KIND/NAME      one object
POST /api/objects/KIND          creates an object
PUT /api/objects/KIND/NAME      replaces its content; /status its status
DELETE /api/objects/KIND/NAME
PUT /standin/objects/KIND/NAME  writes the content of an object
DELETE /standin/objects/KIND/NAME
PUT /standin/faults             sets fields of `Faults`
PUT /standin/copy               saves a copy
PUT /standin/restore            comes back from the last copy

Writes may carry a `revision` that the object must have. Reads with `staleOk`
may be as old as `Faults.stale` says.
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
        late: Seconds after which a write is carried out that got no answer;
            0 for none.
        deaf: Watches that begin now hear of no change until their wait is over.
        stale: Seconds that a read with `staleOk` is behind.
        slow: Seconds that a call takes.
        page: Most items of a page.
    """

    down: bool = False
    busy: bool = False
    silent: bool = False
    reset: bool = False
    lost: bool = False
    late: float = 0.0
    deaf: bool = False
    stale: float = 0.0
    slow: float = 0.004
    page: int = PAGE_ITEMS


class PlatformStore:
    """Objects, their history, and faults in front of them.

    Attributes:
        faults: What fails at present.
        objects: Objects by kind and name.
        revision: Revision of the last change.
        history: Revision, kind, object and whether it was removed.
        past: Times and what existed from then on, for stale reads.
        oldest: Revision from which history is kept.
        changed: Set at each change; replaced after it.
        calls: Calls so far.
        texts: Contents that are no JSON, by the bytes that stand for them.
        era: How often the store came back from a copy.
        copy: Objects and revision of the last copy, or None.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.texts: dict[bytes, bytes] = {}
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.oldest = 1
        self.changed = asyncio.Event()
        self.calls = 0
        self.past: list[tuple[float, dict[str, dict[str, Any]], int]] = []
        self.late: set[asyncio.Task[None]] = set()
        self.era = 1
        self.copy: tuple[dict[str, dict[str, dict[str, Any]]], int] | None = (
            None
        )

    def save_copy(self) -> None:
        """Saves a copy from which the store can come back."""
        objects = {name: dict(items) for name, items in self.objects.items()}
        self.copy = objects, self.revision

    def restore(self) -> None:
        """Comes back from the last copy, without history.

        Waiting watches are cut. Revisions are given out again.
        """
        if self.copy is None:
            raise ValueError("no copy was saved")
        objects, self.revision = self.copy
        self.objects = {name: dict(items) for name, items in objects.items()}
        self.era += 1
        self.forget()
        self._wake()

    def write_again(self, objects: dict[str, dict[str, Any]]) -> None:
        """Repeats the changes that a restored store lacks.

        What was written since the restore stays.

        Args:
            objects: What the store held before, by kind and name.
        """
        copied = self.copy[0] if self.copy else {}
        for kind in objects.keys() | copied.keys():
            wanted = objects.get(kind, {})
            for name in wanted.keys() | copied.get(kind, {}).keys():
                held = self.objects.get(kind, {}).get(name)
                if held is not copied.get(kind, {}).get(name):
                    continue
                if name in wanted:
                    self.put(kind, name, wanted[name]["spec"])
                else:
                    self.remove(kind, name)

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Creates an object or replaces its content."""
        before = self.objects.get(kind, {}).get(name)
        if before is not None and before["spec"] == spec:
            return
        self._store(kind, name, spec, None, before)

    def put_text(self, kind: str, name: str, text: bytes) -> None:
        """Writes an object whose content is a text that may be no JSON."""
        mark = f"{kind}-{name}-{self.revision}"
        self.texts[b'{"text":"%s"}' % mark.encode()] = text
        self.put(kind, name, {"text": mark})

    def _store(
        self,
        kind: str,
        name: str,
        spec: Any,
        status: Any,
        before: dict[str, Any] | None,
    ) -> dict[str, Any]:
        self.revision += 1
        created = before["metadata"]["created"] if before else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._note(kind, item, False)
        return item

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
        if request.method == "GET":
            answer = await self._read(request)
        elif faults.late:
            self._write_later(request, faults.late)
            await asyncio.sleep(FOREVER_S)
        else:
            answer = self._write(request)
        if self.faults.lost:
            await asyncio.sleep(FOREVER_S)
        headers = (*answer.headers, ("store-era", str(self.era)))
        answer = answer._replace(headers=headers)
        body = answer.body
        for mark, text in self.texts.items():
            body = body.replace(mark, text)
        return answer._replace(body=body)

    async def _read(self, request: messages.Request) -> messages.Response:
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        query = request.query
        if "watch" in query:
            return await self._watch(kind, query)
        objects, revision = self._seen(query.get("staleOk") == "1")
        if not name:
            return self._list(
                objects.get(kind, {}), revision, query.get("after", "")
            )
        found = objects.get(kind, {}).get(name)
        return answers.to_json(200 if found else 404, found or {})

    def _seen(self, stale: bool) -> tuple[dict[str, dict[str, Any]], int]:
        """Returns what a read sees: the present, or some seconds ago."""
        if not stale or not self.faults.stale:
            return self.objects, self.revision
        oldest = asyncio.get_running_loop().time() - self.faults.stale
        seen = [(objects, r) for at, objects, r in self.past if at <= oldest]
        return seen[-1] if seen else ({}, 1)

    def _write_later(self, request: messages.Request, after_s: float) -> None:
        async def write() -> None:
            await asyncio.sleep(after_s)
            self._write(request)

        task = asyncio.ensure_future(write())
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    def _write(self, request: messages.Request) -> messages.Response:
        """Carries out a write if its condition holds."""
        kind, *rest = request.path.removeprefix(PREFIX).split("/")
        body = json.loads(request.body or b"{}")
        meta = body.get("metadata", {})
        name = rest[0] if rest else meta.get("name", "")
        held = self.objects.get(kind, {}).get(name)
        wanted = meta.get("revision", request.query.get("revision"))
        if request.method == "POST":
            if held is not None:
                return answers.to_json(409, held)
        elif held is None:
            return answers.to_json(404, {})
        elif wanted is not None and int(wanted) != _revision_of(held):
            return answers.to_json(409, held)
        if request.method == "DELETE":
            self.remove(kind, name)
            return answers.to_json(200, held)
        fresh = {"spec": None, "status": None} | (held or {})
        changed = "status" if rest[1:] == ["status"] else "spec"
        if held is not None and held[changed] == body.get(changed):
            return answers.to_json(200, held)
        fresh = {**fresh, changed: body.get(changed)}
        item = self._store(kind, name, fresh["spec"], fresh["status"], held)
        return answers.to_json(200, item)

    def _list(
        self, objects: dict[str, Any], revision: int, after: str
    ) -> messages.Response:
        names = sorted(name for name in objects if name > after)
        shown = names[: self.faults.page]
        return answers.to_json(
            200,
            {
                "items": [objects[name] for name in shown],
                "more": len(shown) < len(names),
                "currentRev": revision,
            },
        )

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> messages.Response:
        since = int(query["watch"])
        era = self.era
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        if self.faults.deaf:
            await asyncio.sleep(until - loop.time())
        while True:
            if self.era != era:
                raise connections.CutError
            if since + 1 < self.oldest or since > self.revision:
                return answers.to_json(410, {})
            events = [
                {"object": item, "removed": removed}
                for revision, of, item, removed in self.history
                if revision > since and of == kind
            ]
            left = until - loop.time()
            if events or left <= 0:
                if self.faults.silent:
                    await asyncio.sleep(FOREVER_S)
                body = {"events": events, "currentRev": self.revision}
                return answers.to_json(200, body)
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _note(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        held = {name: dict(items) for name, items in self.objects.items()}
        now = asyncio.get_running_loop().time()
        self.past.append((now, held, self.revision))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _control(self, request: messages.Request) -> messages.Response:
        if request.path == "/standin/faults":
            answers.apply_fields(self.faults, request.body)
            return answers.to_json(200, dataclasses.asdict(self.faults))
        if request.path == "/standin/copy":
            self.save_copy()
            return answers.to_json(200, {"revision": self.revision})
        if request.path == "/standin/restore":
            self.restore()
            return answers.to_json(200, {"era": self.era})
        kind, _, name = request.path.removeprefix(OBJECTS).partition("/")
        if request.method == "DELETE":
            self.remove(kind, name)
        else:
            self.put(kind, name, json.loads(request.body))
        return answers.to_json(200, {"revision": self.revision})


def _revision_of(item: dict[str, Any]) -> int:
    return int(item["metadata"]["revision"])


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
