"""Entry point of the daemon."""

import sys

from banyantiller.daemon import run


def main() -> None:
    """Runs the daemon and exits with its status."""
    sys.exit(run.run(sys.argv[1:]))


if __name__ == "__main__":
    main()
