"""The platform folder stays small, and the platform's names stay inside it."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

PACKAGE = Path(__file__).resolve().parents[2] / "src" / "laburnumpitch"
PLATFORM_FOLDER = PACKAGE / "platform"
MAX_PLATFORM_SHARE = 0.1

# `deadline-ms` is left out, since a setting of the package has that name too.
PLATFORM_WORDS = (
    "attempt-id",
    "server-seal",
    "not-executed",
    "expect-instance",
    "expect-version",
    "cache-salt",
    "kv-source",
    "kv-target",
    "kv-until",
    "prefix-hash",
    "token-usage",
    "request-priority",
    "weight-versions",
    "path_prefix",
    "route_type",
    "target_latency_ms",
    "max_attempts",
    "kv_store_addr",
    "kv_capacity",
    "api_keys",
    "heartbeat_url",
    "cold_remaining_ms",
    "held_entries",
    "next_token",
    "switch_mode",
    "precondition",
    "version-put",
    "/-/readyz",
    "kv-events",
    "kv-list",
    "kv-free",
    "is_bootstrap",
    "internal_ports",
)


def read_lines(path: Path) -> list[str]:
    """Return the lines of a source file."""
    return path.read_text().splitlines()


class FolderTest(testtools.TestCase):
    """Source files of the package."""

    def test_no_platform_words_elsewhere(self) -> None:
        """No source file outside the folder contains a name of the platform."""
        pattern = re.compile(r"(?<![\w-])(" + "|".join(PLATFORM_WORDS) + r")(?![\w-])")
        found = [
            f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if PLATFORM_FOLDER not in path.parents
            for number, line in enumerate(read_lines(path), 1)
            if pattern.search(line)
        ]
        self.assertEqual([], found)

    def test_folder_is_small(self) -> None:
        """The folder has less than a tenth of the package's lines."""
        line_counts = {path: len(read_lines(path)) for path in PACKAGE.rglob("*.py")}
        platform_lines = sum(
            line_count
            for path, line_count in line_counts.items()
            if PLATFORM_FOLDER in path.parents
        )
        self.assertLess(platform_lines, sum(line_counts.values()) * MAX_PLATFORM_SHARE)
