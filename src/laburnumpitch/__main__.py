"""Run the program with ``python -m laburnumpitch``."""

from __future__ import annotations

import sys

SERVE = "serve"


def main() -> int:
    """Run a command; `serve` loads nothing that a fleet's node does not need."""
    if sys.argv[1:2] == [SERVE]:
        from .serve_command import run_serve

        return run_serve(sys.argv[2:])
    from .cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
