"""Commands for operators of a running system."""

from __future__ import annotations

import argparse
import asyncio
import difflib
import os
import re
import shlex
import sys
import tempfile
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .control.document import split_sections
from .errors import (
    ControlUnavailableError,
    InternalError,
    LaburnumpitchError,
    MalformedRequestError,
    TargetError,
    VersionConflictError,
    get_error_classes,
)
from .settings import OPERATOR_SETTINGS, add_settings, check_settings
from .transport.http_client import HttpClient

CALL_TIMEOUT_S = 75.0
"""Timeout of one request to the system."""

MAX_RETRIES = 5
"""Maximum number of retries of a request whose answer is lost. A change keeps its id,
so that it is applied only once."""

RETRY_INTERVAL_S = 0.5
"""Pause before a retry."""

BASE_VERSION_PATTERN = re.compile(
    r"^# base: ([a-z]+\.[A-Za-z0-9_-]+) (\d+)$", re.MULTILINE
)
"""Line at the top of a document with the version at which a section was read."""


@dataclass(frozen=True)
class Document:
    """The document as read at one revision."""

    revision: int
    sections: dict[str, str]
    """Text by section name."""
    versions: dict[str, int]
    """Version by section name."""

    def render(self) -> str:
        """Return the complete text, after lines with the versions of the sections."""
        lines = [f"# base: {name} {version}" for name, version in self.versions.items()]
        texts = [self.sections[name].strip("\n") for name in self.sections]
        return "\n".join(lines) + "\n\n" + "\n\n".join(texts) + "\n"


class OperatorClient:
    """Sends an operator's requests to an entry VM.

    Args:
        namespace: Checked settings of the command.
    """

    def __init__(self, namespace: argparse.Namespace) -> None:
        self.client = HttpClient(namespace.entry)
        self.headers = [
            ("content-type", "application/json"),
            ("x-operator", namespace.operator),
            ("authorization", f"Bearer {namespace.operator_key}"),
        ]

    async def call(self, action: str, body: Any) -> Any:
        """Send a request and return the decoded answer.

        Raises:
            LaburnumpitchError: The failure that the system answers with.
        """
        answer = await self.client.request(
            "POST",
            f"/operator/{action}",
            self.headers,
            msgspec.json.encode(body),
            first_byte_timeout_s=CALL_TIMEOUT_S,
        )
        data = msgspec.json.decode(await answer.read())
        if answer.status != 200:
            error_body = data["error"]
            error_class = get_error_classes().get(error_body["code"], InternalError)
            raise error_class(error_body.get("message", ""))
        return data

    async def call_with_retries(self, action: str, body: Any) -> Any:
        """Send a request, and retry it if its answer is lost."""
        for attempt in range(MAX_RETRIES + 1):
            try:
                return await self.call(action, body)
            except (TargetError, ControlUnavailableError):
                if attempt == MAX_RETRIES:
                    raise
                await asyncio.sleep(RETRY_INTERVAL_S)
        raise AssertionError("unreachable")

    async def get_document(self) -> Document:
        """Read the document."""
        data = await self.call_with_retries("get", {})
        sections = data["sections"]
        return Document(
            data["revision"],
            {item["name"]: item["text"] for item in sections},
            {item["name"]: item["version"] for item in sections},
        )


def make_section_changes(
    current: Document, text: str, is_complete: bool
) -> list[dict[str, Any]]:
    """Return the changes to the sections that differ between the document and a file.

    Args:
        current: Current document.
        text: Text of the file. Its `# base:` lines name the versions on which the
            changes are based; without them these are the current versions.
        is_complete: Whether sections that the file lacks are removed.
    """
    base_versions = {
        name: int(version) for name, version in BASE_VERSION_PATTERN.findall(text)
    }
    has_base_versions = bool(base_versions)
    new_sections = split_sections(BASE_VERSION_PATTERN.sub("", text))
    changes = []
    for name, section_text in new_sections.items():
        if section_text.strip("\n") == current.sections.get(name, "").strip("\n"):
            continue
        version = (
            base_versions.get(name, 0)
            if has_base_versions
            else current.versions.get(name, 0)
        )
        changes.append({"name": name, "base_version": version, "text": section_text})
    if is_complete:
        read_versions = base_versions if has_base_versions else current.versions
        for name in read_versions:
            if name not in new_sections and name in current.sections:
                changes.append(
                    {"name": name, "base_version": read_versions[name], "text": ""}
                )
    return changes


async def apply_document_text(
    client: OperatorClient, text: str, is_complete: bool, change_id: str
) -> int:
    """Apply a file's text; return the new revision, or 0 without a change.

    Raises:
        LaburnumpitchError: If the change was refused.
    """
    changes = make_section_changes(await client.get_document(), text, is_complete)
    if not changes:
        print("no change")
        return 0
    body = {"change_id": change_id, "sections": changes}
    result = await client.call_with_retries("apply", body)
    if result["error_code"]:
        error_class = get_error_classes().get(result["error_code"], InternalError)
        raise error_class(result["detail"])
    names = ", ".join(change["name"] for change in changes)
    print(f"accepted as revision {result['revision']}: {names}")
    return result["revision"]


async def wait_for_revision(
    client: OperatorClient, revision: int, timeout_s: float
) -> int:
    """Wait until a revision is in force on all nodes; return the exit code."""
    data = await client.call("wait", {"revision": revision, "timeout_s": timeout_s})
    if data["lagging"]:
        print(f"revision {revision} is not yet in force on: {data['lagging']}")
        return 1
    print(f"revision {revision} is in force everywhere")
    return 0


async def run_get(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Print the document."""
    sys.stdout.write((await client.get_document()).render())
    return 0


async def run_diff(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Print the changes that a file would make."""
    document = await client.get_document()
    text = Path(namespace.file).read_text()
    changes = make_section_changes(document, text, namespace.whole)
    for change in changes:
        old = document.sections.get(change["name"], "")
        lines = difflib.unified_diff(
            old.splitlines(keepends=True),
            change["text"].splitlines(keepends=True),
            f"current/{change['name']}",
            f"{namespace.file}/{change['name']}",
        )
        sys.stdout.writelines(lines)
    return 1 if changes else 0


async def run_apply(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Apply a file."""
    text = Path(namespace.file).read_text()
    change_id = namespace.change_id or uuid.uuid4().hex
    revision = await apply_document_text(client, text, namespace.whole, change_id)
    if revision and namespace.wait:
        return await wait_for_revision(client, revision, namespace.timeout_s)
    return 0


async def run_edit(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Edit the document in an editor that replaces this process."""
    path = Path(tempfile.gettempdir()) / f"laburnumpitch-{uuid.uuid4().hex[:8]}.toml"
    path.write_text((await client.get_document()).render())
    editor = shlex.split(os.environ.get("EDITOR", "vi"))
    print(f"then run: laburnumpitch config apply --whole {path}")
    sys.stdout.flush()
    # The program starts no other processes, so the editor replaces this one.
    os.execvp(editor[0], [*editor, str(path)])


async def run_history(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Print the accepted changes, one per line."""
    for item in await client.call("history", {"since": namespace.since}):
        names = ",".join(change["name"] for change in item["sections"])
        print(
            f"revision={item['revision']} time_s={item['time_s']:.3f} "
            f"operator={item['operator']} change={item['change_id']} sections={names}"
        )
    return 0


async def run_wait(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Wait until a revision is in force."""
    revision = namespace.revision or (await client.get_document()).revision
    return await wait_for_revision(client, revision, namespace.timeout_s)


async def run_status(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Print the state of the cluster as the control leader knows it."""
    status = await client.call("status", {})
    if namespace.json:
        print(msgspec.json.format(msgspec.json.encode(status)).decode())
        return 0
    print(
        f"leader={status['leader']} term={status['term']} "
        f"revision={status['revision']} commit_index={status['commit_index']}"
    )
    loads = {load["target_id"]: load for load in status["loads"]}
    for name in ("replicas", "nodes", "targets"):
        for item in status[name]:
            fields = dict(item)
            fields.update(loads.get(item.get("target_id"), {}))
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            print(f"{name[:-1]} {text}")
    for suspect in status["suspects"]:
        print(f"suspect {' '.join(f'{k}={v}' for k, v in suspect.items())}")
    return 0


async def run_drain(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Drain a target, or undo its drain."""
    body = {"target_id": namespace.target, "is_draining": not namespace.undo}
    await client.call_with_retries("drain_target", body)
    print(f"{namespace.target}: {'serving' if namespace.undo else 'draining'}")
    return 0


async def run_rollout(client: OperatorClient, namespace: argparse.Namespace) -> int:
    """Pause or resume a pool's rollout."""
    body = {"pool": namespace.pool, "is_paused": namespace.action == "pause"}
    await client.call_with_retries("rollout", body)
    print(f"{namespace.pool}: rollout {namespace.action}d")
    return 0


async def run_clear_quarantine(
    client: OperatorClient, namespace: argparse.Namespace
) -> int:
    """Remove a request from quarantine."""
    body = {"fingerprint": namespace.fingerprint}
    is_known = await client.call_with_retries("clear_quarantine", body)
    print("cleared" if is_known else "not known")
    return 0 if is_known else 1


def run_operator_command(namespace: argparse.Namespace) -> int:
    """Run an operator's command and return its exit code."""
    check_settings(namespace.parser, namespace, OPERATOR_SETTINGS)
    try:
        return asyncio.run(
            namespace.action_function(OperatorClient(namespace), namespace)
        )
    except VersionConflictError as error:
        summary, _, current_text = error.detail.partition("\n")
        sys.stderr.write(f"laburnumpitch: {error.code}: {summary}\n")
        sys.stderr.write(f"current text:\n{current_text}\n")
        return 3
    except MalformedRequestError as error:
        raise LaburnumpitchError(error.detail) from error


def add_command(
    commands: Any, name: str, function: Any, help_text: str
) -> argparse.ArgumentParser:
    """Add a command that sends requests to a running system."""
    parser = commands.add_parser(name, help=help_text)
    add_settings(parser, OPERATOR_SETTINGS)
    parser.set_defaults(
        run=run_operator_command, action_function=function, parser=parser
    )
    return parser


def add_operator_commands(commands: Any) -> None:
    """Add the operators' commands to the program's parser."""
    config = commands.add_parser("config", help="read and change the document")
    actions = config.add_subparsers(
        dest="config_command", metavar="COMMAND", required=True
    )
    add_command(actions, "get", run_get, "print the document")
    for name, function, help_text in (
        ("diff", run_diff, "print the changes of a file; exit code 1 if any"),
        ("apply", run_apply, "apply a file; exit code 3 on a conflict"),
    ):
        parser = add_command(actions, name, function, help_text)
        parser.add_argument("file", help="TOML file of one or more sections")
        parser.add_argument(
            "--whole", action="store_true", help="remove sections that the file lacks"
        )
        if name == "apply":
            parser.add_argument(
                "--change-id",
                default="",
                help="id of the change, the same for each retry; empty: a new one",
            )
            parser.add_argument(
                "--wait", action="store_true", help="wait until the change is in force"
            )
            add_timeout_argument(parser)
    add_command(actions, "edit", run_edit, "write the document to a file and edit it")
    history = add_command(actions, "history", run_history, "print accepted changes")
    history.add_argument(
        "--since", type=int, default=0, help="show only later revisions"
    )
    wait = add_command(actions, "wait", run_wait, "wait until a revision is in force")
    wait.add_argument(
        "--revision", type=int, default=0, help="revision to wait for; 0: the newest"
    )
    add_timeout_argument(wait)
    status = add_command(
        commands, "status", run_status, "print the state of the cluster"
    )
    status.add_argument("--json", action="store_true", help="print JSON")
    drain = add_command(
        commands, "drain", run_drain, "stop sending new requests to a target"
    )
    drain.add_argument("target", help="id of the target")
    drain.add_argument(
        "--undo", action="store_true", help="send new requests to it again"
    )
    rollout = add_command(commands, "rollout", run_rollout, "pause or resume a rollout")
    rollout.add_argument("action", choices=("pause", "resume"))
    rollout.add_argument("pool", help="name of the pool")
    clear = add_command(
        commands,
        "clear-quarantine",
        run_clear_quarantine,
        "clear a quarantined request",
    )
    clear.add_argument("fingerprint", help="fingerprint as shown by status")


def add_timeout_argument(parser: argparse.ArgumentParser) -> None:
    """Add the time limit of a wait."""
    parser.add_argument(
        "--timeout-s", type=float, default=10.0, help="time limit of the wait, seconds"
    )
