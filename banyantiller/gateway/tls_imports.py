"""Keeps the TLS library from being loaded, as the gateway does not use TLS.

Otherwise importing asyncio loads it, which takes 4.5 MB of 27 MB resident
memory. Importing hashlib loads most of it as well, although the interpreter has
its own implementation of the digests that are used here.
"""

import sys

TLS_MODULES = ("ssl", "_hashlib")


def block_tls() -> None:
    """Makes imports of the library fail; the modules that try it handle that.

    Must be called before asyncio is imported.
    """
    for name in TLS_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]


def allow_tls() -> None:
    """Allows imports of the library, for other libraries that need it."""
    for name in TLS_MODULES:
        if sys.modules.get(name, sys) is None:
            del sys.modules[name]
