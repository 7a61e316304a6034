"""Callers that keep connections open until the daemon closes them."""

import asyncio
import itertools
import random

import h11

from soak import contents
from soak import record as records
from soak.contents import HOST, TIMEOUT_S
from soak.gateways import Daemon
from soak.record import Attempt
from soak.world import World
from standins import endless_server, runner

CONNECT_S = 1.0
# Time between the requests of one connection.
PAUSE_S = 0.05
# How long a caller waits past a request's limit, so that late answers show.
MARGIN_S = 2.0
# Share of the requests that are sent with others behind them.
PIPELINED = 0.3
MOST_TOGETHER = 4
# Share of the requests that the caller gives up early.
GIVEN_UP = 0.03
PROBE_S = 0.25
REPEAT_S = 0.12
READ_BYTES = 65536
PATHS = ((records.READ, "/read/x"), (records.FILE, "/file/x"),
         (records.READ, "/look/x"))  # fmt: skip
SAFE_PATHS = tuple(path for path in PATHS if path[0] == records.READ)


class Caller:
    """Sends requests over one connection after the other.

    Attributes:
        names: Source of identities that no other caller uses.
    """

    def __init__(self, world: World, number: int, seed: int) -> None:
        self.world = world
        self.number = number
        self.random = random.Random(f"{seed}-{number}")
        self.names = itertools.count()

    async def run(self) -> None:
        """Calls until cancelled."""
        while True:
            daemon = self._choose()
            try:
                async with asyncio.timeout(CONNECT_S):
                    connection = await Connection.to(self.world, daemon)
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                await self._use(connection)
            finally:
                connection.close()

    def _choose(self) -> Daemon:
        """Chooses a daemon as the platform's balancer does."""
        daemons = [d for d in self.world.daemons if d.in_rotation]
        return self.random.choice(daemons or self.world.daemons)

    async def _use(self, connection: "Connection") -> None:
        while not connection.ended:
            wanted = [self.random.choice(PATHS)]
            if self.random.random() < PIPELINED:
                more = self.random.randrange(1, MOST_TOGETHER)
                ahead = [self.random.choice(SAFE_PATHS) for _ in range(more)]
                wanted = ahead + wanted
            sent = [
                connection.send(self._name(), kind, path)
                for kind, path in wanted
            ]
            if self.random.random() < GIVEN_UP:
                await asyncio.sleep(self.random.random() * 0.05)
                connection.leave(sent)
                return
            await connection.read(sent)
            await asyncio.sleep(self.random.expovariate(1 / PAUSE_S))

    def _name(self) -> str:
        return f"c{self.number}-{next(self.names)}"


class Connection:
    """One connection to a daemon; answers come in the order of requests.

    Attributes:
        ended: Whether nothing more can be sent.
        rest: Bytes that were read behind an answer.
    """

    def __init__(
        self,
        world: World,
        daemon: Daemon,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.world = world
        self.daemon = daemon
        self.life = daemon.life
        self.reader = reader
        self.writer = writer
        self.codecs: dict[str, h11.Connection] = {}
        self.ended = False
        self.rest = b""

    @classmethod
    async def to(cls, world: World, daemon: Daemon) -> "Connection":
        """Connects to a daemon.

        Raises:
            OSError: It takes no connection.
        """
        reader, writer = await asyncio.open_connection(
            runner.ADDRESS, daemon.callers.port
        )
        return cls(world, daemon, reader, writer)

    def send(
        self, request_id: str, kind: str, path: str, version: int = 0
    ) -> Attempt:
        """Sends a request and notes it."""
        now = self.world.loop.time()
        attempt = Attempt(request_id, kind, version, self.daemon.number,
                          self.life, now, TIMEOUT_S)  # fmt: skip
        key = ""
        if self.world.organisations is not None:
            attempt.organisation = contents.CALLER_ORGANISATION
            key = contents.CALLER_KEY
        self.world.seen.attempts.append(attempt)
        self._write(request_id, kind, path, key)
        return attempt

    def send_with_key(self, attempt: records.KeyedAttempt, path: str) -> None:
        """Sends a request with a key, and notes it."""
        self.world.seen.keyed_attempts.append(attempt)
        self._write(attempt.request_id, records.READ, path, attempt.key)

    def _write(self, request_id: str, kind: str, path: str, key: str) -> None:
        codec = h11.Connection(h11.CLIENT)
        self.codecs[request_id] = codec
        headers = [("host", HOST), ("attempt-id", request_id),
                   ("deadline-ms", f"{TIMEOUT_S * 1000:.0f}"),
                   ("content-length", "0")]  # fmt: skip
        if key:
            headers.append(("credential", key))
        method = "POST" if kind == records.FILE else "GET"
        request = h11.Request(method=method, target=path, headers=headers)
        self.writer.write(codec.send(request) + codec.send(h11.EndOfMessage()))

    def leave(self, attempts: list[Attempt]) -> None:
        """Gives requests up and closes."""
        self.ended = True
        for attempt in attempts:
            self._end(attempt, records.LEFT)

    async def read(self, attempts: list[Attempt]) -> None:
        """Reads the answers to requests; the connection may end meanwhile."""
        for attempt in attempts:
            if self.ended:
                self._end(attempt, records.CLOSED)
                continue
            due = attempt.sent_at + attempt.limit_s + MARGIN_S
            try:
                async with asyncio.timeout_at(due):
                    end = await self._read_answer(attempt)
            except (OSError, h11.RemoteProtocolError):
                begun = attempt.status != 0
                end = records.CUT_SHORT if begun else records.CLOSED
            except TimeoutError:
                end = records.UNANSWERED
            if end != records.ANSWERED:
                self.ended = True
                attempt.status = 0
            self._end(attempt, end)

    def close(self) -> None:
        """Closes at once."""
        self.writer.transport.abort()

    async def _read_answer(self, attempt: Attempt) -> str:
        codec = self.codecs.pop(attempt.request_id)
        if self.rest:
            codec.receive_data(self.rest)
            self.rest = b""
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                attempt.status = event.status_code
                fields = dict(event.headers)
                mark = fields.get(b"upstream-signature", b"")
                attempt.signature = mark.decode()
            elif isinstance(event, h11.Data):
                attempt.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.rest = codec.trailing_data[0]
                self.ended = codec.their_state is not h11.DONE
                return records.ANSWERED
            else:
                return records.CLOSED

    def _end(self, attempt: Attempt, end: str) -> None:
        attempt.ended_at = self.world.loop.time()
        attempt.end = end


async def wait_for_start(
    world: World, daemon: Daemon, rng: random.Random, within_s: float
) -> None:
    """Sends requests on a new connection that waits until a daemon listens.

    Args:
        world: The world.
        daemon: The daemon.
        rng: Draws the moment and the requests.
        within_s: Longest time until it connects, in seconds.
    """
    await asyncio.sleep(rng.random() * within_s)
    try:
        connection = await Connection.to(world, daemon)
    except OSError:
        return
    try:
        ahead = [SAFE_PATHS] * rng.randrange(MOST_TOGETHER)
        sent = [
            # Each one that was sent makes the next name another.
            connection.send(f"w{len(world.seen.attempts)}", *rng.choice(paths))
            for paths in (*ahead, PATHS)
        ]
        await connection.read(sent)
    finally:
        connection.close()


async def repeat(
    world: World, path: str, rng: random.Random, for_s: float
) -> None:
    """Sends one request again and again, each time to any daemon.

    Args:
        world: The world.
        path: Its path.
        rng: Draws the daemons.
        for_s: How long, in seconds.
    """
    until = world.loop.time() + for_s
    for number in itertools.count():
        if world.loop.time() >= until:
            return
        name = f"{path.rpartition('/')[2]}-{number}"
        daemon = rng.choice(world.daemons)
        world.begin(_send_once(world, name, path, daemon))
        await asyncio.sleep(REPEAT_S)


async def send_with_key(
    world: World, attempt: records.KeyedAttempt, path: str, daemon: Daemon
) -> None:
    """Sends a request with a key on a new connection and waits a while."""
    connection = await _connect(world, daemon)
    if connection is None:
        return
    try:
        connection.send_with_key(attempt, path)
        async with asyncio.timeout(TIMEOUT_S):
            await connection.reader.read(READ_BYTES)
    except (OSError, TimeoutError):
        return
    finally:
        connection.close()


async def send_without_end(
    world: World, daemon: Daemon, pattern: endless_server.Pattern, for_s: float
) -> None:
    """Sends a request without an end, on new connections for a while."""
    until = world.loop.time() + for_s
    while world.loop.time() < until:
        connection = await _connect(world, daemon)
        if connection is None:
            return
        connection.writer.write(pattern.begin)
        await endless_server.send(
            connection.writer, pattern.part, until - world.loop.time()
        )
        connection.close()
        await asyncio.sleep(REPEAT_S)


async def _send_once(
    world: World, name: str, path: str, daemon: Daemon
) -> None:
    connection = await _connect(world, daemon)
    if connection is None:
        return
    try:
        await connection.read([connection.send(name, records.ENDING, path)])
    finally:
        connection.close()


async def probe(world: World, daemon: Daemon) -> None:
    """Asks a daemon again and again which version it has in force."""
    numbers = itertools.count()
    while True:
        await asyncio.sleep(PROBE_S)
        for version in {world.version, max(1, world.version - 1)}:
            name = f"p{daemon.number}-{next(numbers)}"
            connection = await _connect(world, daemon)
            if connection is None:
                continue
            try:
                path = f"/version-{version}/x"
                sent = connection.send(name, records.READ, path, version)
                await connection.read([sent])
            finally:
                connection.close()


async def _connect(world: World, daemon: Daemon) -> Connection | None:
    """Returns a new connection, or None if the daemon takes none in time."""
    try:
        async with asyncio.timeout(CONNECT_S):
            return await Connection.to(world, daemon)
    except (OSError, TimeoutError):
        return None
