"""Entry point of the gateway daemon."""

import signal
import sys

from banyantiller.gateway import early_listening, tls_imports

if __name__ == "__main__":
    # New settings are told by SIGHUP, which ends a process that has not set up
    # its handler yet; loading takes 0.3 s, and the settings are read after it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    tls_imports.block_tls()
    listener = early_listening.listen()
    from banyantiller.gateway import run

    sys.exit(run.run(sys.argv[1:], listener))
