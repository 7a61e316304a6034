"""Keeps the TLS library out of the gateway, which speaks no TLS.

Importing asyncio loads it otherwise: 4.5 MB of the 27 MB that are resident once
everything is loaded. Importing hashlib loads the greater part of it as well,
though the interpreter has the digests that are used here itself.
"""

import sys

LIBRARIES = ("ssl", "_hashlib")


def block_tls() -> None:
    """Makes imports of the library fail, which its users here cope with.

    Has to be called before asyncio is imported.
    """
    for name in LIBRARIES:
        sys.modules[name] = None  # type: ignore[assignment]


def allow_tls() -> None:
    """Lets the library be imported, for other libraries that insist on it."""
    for name in LIBRARIES:
        if sys.modules.get(name, sys) is None:
            del sys.modules[name]
