"""Entry point of the gateway daemon."""

import sys

if __name__ == "__main__":
    # The gateway speaks no TLS, and asyncio does without: the library would
    # take 4.5 MB of the 27 MB that are resident once everything is loaded.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from banyantiller.gateway import run

    sys.exit(run.run(sys.argv[1:]))
