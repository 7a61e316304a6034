"""A load balancer for servers whose load changes within milliseconds.

The package contains the daemon, the command-line tool and the coordination
parts that other programs can embed: `banyantiller.replica`,
`banyantiller.membership`, `banyantiller.claims`, `banyantiller.measuring`
and `banyantiller.routing`.
"""

__version__ = "0.1.0"
