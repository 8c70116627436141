"""One process under test."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

STOP_TIMEOUT_S = 130.0
"""Longest graceful stop: the program's own limit plus time to exit."""

LAST_OUTPUT_LINES = 20
"""Lines at the end of a process's output that an error quotes."""


class ProcessEndedError(RuntimeError):
    """A process ended by itself."""


class Process:
    """A Python process that can be killed, suspended and started again.

    Args:
        name: Name of the process, and of its output file.
        arguments: Command line after the interpreter.
        folder: Folder for its output.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.output = folder / f"{name}.out"
        self.popen: subprocess.Popen | None = None
        self.is_stopped = False
        """Whether the harness has killed or stopped the process."""

    def start(self) -> None:
        """Start the process."""
        self.is_stopped = False
        with open(self.output, "ab") as stream:
            self.popen = subprocess.Popen(
                [sys.executable, "-u", *self.arguments],
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def check_running(self) -> None:
        """Check that a started process has not ended by itself.

        Raises:
            ProcessEndedError: With the last lines of its output.
        """
        if not self.is_running and not self.is_stopped:
            lines = self.read_output().splitlines()[-LAST_OUTPUT_LINES:]
            code = self.popen.returncode if self.popen else None
            raise ProcessEndedError(
                f"{self.name} ended with exit code {code}:\n" + "\n".join(lines)
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            os.kill(self.popen.pid, number)

    def handles(self, number: int) -> bool:
        """Whether the process ignores or catches a signal, as it does once it began.

        Before that, while the interpreter starts, the signal would end it.
        """
        if not self.is_running:
            return False
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        masks = dict(
            line.split(":\t", 1) for line in status.splitlines() if ":\t" in line
        )
        handled = int(masks.get("SigIgn", "0"), 16) | int(masks.get("SigCgt", "0"), 16)
        return bool(handled >> (number - 1) & 1)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.is_stopped = True
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(STOP_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        self.is_stopped = True
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S) if self.popen else 0

    def wait_exit(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit code."""
        return self.popen.wait(timeout_s)

    def read_output(self) -> str:
        """Return the complete output of the process."""
        return self.output.read_text(errors="replace") if self.output.exists() else ""

    def get_cpu_s(self) -> float:
        """Return the CPU time used so far."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def get_rss_bytes(self) -> int:
        """Return the size of the resident memory."""
        fields = Path(f"/proc/{self.popen.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def get_peak_rss_bytes(self) -> int:
        """Return the largest size that the resident memory has had; 0 if it ended."""
        try:
            status = Path(f"/proc/{self.popen.pid}/status").read_text()
        except (AttributeError, OSError):
            return 0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) * 1024 if found else 0


def wait_for(
    condition, timeout_s: float, description: str, interval_s: float = 0.02
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline_s:
            raise TimeoutError(f"waited {timeout_s:g} s for {description}")
        time.sleep(interval_s)
