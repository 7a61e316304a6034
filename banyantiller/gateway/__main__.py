"""Entry point of the gateway daemon."""

import signal
import sys

if __name__ == "__main__":
    # New settings are told by SIGHUP, which ends a process that has not set up
    # its handler yet; loading takes 0.3 s, and the settings are read after it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The gateway speaks no TLS, and asyncio does without: the library would
    # take 4.5 MB of the 27 MB that are resident once everything is loaded.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from banyantiller.gateway import run

    sys.exit(run.run(sys.argv[1:]))
