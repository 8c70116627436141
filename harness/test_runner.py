"""Runs the test modules, a few at a time, and prints `N passed, N failed`.

Modules that set `RUNS_ALONE = True` run one at a time after all the others. Failures of
tests that KNOWN-RED.txt lists are printed but not counted as failed.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import testscenarios
import testtools

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 3
"""Number of modules that run at the same time."""

RUNS_ALONE_MARK = "\nRUNS_ALONE = True\n"
"""Line of a module whose tests measure a process, or load the machine."""

MODULE_TIMEOUT_S = 900
PASSED = "PASSED"
FAILED = "FAILED"


class LineResult(testtools.TestResult):
    """Prints one line for each test when it ends."""

    def startTest(self, test) -> None:
        """Record the start time of a test."""
        super().startTest(test)
        self.started_s = time.monotonic()

    def report(self, status: str, test: unittest.TestCase, detail: str = "") -> None:
        """Print a line, followed by a failure's details."""
        duration_s = time.monotonic() - self.started_s
        print(f"{status} {test.id()} {duration_s:.1f} s", flush=True)
        if detail:
            print(detail, flush=True)

    def addSuccess(self, test, details=None) -> None:
        """Report a test that passed."""
        super().addSuccess(test, details)
        self.report(PASSED, test)

    def addFailure(self, test, err=None, details=None) -> None:
        """Report a test that failed."""
        super().addFailure(test, err, details)
        self.report(FAILED, test, self._err_details_to_string(test, err, details))

    def addError(self, test, err=None, details=None) -> None:
        """Report a test that ended in an error."""
        super().addError(test, err, details)
        self.report(FAILED, test, self._err_details_to_string(test, err, details))

    def addSkip(self, test, reason=None, details=None) -> None:
        """Report a skipped test as failed, since no test may be skipped."""
        super().addSkip(test, reason, details)
        self.report(FAILED, test, f"skipped: {reason}")


@dataclass(frozen=True)
class ModuleReport:
    """Results of one module's tests."""

    name: str
    passed: list[str]
    failed: list[str]
    output: str
    duration_s: float


def run_module(name: str) -> int:
    """Run one module's tests in this process."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    tests = testscenarios.generate_scenarios(suite)
    result = LineResult()
    result.startTestRun()
    unittest.TestSuite(tests).run(result)
    result.stopTestRun()
    return 0 if result.wasSuccessful() else 1


def run_module_in_subprocess(name: str) -> ModuleReport:
    """Run one module's tests in a subprocess."""
    started_s = time.monotonic()
    command = [sys.executable, "-m", "harness.test_runner", "--module", name]
    completed = subprocess.run(
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=MODULE_TIMEOUT_S,
    )
    lines = completed.stdout.splitlines()
    passed = [line.split()[1] for line in lines if line.startswith(f"{PASSED} ")]
    failed = [line.split()[1] for line in lines if line.startswith(f"{FAILED} ")]
    if completed.returncode and not failed:
        failed = [name]
    duration_s = time.monotonic() - started_s
    return ModuleReport(name, passed, failed, completed.stdout, duration_s)


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("test="):
            entries[line.split()[0].removeprefix("test=")] = line
    return entries


def find_modules(folder: str, only: str) -> list[str]:
    """Return the names of test modules; integration tests, the longest, come first."""
    paths = sorted((ROOT / folder).rglob("test_*.py"))
    names = [str(p.relative_to(ROOT).with_suffix("")).replace("/", ".") for p in paths]
    chosen = [name for name in names if only in name]
    return sorted(chosen, key=lambda name: "integration" not in name)


def runs_alone(name: str) -> bool:
    """Whether a module runs apart from the others."""
    path = (ROOT / name.replace(".", "/")).with_suffix(".py")
    return RUNS_ALONE_MARK in path.read_text()


def run_modules(names: list[str]) -> Iterator[ModuleReport]:
    """Run modules, those that run alone last, and yield their reports."""
    alone = [name for name in names if runs_alone(name)]
    with ThreadPoolExecutor(WORKERS) as workers:
        others = [name for name in names if name not in alone]
        yield from workers.map(run_module_in_subprocess, others)
    yield from map(run_module_in_subprocess, alone)


def run_all(folder: str, only: str) -> int:
    """Run every module and print the results; return the exit code."""
    known_red = read_known_red()
    passed = failed = known_failures = 0
    for report in run_modules(find_modules(folder, only)):
        new_failures = [test for test in report.failed if test not in known_red]
        known_failures += len(report.failed) - len(new_failures)
        passed += len(report.passed)
        failed += len(new_failures)
        summary = "ok" if not report.failed else f"{len(report.failed)} failed"
        print(f"{report.name}: {summary} in {report.duration_s:.1f} s", flush=True)
        if report.failed:
            print(report.output)
        for test in set(report.failed) & set(known_red):
            print(f"known red: {known_red[test]}")
        for test in set(report.passed) & set(known_red):
            print(f"known red, but passed this time: {known_red[test]}")
    if known_failures:
        print(f"{known_failures} known red, listed in KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def main() -> int:
    """Run the tests that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", nargs="?", default="tests")
    parser.add_argument("--only", default="", help="part of the modules' names")
    parser.add_argument("--module", default="", help="run one module in this process")
    arguments = parser.parse_args()
    if arguments.module:
        return run_module(arguments.module)
    return run_all(arguments.folder, arguments.only)


if __name__ == "__main__":
    sys.exit(main())
