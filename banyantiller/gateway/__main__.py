"""Entry point of the gateway daemon."""

import signal
import sys

from banyantiller.gateway import early_listening, tls_imports

if __name__ == "__main__":
    # SIGHUP requests a reload of the settings, but would terminate the process
    # until its handler is installed. Loading takes 0.3 s, and the settings are
    # read after it, so that no change is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    tls_imports.block_tls()
    listener = early_listening.listen()
    from banyantiller.gateway import run

    sys.exit(run.run(sys.argv[1:], listener))
