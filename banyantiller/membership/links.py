"""Manages all links of a daemon: listens, dials, and admits peers."""

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

HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
MAX_HANDSHAKE_BYTES = 4096
MAX_CONNECTIONS = 128
WRITE_LIMIT_BYTES = 65536


class LinkHandlers(NamedTuple):
    """Callbacks for the events of links.

    Attributes:
        on_message: Called with a link and each message received on it.
        on_link_up: Called with a link when it is established.
        on_link_down: Called with a link that ended and was not retired.
        on_name_conflict: Called with the incarnation of another process
            that uses the name of this daemon.
    """

    on_message: Callable[[Link, Any], None]
    on_link_up: Callable[[Link], None]
    on_link_down: Callable[[Link], None]
    on_name_conflict: Callable[[int], None]


class LinkManager:
    """Keeps at most one link to each peer.

    Attributes:
        by_peer: Established links by name of the peer.
        traffic: Counters over all links.
        endpoint: Endpoint on which this daemon listens, once started.
        refused_handshakes: Number of refused handshakes by close code.
        connections: Number of open inbound connections.
    """

    def __init__(
        self,
        settings: defaults.PeerSettings,
        local_hello: Callable[[], messages.Hello],
        find_entry: Callable[[str], messages.MemberEntry | None],
        handlers: LinkHandlers,
    ) -> None:
        """Prepares the manager; `open` starts to listen.

        Args:
            settings: Settings of the peers.
            local_hello: Returns the `Hello` of this daemon, without a proof.
            find_entry: Returns the member entry of a name, or None.
            handlers: Called on the events of links.

        Raises:
            ConfigError: Neither TLS nor a secret is set, or the TLS files
                are not valid.
        """
        self.settings = settings
        self.local_hello = local_hello
        self.find_entry = find_entry
        self.server_tls, self.client_tls = _tls_contexts(settings)
        self.by_peer: dict[str, Link] = {}
        self.traffic = Traffic()
        self.endpoint = settings.listen
        self.refused_handshakes: dict[int, int] = {}
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.handlers = handlers
        self.logger = logging.getLogger("banyantiller.membership.websockets")
        self.logger.setLevel(logging.CRITICAL + 1)

    async def open(self) -> defaults.Endpoint:
        """Starts to listen; returns the endpoint with the bound port."""
        listen = self.settings.listen
        self.server = await server.serve(
            self._accept,
            listen.address,
            listen.port,
            ssl=self.server_tls,
            server_header=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            **self._websocket_options(),
        )
        port = next(iter(self.server.sockets)).getsockname()[1]
        self.endpoint = listen._replace(port=port)
        return self.endpoint

    async def close(self, code: int) -> None:
        """Closes all links with a code and stops listening."""
        closing = [
            self._close_link(link, code) for link in self.by_peer.values()
        ]
        await asyncio.gather(*closing)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()
        await self.server.wait_closed()

    async def dial(self, endpoint: defaults.Endpoint) -> bool:
        """Opens a link to an endpoint and starts its task.

        Returns:
            Whether the handshake succeeded.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                websocket = await client.connect(
                    _uri(endpoint, self.client_tls is not None),
                    ssl=self.client_tls,
                    user_agent_header=None,
                    proxy=None,
                    open_timeout=None,
                    **self._websocket_options(),
                    **self._server_name_options(),
                )
        except (OSError, TimeoutError, websockets.WebSocketException):
            return False
        link = await self._run_handshake(websocket, handshake.DIALER)
        if link is None:
            return False
        task = asyncio.create_task(self._run_link(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    def retire(self, link: Link, code: int = CLOSE_NORMAL) -> None:
        """Closes a link in the background; `on_link_down` isn't called."""
        if self.by_peer.get(link.daemon) is link:
            del self.by_peer[link.daemon]
        task = asyncio.create_task(self._close_link(link, code))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, websocket: server.ServerConnection) -> None:
        if self.connections >= MAX_CONNECTIONS:
            websocket.transport.abort()
            return
        self.connections += 1
        try:
            link = await self._run_handshake(websocket, handshake.LISTENER)
            if link is not None:
                await self._run_link(link)
        finally:
            self.connections -= 1

    async def _run_handshake(
        self, websocket: Connection, role: str
    ) -> Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                hello = await handshake.perform_handshake(
                    websocket,
                    role,
                    self.local_hello(),
                    self.settings.secret,
                    self._check_name_conflict,
                )
        except handshake.LinkRefusedError as error:
            await self._close_refused(websocket, error)
            return None
        except websockets.ConnectionClosed as error:
            self._process_refusal(error)
            return None
        except (TimeoutError, OSError):
            websocket.transport.abort()
            return None
        websocket.protocol.max_message_size = messages.MAX_MESSAGE_BYTES
        dialed = role == handshake.DIALER
        return Link(websocket, hello, dialed, self.traffic, loop.time())

    def _check_name_conflict(self, hello: messages.Hello) -> None:
        incarnation_id = (hello.incarnation, hello.address, hello.port)
        local = self.local_hello()
        if hello.daemon == local.daemon:
            if incarnation_id > (local.incarnation, local.address, local.port):
                self.handlers.on_name_conflict(hello.incarnation)
            raise handshake.LinkRefusedError(
                handshake.CLOSE_NAME_TAKEN, str(local.incarnation)
            )
        entry = self.find_entry(hello.daemon)
        if entry is None or entry.state == table.State.DEAD:
            return
        if incarnation_id < table.incarnation_id(entry):
            raise handshake.LinkRefusedError(
                handshake.CLOSE_NAME_TAKEN, str(entry.incarnation)
            )

    async def _close_refused(
        self,
        websocket: Connection,
        error: handshake.LinkRefusedError,
    ) -> None:
        self.refused_handshakes[error.code] = (
            self.refused_handshakes.get(error.code, 0) + 1
        )
        if error.code != handshake.CLOSE_SELF_LINK:
            log.warning("membership: a link was refused.", reason=error.reason)
        sent_reason = (
            error.reason if error.code == handshake.CLOSE_NAME_TAKEN else ""
        )
        with contextlib.suppress(OSError, websockets.WebSocketException):
            await websocket.close(error.code, sent_reason)

    def _process_refusal(self, error: websockets.ConnectionClosed) -> None:
        if error.rcvd is None or error.rcvd.code != handshake.CLOSE_NAME_TAKEN:
            return
        if error.rcvd.reason.isdecimal():
            self.handlers.on_name_conflict(int(error.rcvd.reason))

    async def _run_link(self, link: Link) -> None:
        if not self._register(link):
            await self._close_link(link, CLOSE_NORMAL)
            return
        self.handlers.on_link_up(link)
        try:
            await link.run(
                lambda message: self.handlers.on_message(link, message)
            )
        finally:
            if self.by_peer.get(link.daemon) is link:
                del self.by_peer[link.daemon]
                self.handlers.on_link_down(link)

    def _register(self, link: Link) -> bool:
        existing = self.by_peer.get(link.daemon)
        if existing is not None:
            if not self._should_replace(link, existing):
                return False
            self.retire(existing)
        self.by_peer[link.daemon] = link
        return True

    def _should_replace(self, new: Link, old: Link) -> bool:
        if new.hello.incarnation != old.hello.incarnation:
            return new.hello.incarnation > old.hello.incarnation
        if new.dialed == old.dialed:
            return True
        # Both sides dialed at the same time: both keep the link that the
        # daemon with the smaller name opened.
        local_is_smaller = self.local_hello().daemon < new.daemon
        return new.dialed == local_is_smaller

    async def _close_link(self, link: Link, code: int) -> None:
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await link.close(code)
        except (TimeoutError, OSError, websockets.WebSocketException):
            link.abort()

    def _websocket_options(self) -> dict[str, Any]:
        return {
            "compression": None,
            "ping_interval": None,
            "close_timeout": CLOSE_TIMEOUT_S,
            "max_size": MAX_HANDSHAKE_BYTES,
            "max_queue": 4,
            "write_limit": WRITE_LIMIT_BYTES,
            "logger": self.logger,
        }

    def _server_name_options(self) -> dict[str, str]:
        files = self.settings.tls
        if files is None or not files.server_name:
            return {}
        return {"server_hostname": files.server_name}


def _tls_contexts(
    settings: defaults.PeerSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    files = settings.tls
    if files is None:
        if not settings.secret:
            raise exceptions.ConfigError(
                "Peers cannot be authenticated: set peers.tls or peers.secret."
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
