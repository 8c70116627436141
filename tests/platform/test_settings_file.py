"""The settings file with sound and odd values."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from laburnumpitch.errors import SettingsError
from laburnumpitch.platform.settings_file import FleetSettings, read_settings
from laburnumpitch.policy.client_budget import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MB,
)

DEFAULTS = (DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)

SOUND = """
node_name = "n1"
ip = "10.1.0.40"
zone = "z"
internal_ports = [7700, 7715]
seeds = ["10.1.0.40:8000", "10.2.0.37:8000"]
heartbeat_ms = 1200
unknown = [{a = 1}]
[listen]
frontend = "10.1.0.40:8005"
readiness = "10.1.0.40:8002"
control = "10.1.0.40:8000"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_slack = 58
lease_ms = 3000
[fault_tolerance]
machines = 1
"""


def read_text(text: str) -> FleetSettings:
    """Read settings from a text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.toml"
        path.write_text(text)
        return read_settings(str(path))


def make_changed(former: str, new: str) -> dict[str, str]:
    """Return a scenario with a changed part of the sound file."""
    assert former in SOUND
    return {"text": SOUND.replace(former, new)}


class SoundTest(testtools.TestCase):
    """Values at their bounds, and values that are left out."""

    scenarios = [
        ("plain", {"text": SOUND}),
        ("no_control", make_changed('control = "10.1.0.40:8000"', 'control = ""')),
        ("no_seeds", make_changed('["10.1.0.40:8000", "10.2.0.37:8000"]', "[]")),
        ("highest_port", make_changed("[7700, 7715]", "[65534]")),
        ("all_interfaces", make_changed("10.1.0.40:8005", "0.0.0.0:8005")),
        ("no_loss", make_changed("machines = 1", "machines = 0")),
        ("zones", make_changed("unknown = [{a = 1}]", 'zones = {z = "north"}')),
        ("fraction", make_changed("lease_ms = 3000", "lease_ms = 2500.5")),
    ]

    def test_accepted(self) -> None:
        """Each is read."""
        self.assertEqual("n1", read_text(self.text).node_id)


class ColdBoundsTest(testtools.TestCase):
    """Bounds of the requests to cold targets."""

    scenarios = [
        ("default", {"lines": "", "expected": (1.5, 5.0)}),
        ("set", {"lines": "cold_overrun = 2\ncold_slack = 0", "expected": (2.0, 0.0)}),
    ]

    def test_bounds(self) -> None:
        """They are read from the bounds of the platform."""
        settings = read_text(SOUND.replace("[bounds]", f"[bounds]\n{self.lines}"))
        self.assertEqual(self.expected, (settings.cold_overrun, settings.cold_slack))


class MachineTest(testtools.TestCase):
    """Limits of the machine, by which what clients may hold is bounded."""

    scenarios = [
        ("absent", {"limits": "", "expected": DEFAULTS}),
        ("not_known", {"limits": "memory_mb = 0\nmax_fds = 0", "expected": DEFAULTS}),
        (
            "known",
            {"limits": "memory_mb = 128\nmax_fds = 4100", "expected": (128 * MB, 4100)},
        ),
    ]

    def test_limits(self) -> None:
        """They are read, and a machine that is not known is a large one."""
        settings = read_text(f"{SOUND}[limits]\n{self.limits}\n")
        found = (settings.memory_bytes, settings.max_descriptors)
        self.assertEqual(self.expected, found)


class SeedTest(testtools.TestCase):
    """Seeds among which one is odd."""

    scenarios = [
        ("name", {"seed": "a..b:8000"}),
        ("no_host", {"seed": ":8000"}),
        ("no_port", {"seed": "10.2.0.37"}),
        ("port_above_range", {"seed": "10.2.0.37:99999"}),
        ("null", {"seed": "10.2.0.37\\u0000:8000"}),
    ]

    def test_others_are_used(self) -> None:
        """The odd one is left out, so that the node can start."""
        settings = read_text(SOUND.replace("10.2.0.37:8000", self.seed))
        self.assertEqual(("10.1.0.40",), settings.seed_hosts)


class RegionTest(testtools.TestCase):
    """Regions of the data centres, and of the node itself."""

    scenarios = [
        ("none", {"text": "", "expected": {}}),
        ("table", {"text": 'zones = {z = "r"}', "expected": {"z": "r"}}),
        ("own", {"text": 'region = "r"', "expected": {"z": "r"}}),
        (
            "both",
            {
                "text": 'region = "r"\nzones = {y = "s"}',
                "expected": {"z": "r", "y": "s"},
            },
        ),
    ]

    def test_read(self) -> None:
        """A node knows the regions of the table, and its own one without the table."""
        settings = read_text(SOUND.replace('zone = "z"', f'zone = "z"\n{self.text}'))
        self.assertEqual(self.expected, settings.regions_by_data_centre)


class OddTest(testtools.TestCase):
    """Values that a node cannot use."""

    scenarios = [
        ("no_port", make_changed("[7700, 7715]", "[]")),
        ("port_zero", make_changed("[7700, 7715]", "[0]")),
        ("port_without_a_next_one", make_changed("[7700, 7715]", "[65535]")),
        ("port_of_400_digits", make_changed("[7700, 7715]", f"[{'9' * 400}]")),
        ("number_of_5000_digits", make_changed("1200", "9" * 5000)),
        ("no_interval", make_changed("heartbeat_ms = 1200", "heartbeat_ms = 0")),
        ("grace_is_no_number", make_changed("grace_s = 8", "grace_s = nan")),
        ("grace_is_infinite", make_changed("grace_s = 8", "grace_s = inf")),
        ("negative_grace", make_changed("grace_s = 8", "grace_s = -8")),
        ("ratio_is_no_number", make_changed("ratio = 0.2", "ratio = nan")),
        (
            "overrun_is_infinite",
            make_changed("[bounds]", "[bounds]\ncold_overrun = inf"),
        ),
        (
            "cold_slack_below_zero",
            make_changed("[bounds]", "[bounds]\ncold_slack = -1"),
        ),
        ("slack_is_infinite", make_changed("retry_slack = 58", "retry_slack = inf")),
        (
            "lease_of_400_digits",
            make_changed("lease_ms = 3000", f"lease_ms = {10**400}"),
        ),
        ("zones_without_a_region", make_changed('zone = "z"', 'zone = "z"\nzones = 1')),
        ("negative_losses", make_changed("machines = 1", "machines = -1")),
        ("listen_port_above_range", make_changed("10.1.0.40:8005", "10.1.0.40:99999")),
        ("listen_without_a_port", make_changed("10.1.0.40:8005", "10.1.0.40")),
        ("ip_out_of_range", make_changed('ip = "10.1.0.40"', 'ip = "10.1.0.400"')),
        ("deep_nesting", make_changed("[{a = 1}]", "[" * 5000 + "]" * 5000)),
        ("deep_tables", make_changed("[{a = 1}]", "{a = " * 5000 + "1" + "}" * 5000)),
    ]

    def test_refused(self) -> None:
        """Each is refused with the settings' error."""
        self.assertRaises(SettingsError, read_text, self.text)
