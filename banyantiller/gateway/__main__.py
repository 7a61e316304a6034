"""Entry point of the gateway daemon."""

import sys

from banyantiller.gateway import run

if __name__ == "__main__":
    sys.exit(run.run(sys.argv[1:]))
