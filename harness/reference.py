"""Writes the reference pages from the code; with --check, only compares them."""

from __future__ import annotations

import argparse
import inspect
import re
import sys
from pathlib import Path

from laburnumpitch.control.document import SCHEMAS
from laburnumpitch.errors import get_error_classes
from laburnumpitch.explain_command import EXPLAIN_SETTINGS
from laburnumpitch.metrics import METRICS
from laburnumpitch.platform.settings_file import WireBounds
from laburnumpitch.serve_command import (
    MAX_REPEATED_SENDS_SHARE,
    REPEATED_SENDS_ENV_VARIABLE,
    SETTINGS_ENV_VARIABLE,
)
from laburnumpitch.settings import INIT_SETTINGS, NODE_SETTINGS, OPERATOR_SETTINGS

ROOT = Path(__file__).resolve().parent.parent
PAGES_FOLDER = ROOT / "docs" / "reference"
SOURCE_FOLDER = ROOT / "src" / "laburnumpitch"
EVENT_PATTERN = re.compile(
    r"\blog\.(?:info|warning|error|exception)\(\s*\"([a-z_]+)\"", re.MULTILINE
)
"""Matches the event name in a call that logs an event."""

SERVE_ROWS = [
    ("`--settings`", f"`{SETTINGS_ENV_VARIABLE}`", "``", "path of the settings file"),
    (
        "`--repeated-sends-share`",
        f"`{REPEATED_SENDS_ENV_VARIABLE}`",
        "`0`",
        "late requests that may be sent to a second target, for each request, from 0 "
        f"to {MAX_REPEATED_SENDS_SHARE:g}; 0 for none",
    ),
]
"""Settings of `laburnumpitch serve` besides the settings file."""

GENERATED_NOTE = "This page is written by `make reference` and checked in CI.\n"


def make_table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def make_settings_page() -> str:
    """Return the reference page of the settings."""
    parts = ["# Settings\n", GENERATED_NOTE]
    for title, settings in (
        ("laburnumpitch node, laburnumpitch check", NODE_SETTINGS),
        ("laburnumpitch init", INIT_SETTINGS),
        ("commands of operators", OPERATOR_SETTINGS),
        ("laburnumpitch explain", EXPLAIN_SETTINGS),
    ):
        rows = [
            (f"`--{s.flag}`", f"`{s.env_variable}`", f"`{s.default}`", s.help)
            for s in settings
        ]
        parts.append(f"## {title}\n")
        parts.append(make_table(("flag", "variable", "default", "meaning"), rows))
    rows = [row for row in make_field_rows(WireBounds) if row[-1]]
    parts.append("## settings file of laburnumpitch serve, [bounds]\n")
    parts.append(make_table(("name", "default", "meaning"), rows))
    parts.append("## laburnumpitch serve\n")
    parts.append(make_table(("flag", "variable", "default", "meaning"), SERVE_ROWS))
    return "\n".join(parts)


def make_errors_page() -> str:
    """Return the reference page of the error codes."""
    rows = []
    for code, error in sorted(get_error_classes().items()):
        text = (inspect.getdoc(error) or "").partition("\n\n")[0].replace("\n", " ")
        rows.append((f"`{code}`", str(error.status), f"`{error.run}`", text))
    heading = "# Error codes\n\n" + GENERATED_NOTE + "\n"
    heading += (
        "`run` is the value in the refusal; it is `unknown` instead if a target may "
        "have acted on the request.\n\n"
    )
    return heading + make_table(("code", "status", "run", "meaning"), rows)


def make_metrics_page() -> str:
    """Return the reference page of the metrics."""
    rows = [(f"`{m.name}`", m.kind, m.unit, m.help) for m in METRICS]
    heading = "# Metrics\n\n" + GENERATED_NOTE
    heading += "\nNames are prefixed with `laburnumpitch.NODE_ID.`.\n\n"
    return heading + make_table(("name", "kind", "unit", "meaning"), rows)


def make_events_page() -> str:
    """Return the reference page of the log events."""
    modules_by_event: dict[str, set[str]] = {}
    for path in sorted(SOURCE_FOLDER.rglob("*.py")):
        for name in EVENT_PATTERN.findall(path.read_text()):
            module = str(path.relative_to(SOURCE_FOLDER).with_suffix("")).replace(
                "/", "."
            )
            modules_by_event.setdefault(name, set()).add(module)
    rows = [
        (f"`{name}`", ", ".join(f"`{module}`" for module in sorted(modules)))
        for name, modules in sorted(modules_by_event.items())
    ]
    heading = "# Log events\n\n" + GENERATED_NOTE
    heading += (
        "\nEach line has `hlc` (hybrid logical clock), `level`, `event` and `node`; "
        "events of requests have `request`.\n\n"
    )
    return heading + make_table(("event", "module"), rows)


def make_field_rows(schema: type) -> list[tuple[str, ...]]:
    """Return name, default and meaning of each field of a message."""
    source = inspect.getsource(schema)
    rows = []
    for field in schema.__struct_fields__:
        match = re.search(
            rf"^    {field}: .*?(?:\n    \"\"\"(.*?)\"\"\"|\n    \w|\Z)",
            source,
            re.MULTILINE | re.DOTALL,
        )
        text = (match[1] or "") if match else ""
        position = schema.__struct_fields__.index(field)
        index_from_end = position - len(schema.__struct_fields__)
        defaults = schema.__struct_defaults__
        default = "required"
        if -index_from_end <= len(defaults):
            value = defaults[index_from_end]
            is_list = not isinstance(value, (int, float, str))
            default = "`[]`" if is_list else f"`{value!r}`"
        rows.append((f"`{field}`", default, " ".join(text.split())))
    return rows


def make_document_page() -> str:
    """Return the reference page of the document's sections."""
    parts = ["# The document\n", GENERATED_NOTE]
    for kind, schema in SCHEMAS.items():
        doc = (inspect.getdoc(schema) or "").replace("\n", " ")
        rows = make_field_rows(schema)
        parts.append(f"## {kind}\n\n{doc}\n")
        parts.append(make_table(("field", "default", "meaning"), rows))
    return "\n".join(parts)


LIMIT_MODULES = (
    "policy/client_budget",
    "transport/server_limits",
    "transport/request_reader",
    "transport/server_connection",
    "transport/responder",
    "transport/client_gate",
    "transport/connection_reader",
)
"""Modules whose constants bound what clients may do."""

CONSTANT_PATTERN = re.compile(
    r"^([A-Z][A-Z_]+) = ([^\n]+)\n\"\"\"(.*?)\"\"\"", re.MULTILINE | re.DOTALL
)
"""Matches a constant with its docstring."""


def make_limits_page() -> str:
    """Return the reference page of the limits on clients."""
    rows = []
    for module in LIMIT_MODULES:
        source = (SOURCE_FOLDER / f"{module}.py").read_text()
        for name, value, text in CONSTANT_PATTERN.findall(source):
            meaning = " ".join(text.split())
            rows.append((f"`{module}.{name}`", f"`{value}`", meaning))
    heading = "# Limits on clients\n\n" + GENERATED_NOTE
    heading += (
        "\nThe settings file has `[limits]`: `memory_mb` (memory of the machine) and "
        "`max_fds` (descriptors of the process); 0 or absent: not known. The "
        "configuration has `limits`: `max_header_bytes` (16384), `max_body_bytes` "
        "(4194304), `header_timeout_ms` (3000) and `idle_timeout_ms` (15000).\n\n"
    )
    return heading + make_table(("limit", "value", "meaning"), rows)


PAGES = {
    "limits": make_limits_page,
    "settings": make_settings_page,
    "errors": make_errors_page,
    "metrics": make_metrics_page,
    "events": make_events_page,
    "document": make_document_page,
}
"""Functions that return the pages, by file name."""


def find_stale_pages() -> list[str]:
    """Return the names of pages that are missing or differ from the code."""
    return [
        name
        for name, make in PAGES.items()
        if not (PAGES_FOLDER / f"{name}.md").exists()
        or (PAGES_FOLDER / f"{name}.md").read_text() != make()
    ]


def main() -> int:
    """Write the pages, or check them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if parser.parse_args().check:
        stale = find_stale_pages()
        print(f"stale pages: {stale}" if stale else "reference is current")
        return 1 if stale else 0
    PAGES_FOLDER.mkdir(parents=True, exist_ok=True)
    for name, make in PAGES.items():
        (PAGES_FOLDER / f"{name}.md").write_text(make())
    return 0


if __name__ == "__main__":
    sys.exit(main())
