"""Stand-in of a server of the users' platform, on raw streams.

It executes requests in slots, tells its load, and can be told to fail in the
ways that servers do. Raw streams, since it also sends what is no answer.
"""

import asyncio
import collections
import dataclasses
import random
import socket
from collections.abc import Callable
from typing import NamedTuple

import h11

from banyantiller.http import connection
from standins import endless_server

STANDARD_MS = 60.0
# Work is done when less than this is left of it, in seconds.
LEAST_WORK_S = 1e-9
# Longer than any caller waits.
ENDLESS_S = 60.0


@dataclasses.dataclass
class Faults:
    """What the server does wrong.

    Attributes:
        silent: Reads requests and answers nothing, not even of its health.
        mute: Answers its health and no request.
        lose: Executes a request and never answers it.
        reset: Executes a request and resets the connection.
        cut: Breaks an answer off in the middle.
        twice: Sends an answer a second time, `twice_after` seconds later.
        shed: Turns requests away although it has free slots.
        shed_share: Part of the requests that it turns away so, 0 to 1.
        fail: Answers 500.
        silent_503: Executes a request and answers 503 without its mark for
            what was not executed.
        unsigned: Leaves its mark off.
        ill: Calls itself unfit.
        unframed: Answers without a length and closes.
        other_id: Echoes another identity.
        late_rejections: Rejects without an identity, and repeats a rejection
            where the next answer on the connection is due.
        endless: Pattern of bytes that it sends without end in place of an
            answer, by its name; empty for none.
        ended_by: Begin of the targets of requests that end it once it has
            worked on them; empty for none.
    """

    silent: bool = False
    mute: bool = False
    lose: bool = False
    reset: bool = False
    cut: bool = False
    twice: bool = False
    twice_after: float = 0.0
    shed: bool = False
    shed_share: float = 0.0
    fail: bool = False
    silent_503: bool = False
    unsigned: bool = False
    ill: bool = False
    unframed: bool = False
    other_id: bool = False
    late_rejections: bool = False
    endless: str = ""
    ended_by: str = ""


class Arrival(NamedTuple):
    """A request that reached the server.

    Attributes:
        at: Loop time.
        request_id: Its identity.
        refusal: Status with which it was turned away, or 0.
        target: Its path and query.
        retry_after: `Retry-After` of the refusal; empty for none.
        source: IP number from which it came.
        organisation: Organisation of its caller, as it says.
        shows_key: Whether it shows the caller's key.
    """

    at: float
    request_id: str
    refusal: int
    target: str
    retry_after: str = ""
    source: str = ""
    organisation: str = ""
    shows_key: bool = False


class RegisteredServer:
    """One start of a server.

    Attributes:
        instance: Identity of this start.
        slots: Requests executed at once.
        slowness: Percent of the usual time that work takes.
        work_s: Usual time of one request, in seconds.
        full_slowdown: How much longer work takes while all slots are taken.
        tells_load: Whether it tells its load; if not, questions for its
            health take a slot.
        faults: What it does wrong.
        cold_until: Loop time until which it calls itself cold.
        leaving: Says in all its answers that it is about to leave.
        retry_after: Value of `Retry-After` in its refusals; empty for none.
        limit: Requests a second that it says it takes from all callers, as
            it writes them in answers to requests; empty for none.
        late_copies: Rejections that are repeated in place of the next answer
            on their connection.
        ran: Identities of the requests that it executed.
        seen: Heads of the requests that reached it, health left out.
        arrivals: The same requests with time and outcome.
        asked: Questions for its health.
        freed: Set when a slot gets free.
        dropped: Requests whose connection was closed while they ran.
        on_end: Called when a request has ended it.
    """

    def __init__(
        self, instance: str, slots: int = 2, work_s: float = STANDARD_MS / 1000
    ) -> None:
        self.instance = instance
        self.slots = slots
        self.slowness = 100
        self.work_s = work_s
        self.full_slowdown = 1.0
        self.changed = asyncio.Event()
        self.tells_load = True
        self.faults = Faults()
        self.cold_until = 0.0
        self.limit = ""
        self.leaving = False
        self.retry_after = ""
        self.random = random.Random(instance)
        self.late_copies: dict[asyncio.StreamWriter, bytes] = {}
        self.ran: collections.Counter[str] = collections.Counter()
        self.seen: list[dict[str, str]] = []
        self.arrivals: list[Arrival] = []
        self.bodies: list[bytes] = []
        self.asked = 0
        self.dropped = 0
        self.running = 0
        self.freed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_end: Callable[[], None] = lambda: None

    async def start(self, address: str, port: int = 0) -> int:
        """Listens and returns the port, which is chosen for 0."""
        self.server = await asyncio.start_server(self._serve, address, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def cool_down(self, for_s: float) -> None:
        """Is cold for a while; it says so when it is asked for its health."""
        self.cold_until = asyncio.get_running_loop().time() + for_s

    def stop(self) -> None:
        """Stops at once; open connections break."""
        if self.server is not None:
            self.server.close()
        # One that ends the server itself is about to end.
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await self._exchange(reader, writer):
                pass
        except (OSError, asyncio.CancelledError, h11.RemoteProtocolError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        codec = h11.Connection(h11.SERVER)
        head, body = await self._read(codec, reader)
        if head is None:
            return False
        fields = {n.decode(): v.decode() for n, v in head.headers}
        if self.faults.silent:
            await asyncio.sleep(3600)
        if head.target == b"/health":
            self.asked += 1
            if not self.tells_load and self.running >= self.slots:
                self.freed.clear()
                await self.freed.wait()
            status = 503 if self.faults.ill else 200
            fields = self._warmup()
            if self.faults.ill and self.retry_after:
                fields["retry-after"] = self.retry_after
            writer.write(self._answer(codec, status, fields, b""))
            return True
        self.seen.append(fields)
        self.bodies.append(body)
        writer.write(self.late_copies.pop(writer, b""))
        own = {"attempt-id": fields.get("attempt-id", "")}
        if self.limit:
            own["server-limit"] = self.limit
        refusal = self._refusal(fields)
        now = asyncio.get_running_loop().time()
        status = refusal[0] if refusal else 0
        target = head.target.decode()
        retry_after = refusal[1].get("retry-after", "") if refusal else ""
        self.arrivals.append(
            Arrival(
                now,
                own["attempt-id"],
                status,
                target,
                retry_after,
                writer.get_extra_info("peername")[0],
                fields.get("tenant", ""),
                "credential" in fields,
            )
        )
        if refusal:
            if self.faults.late_rejections:
                del own["attempt-id"]
            data = self._answer(codec, refusal[0], own | refusal[1], b"refused")
            if self.faults.late_rejections:
                self.late_copies[writer] = data
            writer.write(data[:-3] if self.faults.cut else data)
            return not self.faults.cut
        return await self._run(codec, reader, writer, own, head)

    def _warmup(self) -> dict[str, str]:
        left_s = self.cold_until - asyncio.get_running_loop().time()
        return {"warmup-ms": f"{left_s * 1000:.0f}"} if left_s > 0 else {}

    def _refusal(self, fields: dict[str, str]) -> tuple[int, dict] | None:
        wanted = fields.get("target-instance", self.instance)
        if wanted != self.instance:
            return 421, {}
        shed = self.random.random() < self.faults.shed_share
        if shed or self.faults.shed or self.running >= self.slots:
            fields = {"not-executed": "1"}
            if self.retry_after:
                fields["retry-after"] = self.retry_after
            return 503, fields
        return None

    async def _run(
        self,
        codec: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
        head: h11.Request,
    ) -> bool:
        self.ran[own["attempt-id"]] += 1
        self.running += 1
        self.speed_changed()
        left = asyncio.ensure_future(reader.read(1))
        try:
            await self._work(left)
            gone = left.done()
        finally:
            self.running -= 1
            self.freed.set()
            self.speed_changed()
            left.cancel()
            await asyncio.wait({left})
        if gone:
            self.dropped += 1
            return False
        if self._is_ended_by(head):
            self.stop()
            self.on_end()
            return False
        has_body = head.method != b"HEAD"
        return await self._finish(codec, writer, own, has_body)

    def _is_ended_by(self, head: h11.Request) -> bool:
        target = self.faults.ended_by
        return bool(target) and head.target.decode().startswith(target)

    async def _work(self, left: asyncio.Future[bytes]) -> None:
        """Works at the speed of each moment until done or the caller left."""
        loop = asyncio.get_running_loop()
        work_s = 3600.0 if self.faults.mute else self.work_s
        while work_s > LEAST_WORK_S and not left.done():
            began = loop.time()
            speed = self._speed()
            changed = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait(
                {left, changed},
                timeout=work_s / speed,
                return_when=asyncio.FIRST_COMPLETED,
            )
            changed.cancel()
            work_s -= (loop.time() - began) * speed

    def _speed(self) -> float:
        full = self.slots > 1 and self.running >= self.slots
        return 100 / self.slowness / (self.full_slowdown if full else 1.0)

    def speed_changed(self) -> None:
        """Has to be called after a change of what the speed depends on."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def _finish(
        self,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
        has_body: bool,
    ) -> bool:
        faults = self.faults
        if faults.lose:
            await asyncio.sleep(3600)
        if faults.reset:
            return False
        if faults.endless:
            pattern = endless_server.NO_ANSWER[faults.endless]
            pattern = pattern.answering(own["attempt-id"].encode())
            # An orderly end would complete a body without a length.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, connection.RESET_ON_CLOSE
            )
            writer.write(pattern.begin)
            await endless_server.send(writer, pattern.part, ENDLESS_S)
            return False
        status = 500 if faults.fail else 200
        if faults.silent_503:
            status = 503
        if not faults.unsigned:
            own["upstream-signature"] = f"by.{self.instance}"
        if faults.other_id:
            own["attempt-id"] = "another"
        body = f"{own['attempt-id']} at {self.instance}".encode() * has_body
        if faults.unframed:
            lines = "".join(f"{n}: {v}\r\n" for n, v in own.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)
            await writer.drain()
            writer.write_eof()
            await asyncio.sleep(1)
            return False
        data = self._answer(codec, status, own, body)
        if faults.cut:
            writer.write(data[:-3])
            return False
        writer.write(data)
        if faults.twice:
            await asyncio.sleep(faults.twice_after)
            writer.write(data)
        return True

    def _answer(
        self,
        codec: h11.Connection,
        status: int,
        fields: dict[str, str],
        body: bytes,
    ) -> bytes:
        load = f"{self.running},0,{self.slots},{self.slowness}"
        headers = {
            "content-length": str(len(body)),
            "instance-id": self.instance,
            "upstream-load": load,
            **fields,
        }
        if not self.tells_load:
            del headers["upstream-load"]
        if self.leaving:
            headers["server-leaving"] = "1"
        head = h11.Response(status_code=status, headers=list(headers.items()))
        data = codec.send(head)
        if body:
            data += codec.send(h11.Data(data=body))
        return data + codec.send(h11.EndOfMessage())

    async def _read(
        self, codec: h11.Connection, reader: asyncio.StreamReader
    ) -> tuple[h11.Request | None, bytes]:
        head = None
        body = b""
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return head, body
            else:
                return None, body
