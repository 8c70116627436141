"""Entry point of ``python -m laburnumpitch``."""

from __future__ import annotations

import signal
import sys

SERVE_COMMAND = "serve"


def main() -> int:
    """Run a command; `serve` imports only the modules that a fleet node needs."""
    if sys.argv[1:2] == [SERVE_COMMAND]:
        # By default SIGHUP ends the process. A reload signal that arrives before the
        # node has its handler can be ignored: the settings are read afterwards.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from .serve_command import run_serve

        return run_serve(sys.argv[2:])
    from .cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
