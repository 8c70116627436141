"""Signals that arrive before a node has installed its handlers."""

from __future__ import annotations

import signal
import sys

import testtools

from laburnumpitch import __main__, serve_command


class EarlySignalTest(testtools.TestCase):
    """A reload signal while the program is still starting."""

    def test_hangup_is_ignored(self) -> None:
        """The default action, which ends the process, is replaced at once."""
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
