"""Entry point of the gateway daemon."""

import signal

if __name__ == "__main__":
    # SIGHUP requests a reload of the settings, but would terminate the process
    # until its handler is installed. Loading takes 0.3 s, and the settings are
    # read after it, so that no change is missed. Nothing else is imported
    # before: the interpreter itself takes 0.02 s, in which SIGHUP terminates it
    # unless whoever starts the process ignores the signal, which is inherited.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    import sys

    from banyantiller.gateway import early_listening, tls_imports

    tls_imports.block_tls()
    listener = early_listening.listen()
    from banyantiller.gateway import run

    sys.exit(run.run(sys.argv[1:], listener))
