"""Proves that each guard is needed, by mutation of a copy of the source.

proofs/guards.toml lists for each guard the file, the text to replace, and the
test that must pass with the guard and fail without it.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COPIED_FOLDERS = ("src", "standins", "harness", "tests")
"""Folders that a test needs in the mutated copy."""

TEST_TIMEOUT_S = 300
"""Time limit of one run of a guard's test."""

WORKERS = 2
"""Number of guards that are proved at the same time."""


@dataclass(frozen=True)
class Guard:
    """A part of the code that a property depends on, with its mutation and test."""

    id: str
    property: str
    file: str
    find: str
    replace: str
    test: str


def read_guards() -> list[Guard]:
    """Return the guards of proofs/guards.toml."""
    data = tomllib.loads((ROOT / "proofs" / "guards.toml").read_text())
    return [Guard(**item) for item in data["guards"]]


def run_test(root: Path, test: str) -> bool:
    """Run a test in a copy and return whether it passed."""
    environment = {**os.environ, "PYTHONPATH": f"{root}{os.pathsep}{root / 'src'}"}
    command = [sys.executable, "-m", "harness.test_runner", "--module", test]
    completed = subprocess.run(
        command,
        cwd=root,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=TEST_TIMEOUT_S,
    )
    return completed.returncode == 0 and b"PASSED" in completed.stdout


def prove(guard: Guard) -> tuple[bool, str]:
    """Run a guard's test with and without the guard.

    Returns:
        Whether the guard is proved, and the line to print.
    """
    with tempfile.TemporaryDirectory(prefix="laburnumpitch-guard-") as name:
        root = Path(name)
        for folder in COPIED_FOLDERS:
            shutil.copytree(ROOT / folder, root / folder)
        passes_with = run_test(root, guard.test)
        path = root / guard.file
        text = path.read_text()
        if text.count(guard.find) != 1:
            found = text.count(guard.find)
            return False, f"guard={guard.id} error=found_{found}_times"
        path.write_text(text.replace(guard.find, guard.replace))
        passes_without = run_test(root, guard.test)
    is_proved = passes_with and not passes_without
    return is_proved, (
        f"guard={guard.id} property={guard.property} "
        f"with={'passed' if passes_with else 'FAILED'} "
        f"without={'PASSED' if passes_without else 'failed'} test={guard.test}"
    )


def main() -> int:
    """Prove the guards that the command line names, or all; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("guards", nargs="*", help="ids; all if none")
    chosen_ids = set(parser.parse_args().guards)
    guards = [
        guard for guard in read_guards() if not chosen_ids or guard.id in chosen_ids
    ]
    proved = 0
    with ThreadPoolExecutor(WORKERS) as workers:
        for is_proved, line in workers.map(prove, guards):
            print(line, flush=True)
            proved += is_proved
    print(f"{proved} of {len(guards)} guards proved")
    return 0 if proved == len(guards) else 1


if __name__ == "__main__":
    sys.exit(main())
