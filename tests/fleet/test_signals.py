"""Signals that come before a node can take them."""

from __future__ import annotations

import signal
import sys

import testtools

from laburnumpitch import __main__, serve_command


class EarlySignalTest(testtools.TestCase):
    """A change of the settings while the program is still being loaded."""

    def test_hangup_is_ignored(self) -> None:
        """The signal's default, which ends the process, is gone at the first step."""
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        seen = []

        def run_serve(arguments: list[str]) -> int:
            seen.append(signal.getsignal(signal.SIGHUP))
            return 0

        self.patch(serve_command, "run_serve", run_serve)
        self.patch(sys, "argv", ["laburnumpitch", "serve"])
        __main__.main()
        self.assertEqual([signal.SIG_IGN], seen)
