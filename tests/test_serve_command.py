"""The settings of `laburnumpitch serve` besides its file."""

from __future__ import annotations

import contextlib
import io
import os

import testscenarios
import testtools

from laburnumpitch.serve_command import REPEATED_SENDS_ENV_VARIABLE, make_parser

FLAG = "--repeated-sends-share"


class RepeatedSendsShareTest(testtools.TestCase):
    """The share of repeated sends, which is off unless it is asked for."""

    scenarios = [
        ("default", {"variable": None, "flag": [], "expected": 0.0}),
        ("variable", {"variable": "0.05", "flag": [], "expected": 0.05}),
        ("flag_first", {"variable": "0.05", "flag": [FLAG, "0.1"], "expected": 0.1}),
        ("largest", {"variable": None, "flag": [FLAG, "0.2"], "expected": 0.2}),
        ("off", {"variable": "0.05", "flag": [FLAG, "0"], "expected": 0.0}),
    ] + testscenarios.multiply_scenarios(
        [(text, {"text": text}) for text in ("0.21", "-0.1", "nan", "a few", "")],
        [("invalid", {"variable": None, "expected": None})],
    )
    text: str | None = None

    def test_share(self) -> None:
        """A value out of bounds ends the program before a node starts."""
        if self.variable is not None:
            self.patch(
                os,
                "environ",
                {**os.environ, REPEATED_SENDS_ENV_VARIABLE: self.variable},
            )
        arguments = self.flag if self.text is None else [f"{FLAG}={self.text}"]
        if self.expected is not None:
            namespace = make_parser().parse_args(arguments)
            self.assertEqual(self.expected, namespace.repeated_sends_share)
            return
        with contextlib.redirect_stderr(io.StringIO()):
            error = self.assertRaises(SystemExit, make_parser().parse_args, arguments)
        self.assertEqual(2, error.code)
