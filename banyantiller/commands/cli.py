"""The command line: finds the subcommand and turns errors into statuses.

A subcommand is a module of this package with a function of the same name,
which returns the exit status. Its signature and docstring make its options
and its help. Adding one is one line in `COMMANDS`.
"""

import contextlib
import importlib
import sys
from collections.abc import Callable

import defopt

import banyantiller
from banyantiller import exceptions
from banyantiller.commands import context, output

COMMANDS = (
    "keys",
    "validate",
    "propose",
    "proposals",
    "sign",
    "roll",
    "show",
    "compare",
    "status",
    "prune",
    "reference",
    "held",
    "audit",
    "gone",
    "zones",
    "report",
    "explain",
    "replay",
)

DESCRIPTION = """\
Drives a fleet of banyantiller daemons: propose a bundle, let another
operator sign it, roll it, and ask afterwards what held.
"""

EPILOG = """\
Exit status: 0 done; 1 failed; 2 command line, settings or bundle not valid;
3 bundle refused; 4 another operator's change came first; 5 object API gave
no answer, nothing was changed; 6 plug-in missing; 7 not known whether the
change was made; 8 accepted, but not in force everywhere in time; 9 a
promise was broken or the audit trail is damaged; 10 not known whether every
promise held.
"""


def run(
    argv: list[str], surroundings: context.Surroundings | None = None
) -> int:
    """Runs the command line.

    Args:
        argv: Arguments without the program's name.
        surroundings: Replaces the object API, clock and loop, for tests.

    Returns:
        The exit status.
    """
    token = context.SURROUNDINGS.set(surroundings)
    try:
        return _run(argv)
    except exceptions.BanyantillerError as error:
        return output.fail("--json" in argv, error)
    except KeyboardInterrupt:
        print("Interrupted.", file=sys.stderr)
        return 1
    except BrokenPipeError:
        # Whoever read the output has gone; nothing is left to say.
        with contextlib.suppress(OSError):
            sys.stdout.close()
        return 1
    finally:
        context.SURROUNDINGS.reset(token)


def _run(argv: list[str]) -> int:
    known = bool(argv) and argv[0] in COMMANDS
    names = argv[:1] if known else COMMANDS
    try:
        return defopt.run(
            {name: load(name) for name in names},
            argv=argv,
            short={},
            no_negated_flags=True,
            version=banyantiller.__version__,
            argparse_kwargs={
                "prog": "banyantiller",
                "description": DESCRIPTION,
                "epilog": EPILOG,
            },
        )
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else 1


def load(name: str) -> Callable[..., int]:
    """Imports the function of a subcommand."""
    module = importlib.import_module(f"banyantiller.commands.{name}")
    return getattr(module, name)
