"""Pages of the admin listener: health, readiness, metrics and status."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from banyantiller.telemetry import metrics

TEXT = "text/plain; charset=utf-8"
JSON = "application/json"


class Readiness(NamedTuple):
    """Whether callers should be sent to this daemon.

    Attributes:
        ready: Whether the daemon is ready for callers.
        reason: Why it is not ready, or empty.
    """

    ready: bool
    reason: str = ""


class Page(NamedTuple):
    """One response of the admin listener.

    Attributes:
        status: HTTP status code.
        content_type: Media type of the body.
        body: Content of the page.
    """

    status: int
    content_type: str
    body: bytes


class Admin:
    """Renders the pages of the admin listener.

    Attributes:
        readiness: Returns whether the daemon is ready.
        status: Returns the daemon's state as JSON-compatible values.
        instruments: Provides the text of the metrics page.
    """

    def __init__(
        self,
        readiness: Callable[[], Readiness],
        status: Callable[[], dict[str, Any]],
        instruments: metrics.Metrics,
    ) -> None:
        self.readiness = readiness
        self.status = status
        self.instruments = instruments

    def answer(self, method: str, path: str) -> Page:
        """Returns the page for a request.

        Args:
            method: HTTP method.
            path: Request target; a query is ignored.
        """
        if method not in ("GET", "HEAD"):
            return Page(405, TEXT, b"Only GET and HEAD are supported.\n")
        pages: dict[str, Callable[[], Page]] = {
            "/healthz": self._health,
            "/readyz": self._ready,
            "/metrics": self._metrics,
            "/status": self._status,
        }
        page = pages.get(path.partition("?")[0])
        if page is None:
            known = ", ".join(sorted(pages))
            return Page(404, TEXT, f"Known paths: {known}.\n".encode())
        return page()

    def _health(self) -> Page:
        return Page(200, TEXT, b"alive\n")

    def _ready(self) -> Page:
        state = self.readiness()
        if state.ready:
            return Page(200, TEXT, b"ready\n")
        return Page(503, TEXT, f"not ready: {state.reason}\n".encode())

    def _metrics(self) -> Page:
        return Page(200, TEXT, self.instruments.exposition())

    def _status(self) -> Page:
        body = json.dumps(self.status(), sort_keys=True).encode() + b"\n"
        return Page(200, JSON, body)
