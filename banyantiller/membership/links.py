"""All links of a daemon: the listening side, the dialling side, admission."""

import asyncio
import contextlib
import ipaddress
import logging
import ssl
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog
import websockets
from websockets.asyncio import client, server
from websockets.asyncio.connection import Connection

from banyantiller import exceptions
from banyantiller.config import defaults
from banyantiller.membership import handshake, messages, table
from banyantiller.membership.link import CLOSE_NORMAL, Link, Traffic
from banyantiller.utils import tls

log = structlog.get_logger("banyantiller.membership")

HANDSHAKE_S = 2.0
CLOSE_S = 1.0
HANDSHAKE_BYTES = 4096
MOST_CONNECTIONS = 128
WRITE_LIMIT_BYTES = 65536


class LinkHandlers(NamedTuple):
    """Whom the links tell what happens.

    Attributes:
        receive: Called with a link and each message on it.
        came_up: Called with a link when it is established.
        went_down: Called with a link when it ended without being retired.
        displaced: Called with the incarnation of another run that has this
            daemon's name.
    """

    receive: Callable[[Link, Any], None]
    came_up: Callable[[Link], None]
    went_down: Callable[[Link], None]
    displaced: Callable[[int], None]


class Links:
    """Links by peer name; at most one link a peer is kept.

    Attributes:
        links: Established links.
        traffic: Counts over all links.
        endpoint: Where this daemon listens, once started.
        refused: Handshakes that were turned down, by close code.
    """

    def __init__(
        self,
        settings: defaults.PeerSettings,
        own: Callable[[], messages.Hello],
        known: Callable[[str], messages.MemberEntry | None],
        handlers: LinkHandlers,
    ) -> None:
        """Prepares the links; `open` starts them.

        Args:
            settings: Settings of the peers.
            own: Returns what this daemon says of itself.
            known: Returns the member entry of a name.
            handlers: Whom to tell what happens.

        Raises:
            ConfigError: Peers could not be authenticated, or TLS files are
                not valid.
        """
        self.settings = settings
        self.own = own
        self.known = known
        self.server_tls, self.client_tls = _contexts(settings)
        self.links: dict[str, Link] = {}
        self.traffic = Traffic()
        self.endpoint = settings.listen
        self.refused: dict[int, int] = {}
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.handlers = handlers
        self.logger = logging.getLogger("banyantiller.membership.websockets")
        self.logger.setLevel(logging.CRITICAL + 1)

    async def open(self) -> defaults.Endpoint:
        """Starts to listen; returns the endpoint with its real port."""
        listen = self.settings.listen
        self.server = await server.serve(
            self._accept,
            listen.address,
            listen.port,
            ssl=self.server_tls,
            server_header=None,
            open_timeout=HANDSHAKE_S,
            **self._options(),
        )
        port = next(iter(self.server.sockets)).getsockname()[1]
        self.endpoint = listen._replace(port=port)
        return self.endpoint

    async def close(self, code: int) -> None:
        """Closes every link with a code, and the listening side."""
        closing = [self._close(link, code) for link in self.links.values()]
        await asyncio.gather(*closing)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()
        await self.server.wait_closed()

    async def dial(self, endpoint: defaults.Endpoint) -> bool:
        """Opens a link and starts its task.

        Returns:
            Whether the other end let this daemon in.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                websocket = await client.connect(
                    _uri(endpoint, self.client_tls is not None),
                    ssl=self.client_tls,
                    user_agent_header=None,
                    proxy=None,
                    open_timeout=None,
                    **self._options(),
                    **self._server_name(),
                )
        except (OSError, TimeoutError, websockets.WebSocketException):
            return False
        link = await self._greet(websocket, handshake.DIALER)
        if link is None:
            return False
        task = asyncio.create_task(self._serve(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    def retire(self, link: Link, code: int = CLOSE_NORMAL) -> None:
        """Closes a link that is not needed, in the background."""
        if self.links.get(link.daemon) is link:
            del self.links[link.daemon]
        task = asyncio.create_task(self._close(link, code))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, websocket: server.ServerConnection) -> None:
        if self.connections >= MOST_CONNECTIONS:
            websocket.transport.abort()
            return
        self.connections += 1
        try:
            link = await self._greet(websocket, handshake.LISTENER)
            if link is not None:
                await self._serve(link)
        finally:
            self.connections -= 1

    async def _greet(self, websocket: Connection, role: str) -> Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                hello = await handshake.greet(
                    websocket,
                    role,
                    self.own(),
                    self.settings.secret,
                    self._check_name,
                )
        except handshake.RefusedError as error:
            await self._refuse(websocket, error)
            return None
        except websockets.ConnectionClosed as error:
            self._note_refusal(error)
            return None
        except (TimeoutError, OSError):
            websocket.transport.abort()
            return None
        websocket.protocol.max_message_size = messages.MAX_MESSAGE_BYTES
        dialed = role == handshake.DIALER
        return Link(websocket, hello, dialed, self.traffic, loop.time())

    def _check_name(self, hello: messages.Hello) -> None:
        run = (hello.incarnation, hello.address, hello.port)
        own = self.own()
        if hello.daemon == own.daemon:
            if run > (own.incarnation, own.address, own.port):
                self.handlers.displaced(hello.incarnation)
            raise handshake.RefusedError(
                handshake.NAME_TAKEN, str(own.incarnation)
            )
        known = self.known(hello.daemon)
        if known is None or known.state == table.State.DEAD:
            return
        if run < table.identity(known):
            raise handshake.RefusedError(
                handshake.NAME_TAKEN, str(known.incarnation)
            )

    async def _refuse(
        self,
        websocket: Connection,
        error: handshake.RefusedError,
    ) -> None:
        self.refused[error.code] = self.refused.get(error.code, 0) + 1
        if error.code != handshake.ITSELF:
            log.warning("membership: a link was refused.", reason=error.reason)
        told = error.reason if error.code == handshake.NAME_TAKEN else ""
        with contextlib.suppress(OSError, websockets.WebSocketException):
            await websocket.close(error.code, told)

    def _note_refusal(self, error: websockets.ConnectionClosed) -> None:
        if error.rcvd is None or error.rcvd.code != handshake.NAME_TAKEN:
            return
        if error.rcvd.reason.isdecimal():
            self.handlers.displaced(int(error.rcvd.reason))

    async def _serve(self, link: Link) -> None:
        if not self._admit(link):
            await self._close(link, CLOSE_NORMAL)
            return
        self.handlers.came_up(link)
        try:
            await link.run(lambda message: self.handlers.receive(link, message))
        finally:
            if self.links.get(link.daemon) is link:
                del self.links[link.daemon]
                self.handlers.went_down(link)

    def _admit(self, link: Link) -> bool:
        other = self.links.get(link.daemon)
        if other is not None:
            if not self._prefers(link, other):
                return False
            self.retire(other)
        self.links[link.daemon] = link
        return True

    def _prefers(self, new: Link, old: Link) -> bool:
        if new.hello.incarnation != old.hello.incarnation:
            return new.hello.incarnation > old.hello.incarnation
        if new.dialed == old.dialed:
            return True
        # Both sides dialled at once: both keep the smaller name's link.
        own_is_smaller = self.own().daemon < new.daemon
        return new.dialed == own_is_smaller

    async def _close(self, link: Link, code: int) -> None:
        try:
            async with asyncio.timeout(CLOSE_S):
                await link.close(code)
        except (TimeoutError, OSError, websockets.WebSocketException):
            link.abort()

    def _options(self) -> dict[str, Any]:
        return {
            "compression": None,
            "ping_interval": None,
            "close_timeout": CLOSE_S,
            "max_size": HANDSHAKE_BYTES,
            "max_queue": 4,
            "write_limit": WRITE_LIMIT_BYTES,
            "logger": self.logger,
        }

    def _server_name(self) -> dict[str, str]:
        files = self.settings.tls
        if files is None or not files.server_name:
            return {}
        return {"server_hostname": files.server_name}


def _contexts(
    settings: defaults.PeerSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    files = settings.tls
    if files is None:
        if not settings.secret:
            raise exceptions.ConfigError(
                "Peers can not be authenticated: set peers.tls or peers.secret."
            )
        return None, None
    if not files.trust or not files.certificate:
        raise exceptions.ConfigError(
            "peers.tls needs both a certificate and a trust file."
        )
    return (
        tls.server_context(files),
        tls.client_context(files, check_address=False),
    )


def _uri(endpoint: defaults.Endpoint, encrypted: bool) -> str:
    host = endpoint.address
    if ipaddress.ip_address(host).version == 6:
        host = f"[{host}]"
    scheme = "wss" if encrypted else "ws"
    return f"{scheme}://{host}:{endpoint.port}/"
