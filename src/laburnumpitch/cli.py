"""Command line: parses the arguments and runs a command."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from . import __version__
from .control.document import parse_document
from .errors import LaburnumpitchError, SettingsError
from .evacuate_command import add_evacuate_command
from .explain_command import add_explain_command
from .logging import configure_logging
from .node_runner import run_until_stopped
from .operator_commands import add_operator_commands
from .settings import (
    CONTROL_ROLE,
    INIT_SETTINGS,
    NODE_SETTINGS,
    CommandParser,
    add_settings,
    check_settings,
)
from .timeline import add_timeline_command

DESCRIPTION = """\
Serves language-model prompts that reuse a long context after gaps of hours.

Every setting is a flag or an environment variable: --http-port is
LABURNUMPITCH_HTTP_PORT. A flag takes precedence over its variable.
"""


def make_parser() -> CommandParser:
    """Return the parser for all commands."""
    parser = CommandParser(
        prog="laburnumpitch",
        description=DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(
        dest="command", metavar="COMMAND", required=True, parser_class=CommandParser
    )
    node = commands.add_parser("node", help="run a node")
    add_settings(node, NODE_SETTINGS)
    node.set_defaults(run=run_node, parser=node)
    init = commands.add_parser(
        "init", help="prepare the data folder of one of a cluster's first control VMs"
    )
    add_settings(init, INIT_SETTINGS)
    init.set_defaults(run=run_init, parser=init)
    check = commands.add_parser(
        "check",
        help="check the settings, and a document if given, without starting a node",
    )
    add_settings(check, NODE_SETTINGS)
    check.add_argument("--document", help="file of the document to check")
    check.set_defaults(run=run_check, parser=check)
    add_operator_commands(commands)
    add_evacuate_command(commands)
    add_explain_command(commands)
    add_timeline_command(commands)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    namespace = make_parser().parse_args(arguments)
    try:
        return namespace.run(namespace)
    except SettingsError as error:
        sys.stderr.write(f"laburnumpitch: {error.detail}\n")
        return 2
    except LaburnumpitchError as error:
        sys.stderr.write(f"laburnumpitch: {error.code}: {error.detail}\n")
        return 1
    except OSError as error:
        sys.stderr.write(f"laburnumpitch: {error}\n")
        return 1
    except KeyboardInterrupt:
        return 130


def check_node_settings(namespace: argparse.Namespace) -> None:
    """Check each setting of a node, then that they agree."""
    parser = namespace.parser
    check_settings(parser, namespace, NODE_SETTINGS)
    peers = namespace.control_peers
    if CONTROL_ROLE in namespace.roles and peers and namespace.node_id not in peers:
        parser.error(f"--control-peers does not name --node-id {namespace.node_id}")
    if CONTROL_ROLE not in namespace.roles and not peers:
        parser.error("--control-peers is required without the role control")


def run_node(namespace: argparse.Namespace) -> int:
    """Run a node until a signal stops it."""
    from .node import Node

    check_node_settings(namespace)
    stream = configure_logging(namespace.node_id, namespace.log_file)
    try:
        return asyncio.run(run_until_stopped(lambda: Node(namespace)))
    finally:
        if stream is not sys.stderr:
            stream.close()


def run_init(namespace: argparse.Namespace) -> int:
    """Prepare the data folder of a first control VM."""
    from .node import initialise_data_folder

    check_settings(namespace.parser, namespace, INIT_SETTINGS)
    initialise_data_folder(
        Path(namespace.data_folder),
        namespace.cluster_id,
        namespace.node_id,
        namespace.control_peers,
    )
    print(f"{namespace.data_folder}: ready for {namespace.node_id}")
    return 0


def run_check(namespace: argparse.Namespace) -> int:
    """Check the settings of a node and, if given, a document."""
    check_node_settings(namespace)
    print("settings: ok")
    if namespace.document:
        values = parse_document(Path(namespace.document).read_text())
        print(f"document: ok, {len(values)} sections")
    return 0
