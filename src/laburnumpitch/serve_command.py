"""`laburnumpitch serve`: runs a node of a fleet with the platform's settings file."""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import sys
from dataclasses import replace

from .errors import SettingsError
from .fleet_node import FleetNode
from .logging import configure_logging
from .node_runner import RunnableNode, run_until_stopped
from .platform.settings_file import FleetSettings, read_settings

SETTINGS_ENV_VARIABLE = "LABURNUMPITCH_SETTINGS"
"""Environment variable with the path of the settings file."""

REPEATED_SENDS_ENV_VARIABLE = "LABURNUMPITCH_REPEATED_SENDS_SHARE"
"""Environment variable with the share of repeated sends."""

MAX_REPEATED_SENDS_SHARE = 0.2
"""Largest share of repeated sends: the platform allows no more retries."""


def parse_share(text: str) -> float:
    """Parse the share of repeated sends.

    Raises:
        ArgumentTypeError: If it is not a number within its bounds.
    """
    try:
        share = float(text)
    except ValueError:
        share = math.nan
    if not 0.0 <= share <= MAX_REPEATED_SENDS_SHARE:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a number from 0 to {MAX_REPEATED_SENDS_SHARE:g}"
        )
    return share


def make_parser() -> argparse.ArgumentParser:
    """Return the parser for the command's arguments."""
    parser = argparse.ArgumentParser(
        prog="laburnumpitch serve", description="Run a node of a fleet."
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_ENV_VARIABLE, ""),
        help=f"path of the settings file (default: ${SETTINGS_ENV_VARIABLE})",
    )
    parser.add_argument(
        "--repeated-sends-share",
        metavar="SHARE",
        type=parse_share,
        default=os.environ.get(REPEATED_SENDS_ENV_VARIABLE, "0"),
        help="late requests that may be sent to a second target, for each request, "
        f"from 0 to {MAX_REPEATED_SENDS_SHARE:g}; 0 for none "
        f"(default: ${REPEATED_SENDS_ENV_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings without starting"
    )
    return parser


def run_serve(arguments: list[str]) -> int:
    """Run a node until a signal stops it."""
    namespace = make_parser().parse_args(arguments)
    try:
        settings = replace(
            read_settings(namespace.settings),
            repeated_sends_share=namespace.repeated_sends_share,
        )
    except SettingsError as error:
        sys.stderr.write(f"laburnumpitch: {error.detail}\n")
        return 2
    if namespace.check:
        print("settings: ok")
        return 0
    configure_logging(settings.node_id, stream=sys.stdout)
    return asyncio.run(serve(settings, namespace.settings))


async def serve(settings: FleetSettings, settings_path: str) -> int:
    """Run the node, and reload its seeds when SIGHUP reports changed settings."""

    def reload(node: RunnableNode) -> None:
        assert isinstance(node, FleetNode)
        node.reload_seed_hosts()

    return await run_until_stopped(lambda: FleetNode(settings, settings_path), reload)
