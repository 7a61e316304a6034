"""Entry point of the daemon."""

import signal
import sys


def main() -> None:
    """Runs the daemon and exits with its status."""
    # SIGHUP requests a reload of the settings, but would terminate the process
    # until its handler is installed. Loading takes 0.5 s, and the settings are
    # read after it, so that no change is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from banyantiller.daemon import run

    sys.exit(run.run(sys.argv[1:]))


if __name__ == "__main__":
    main()
