"""`laburnumpitch serve`: runs a node of a fleet with the platform's settings file."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys

from .errors import SettingsError
from .fleet_node import FleetNode
from .logging import configure_logging
from .node_runner import RunnableNode, run_until_stopped
from .platform.settings_file import FleetSettings, read_settings

SETTINGS_ENV_VARIABLE = "LABURNUMPITCH_SETTINGS"
"""Environment variable with the path of the settings file."""


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
        "--check", action="store_true", help="check the settings without starting"
    )
    return parser


def run_serve(arguments: list[str]) -> int:
    """Run a node until a signal stops it."""
    namespace = make_parser().parse_args(arguments)
    try:
        settings = read_settings(namespace.settings)
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
