"""Settings from flags and environment variables, checked before anything starts.

An invalid setting ends the program with exit code 2 and one line that names the flag,
the environment variable, the value and the valid values.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn

import configargparse

from .policy.engine_selection import POLICIES

ENV_VARIABLE_PREFIX = "LABURNUMPITCH_"

NAME_PATTERN = re.compile(r"^[A-Za-z0-9_.-]{1,64}$")
ADDRESS_PATTERN = re.compile(r"^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$")
HASH_PATTERN = re.compile(r"^([0-9a-f]{64})?$")

ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"


class InvalidValueError(argparse.ArgumentTypeError):
    """A value is not valid; the message describes the valid values."""


def make_integer_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for integers in a range."""

    def parse(text: str) -> int:
        if not text.lstrip("-").isdecimal() or not low <= int(text) <= high:
            raise InvalidValueError(f"an integer from {low} to {high}")
        return int(text)

    return parse


def make_number_parser(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for numbers in a range."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise InvalidValueError(f"a number from {low:g} to {high:g}")
        return value

    return parse


def parse_name(text: str) -> str:
    """Parse a name."""
    if not NAME_PATTERN.match(text):
        raise InvalidValueError("1 to 64 letters, digits, '_', '.' or '-'")
    return text


def parse_address(text: str) -> str:
    """Parse an IPv4 address with a port."""
    match = ADDRESS_PATTERN.match(text)
    is_valid = match is not None and 0 < int(match[2]) < 65536
    if not is_valid or any(int(part) > 255 for part in match[1].split(".")):
        raise InvalidValueError("an IPv4 address and a port, such as 10.0.0.1:7000")
    return text


def parse_optional_address(text: str) -> str:
    """Parse an address or an empty text."""
    return parse_address(text) if text else ""


def parse_hash(text: str) -> str:
    """Parse a SHA-256 hash or an empty text."""
    if not HASH_PATTERN.match(text):
        raise InvalidValueError("64 hexadecimal digits, or empty")
    return text


def make_choice_parser(choices: tuple[str, ...]) -> Callable[[str], str]:
    """Return a parser that accepts only the choices."""

    def parse(text: str) -> str:
        if text not in choices:
            raise InvalidValueError("one of " + ", ".join(choices))
        return text

    return parse


def parse_roles(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of roles."""
    roles = tuple(text.split(","))
    if not roles or set(roles) - {ENTRY_ROLE, CONTROL_ROLE}:
        raise InvalidValueError(
            f"{ENTRY_ROLE}, {CONTROL_ROLE}, or both separated by a comma"
        )
    return roles


def parse_peers(text: str) -> dict[str, str]:
    """Parse a comma-separated list of NAME=IP:PORT."""
    peers: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        name, _, address = part.partition("=")
        try:
            peers[parse_name(name)] = parse_address(address)
        except InvalidValueError as error:
            raise InvalidValueError("NAME=IP:PORT,… of 1 to 7 control VMs") from error
    if len(peers) > 7:
        raise InvalidValueError("NAME=IP:PORT,… of 1 to 7 control VMs")
    return peers


@dataclass(frozen=True)
class Setting:
    """A setting of a command."""

    flag: str
    default: str
    parse: Callable[[str], Any]
    help: str
    """Meaning of the setting, with its unit."""

    @property
    def env_variable(self) -> str:
        """Environment variable that sets the same value as the flag."""
        return ENV_VARIABLE_PREFIX + self.flag.upper().replace("-", "_")

    @property
    def attribute_name(self) -> str:
        """Attribute of the argparse namespace that holds the value."""
        return self.flag.replace("-", "_")


NODE_SETTINGS = (
    Setting(
        "node-id", "node-1", parse_name, "name of this process, unique in the cluster"
    ),
    Setting("cluster-id", "laburnumpitch", parse_name, "name of the cluster"),
    Setting("data-centre", "local", parse_name, "data centre of this VM"),
    Setting("roles", "entry,control", parse_roles, "roles of this process"),
    Setting("host", "127.0.0.1", str, "IP address to bind"),
    Setting("http-port", "8080", make_integer_parser(0, 65535), "TCP port for callers"),
    Setting(
        "rpc-port", "7400", make_integer_parser(0, 65535), "TCP port for other nodes"
    ),
    Setting(
        "advertise-http",
        "",
        parse_optional_address,
        "IP:PORT at which callers reach this node; empty: host and port",
    ),
    Setting(
        "advertise-rpc",
        "",
        parse_optional_address,
        "IP:PORT at which other nodes reach this node; empty: host and port",
    ),
    Setting(
        "control-peers",
        "",
        parse_peers,
        "NAME=IP:PORT,… of every control VM; empty: a cluster of this node alone",
    ),
    Setting(
        "data-folder", "data", str, "folder for the control replica's log and snapshots"
    ),
    Setting("root-key-hash", "", parse_hash, "SHA-256 of the root operator's key, hex"),
    Setting("announce-key", "", str, "key that targets must send with announcements"),
    Setting(
        "policy",
        "laburnumpitch",
        make_choice_parser(tuple(POLICIES)),
        "policy for the selection of targets: " + ", ".join(POLICIES),
    ),
    Setting(
        "export", "on", make_choice_parser(("on", "off")), "export pieces to stores"
    ),
    Setting(
        "deadline-ms",
        "60000",
        make_integer_parser(1, 600_000),
        "deadline for the first token if the caller sets none, ms",
    ),
    Setting(
        "drain-grace-s",
        "1.0",
        make_number_parser(0, 600),
        "time for which a stopping node keeps answering with refusals, so that load "
        "balancers notice, s",
    ),
    Setting(
        "drain-timeout-s",
        "120",
        make_number_parser(0, 3600),
        "time limit for requests in flight when the node stops, s",
    ),
    Setting(
        "snapshot-entries",
        "20000",
        make_integer_parser(100, 10_000_000),
        "log entries after which a snapshot replaces the log",
    ),
    Setting("log-file", "", str, "file to append events to; empty: standard error"),
    Setting(
        "metrics-port",
        "0",
        make_integer_parser(0, 65535),
        "TCP port of the metrics; 0: not served",
    ),
)
"""Settings of `laburnumpitch node` and `laburnumpitch check`."""

INIT_SETTINGS = (
    Setting("cluster-id", "laburnumpitch", parse_name, "name of the cluster"),
    Setting("node-id", "node-1", parse_name, "name of this control VM"),
    Setting("control-peers", "", parse_peers, "NAME=IP:PORT,… of every control VM"),
    Setting(
        "data-folder", "data", str, "folder for the control replica's log and snapshots"
    ),
)
"""Settings of `laburnumpitch init`."""

OPERATOR_SETTINGS = (
    Setting("entry", "127.0.0.1:8080", parse_address, "IP:PORT of any entry VM"),
    Setting("operator", "root", parse_name, "name of the operator"),
    Setting("operator-key", "", str, "key of the operator"),
)
"""Settings of the commands that talk to a running system."""


class CommandParser(configargparse.ArgumentParser):
    """Argument parser that reports an error in one line."""

    def error(self, message: str) -> NoReturn:
        """Print the error in one line and exit with code 2."""
        sys.stderr.write(f"{self.prog}: {message}\n")
        sys.exit(2)


def add_settings(
    parser: argparse.ArgumentParser, settings: tuple[Setting, ...]
) -> None:
    """Add settings to a command; `check_settings` parses their texts later."""
    for setting in settings:
        parser.add_argument(
            f"--{setting.flag}",
            env_var=setting.env_variable,
            default=setting.default,
            metavar=setting.attribute_name.rpartition("_")[2].upper(),
            help=setting.help,
        )


def check_settings(
    parser: argparse.ArgumentParser,
    namespace: argparse.Namespace,
    settings: tuple[Setting, ...],
) -> None:
    """Replace each text by its parsed value, or exit with code 2."""
    for setting in settings:
        text = getattr(namespace, setting.attribute_name)
        try:
            setattr(namespace, setting.attribute_name, setting.parse(text))
        except InvalidValueError as error:
            parser.error(
                f"--{setting.flag} ({setting.env_variable}): {text!r} is not {error}"
            )
