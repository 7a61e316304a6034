"""Keeps the TLS library out of the gateway, which speaks no TLS.

Importing asyncio loads it otherwise: 4.5 MB of the 27 MB that are resident once
everything is loaded.
"""

import sys

LIBRARY = "ssl"


def forgo_tls() -> None:
    """Makes imports of the library fail, which asyncio copes with.

    Has to be called before asyncio is imported.
    """
    sys.modules[LIBRARY] = None  # type: ignore[assignment]


def allow_tls() -> None:
    """Lets the library be imported, for other libraries that insist on it."""
    if sys.modules.get(LIBRARY, sys) is None:
        del sys.modules[LIBRARY]
