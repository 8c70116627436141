"""Run the program with ``python -m laburnumpitch``."""

from __future__ import annotations

import signal
import sys

SERVE_COMMAND = "serve"


def main() -> int:
    """Run a command; `serve` loads nothing that a fleet's node does not need."""
    if sys.argv[1:2] == [SERVE_COMMAND]:
        # A change of the settings before the node can take it must not end it: the
        # file is read afterwards anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from .serve_command import run_serve

        return run_serve(sys.argv[2:])
    from .cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
