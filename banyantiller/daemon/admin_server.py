"""Serves the admin pages over HTTP."""

from collections.abc import Callable

from banyantiller.config import defaults
from banyantiller.http import messages, server
from banyantiller.telemetry import admin

CLOSE_GRACE_S = 1.0
LIFT_PATH = "/quarantine/lift"


class AdminServer:
    """The admin listener of a daemon.

    Attributes:
        admin: Renders the pages.
        lift: Lifts the quarantine of the request with a fingerprint; returns
            False if there is none.
        server: The listening server.
    """

    def __init__(self, pages: admin.Admin, lift: Callable[[str], bool]) -> None:
        self.admin = pages
        self.lift = lift
        self.server = server.HttpServer(self._handle)

    async def start(self, endpoint: defaults.Endpoint) -> defaults.Endpoint:
        """Listens and returns the bound endpoint.

        Raises:
            OSError: The address cannot be used.
        """
        bound = await self.server.start(endpoint.address, endpoint.port)
        return defaults.Endpoint(bound.address, bound.port)

    async def close(self) -> None:
        """Stops listening; requests in flight get `CLOSE_GRACE_S` to finish."""
        await self.server.close(CLOSE_GRACE_S)

    async def _handle(self, request: messages.Request) -> messages.Response:
        if request.method == "POST" and request.path == LIFT_PATH:
            lifted = self.lift(request.query.get("fingerprint", ""))
            return messages.Response(204 if lifted else 404)
        page = self.admin.answer(request.method, request.target)
        return messages.Response(
            page.status, (("content-type", page.content_type),), page.body
        )
