"""Entry point of the command-line tool."""

import sys

from banyantiller.commands import cli


def main() -> None:
    """Runs the command-line tool and exits with its status."""
    sys.exit(cli.run(sys.argv[1:]))


if __name__ == "__main__":
    main()
