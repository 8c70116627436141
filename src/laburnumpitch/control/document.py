"""The operators' document: its schema, its sections and the rules between them.

The document is TOML. A section is every table whose first two key parts agree,
such as `[services.orders]` with `[[services.orders.operations]]`; its text is
kept as the operator wrote it.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, Literal

import msgspec

from ..errors import InvalidDocumentError

TABLE_HEADER_PATTERN = re.compile(r"^\s*\[\[?\s*([a-z]+)\.([A-Za-z0-9_-]+)[\s.\]]")
"""Start of a table header; the groups are the section's kind and name."""

MAX_SECTION_BYTES = 64 * 1024
"""Bound on one section's text."""

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class OperatorSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[operators.NAME]`: who may change the document."""

    owner: Name
    key_hash: KeyHash
    """SHA-256 of the operator's key, in hexadecimal."""
    teams: list[Name]
    """Owners whose sections this operator may change."""


class OrganisationSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[organisations.NAME]`: a customer, its keys and its limits."""

    owner: Name
    api_key_hashes: list[KeyHash]
    """SHA-256 of each API key, in hexadecimal."""
    models: list[Name] = []
    """Models that it may use."""
    services: list[Name] = []
    """Services that it may call."""
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    """Priority at the engines; a lower number runs first."""
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    """Share in fair queueing."""
    requests_per_s: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    """Rate over the whole fleet."""
    first_token_weight: Share = 0.5
    """How much time to first token counts against the share recomputed."""


class ModelSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[models.NAME]`: a model and the weight version to serve."""

    owner: Name
    pool: Name
    weight_version: Name
    adapter: str = ""
    piece_tokens: Annotated[int, msgspec.Meta(ge=16, le=65536)] = 2048
    """Tokens in one piece of kept context."""


class PoolSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[pools.NAME]`: targets that stand for each other."""

    owner: Name
    kind: Literal["engine", "service", "store"]
    store_pool: str = ""
    """Pool of the KV stores that this pool's engines use."""
    capacity_floor: Share = 0.5
    """Share of engines that keep serving during a rollout."""
    weight_store: str = ""
    """Weight store that the pool's engines load from."""


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of call of a service."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: str
    """Path prefix below the service."""
    is_idempotent: bool


class ServiceSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[services.NAME]`: a plain service and which calls may be repeated."""

    owner: Name
    pool: Name
    operations: list[Operation] = []
    """First match by method and path prefix; else GET and HEAD are idempotent."""


class SystemSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[system.limits]`: bounds of the whole system."""

    owner: Name
    claim_retention_s: Annotated[float, msgspec.Meta(ge=60)] = 86400.0
    """Seconds for which answers of non-idempotent requests are kept."""
    quarantine_retention_s: Annotated[float, msgspec.Meta(ge=1)] = 86400.0
    """Seconds for which a request that crashed targets is refused."""
    max_loads_per_weight_store: Annotated[int, msgspec.Meta(ge=1, le=64)] = 2
    """Engines that may load weights from one weight store at once."""


SCHEMAS: dict[str, type[msgspec.Struct]] = {
    "operators": OperatorSection,
    "organisations": OrganisationSection,
    "models": ModelSection,
    "pools": PoolSection,
    "services": ServiceSection,
    "system": SystemSection,
}

ParsedSection = Any


def split_sections(text: str) -> dict[str, str]:
    """Cut a document into its sections, keeping each one's text.

    Args:
        text: The whole document.

    Returns:
        Text by section name (`kind.name`), in the document's order.

    Raises:
        InvalidDocumentError: If the text is not TOML or a section comes twice.
    """
    sections: dict[str, list[str]] = {}
    preamble: list[str] = []
    current_name = ""
    for line in text.splitlines(keepends=True):
        match = TABLE_HEADER_PATTERN.match(line)
        if match is not None:
            name = f"{match[1]}.{match[2]}"
            if name != current_name and name in sections:
                raise InvalidDocumentError(f"{name}: the section comes twice")
            if name != current_name:
                sections[name] = move_leading_comments(
                    sections.get(current_name), preamble
                )
                preamble = []
            current_name = name
        if current_name:
            sections[current_name].append(line)
        else:
            preamble.append(line)
    if not sections and "".join(preamble).strip():
        parse_toml("document", "".join(preamble))
        raise InvalidDocumentError("document: every table is [kind.name]")
    return {name: "".join(lines) for name, lines in sections.items()}


def move_leading_comments(previous: list[str] | None, preamble: list[str]) -> list[str]:
    """Move the comment lines right before a header to the section it begins."""
    comments = list(preamble)
    while previous and previous[-1].lstrip().startswith("#"):
        comments.insert(0, previous.pop())
    return comments


def parse_toml(name: str, text: str) -> dict[str, Any]:
    """Read TOML, or raise `InvalidDocumentError` with the section's name."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocumentError(f"{name}: {error}") from error


def parse_section(name: str, text: str) -> ParsedSection:
    """Read one section.

    Args:
        name: `kind.name`.
        text: TOML of that section alone.

    Raises:
        InvalidDocumentError: With the path to the field that is wrong.
    """
    kind, _, item_name = name.partition(".")
    schema = SCHEMAS.get(kind)
    if schema is None:
        raise InvalidDocumentError(f"{name}: there is no kind {kind!r}")
    if len(text.encode()) > MAX_SECTION_BYTES:
        raise InvalidDocumentError(f"{name}: over {MAX_SECTION_BYTES} bytes")
    data = parse_toml(name, text)
    if set(data) != {kind} or set(data[kind]) != {item_name}:
        raise InvalidDocumentError(f"{name}: the text has another section's tables")
    try:
        return msgspec.convert(data[kind][item_name], schema)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        raise InvalidDocumentError(f"{name}{path.rstrip('`')}: {message}") from error


class ReferenceChecker:
    """Rules between sections.

    Args:
        sections: Every section's value by name, after the change.
    """

    def __init__(self, sections: Mapping[str, ParsedSection]) -> None:
        self.sections = sections

    def require_section(
        self, name: str, field: str, kind: str, referenced_name: str
    ) -> None:
        """Require that a field names a section that exists."""
        if f"{kind}.{referenced_name}" not in self.sections:
            raise InvalidDocumentError(f"{name}.{field}: no {kind}.{referenced_name}")

    def check_section(self, name: str) -> None:
        """Check one section against the others.

        Raises:
            InvalidDocumentError: With the path to the field that is wrong.
        """
        section = self.sections[name]
        if isinstance(section, OrganisationSection):
            for model in section.models:
                self.require_section(name, "models", "models", model)
            for service in section.services:
                self.require_section(name, "services", "services", service)
        elif isinstance(section, ModelSection):
            self.require_pool(name, section.pool, "engine")
        elif isinstance(section, ServiceSection):
            self.require_pool(name, section.pool, "service")
        elif isinstance(section, PoolSection) and section.store_pool:
            self.require_pool(name, section.store_pool, "store")

    def require_pool(self, name: str, pool: str, kind: str) -> None:
        """Require that a pool exists and has a kind."""
        self.require_section(name, "pool", "pools", pool)
        if self.sections[f"pools.{pool}"].kind != kind:
            raise InvalidDocumentError(f"{name}.pool: {pool} is not of kind {kind}")


def check_references(
    sections: Mapping[str, ParsedSection], changed_names: Iterable[str]
) -> None:
    """Check the sections that a change can have broken.

    A removed or changed section can break those that name it, so sections of
    every kind that refers to a changed kind are checked again.

    Raises:
        InvalidDocumentError: With the path to the field that is wrong.
    """
    checker = ReferenceChecker(sections)
    changed_kinds = {name.partition(".")[0] for name in changed_names}
    referring_kinds = set()
    if changed_kinds & {"pools"}:
        referring_kinds |= {"models", "services", "pools"}
    if changed_kinds & {"models", "services"}:
        referring_kinds |= {"organisations"}
    names = {name for name in changed_names if name in sections}
    names |= {name for name in sections if name.partition(".")[0] in referring_kinds}
    for name in sorted(names):
        checker.check_section(name)
    if "models" in changed_kinds:
        check_one_model_per_pool(sections)


def check_one_model_per_pool(sections: Mapping[str, ParsedSection]) -> None:
    """Check that no two models share an engine pool.

    Raises:
        InvalidDocumentError: If two do.
    """
    models_by_pool: dict[str, str] = {}
    for name, section in sections.items():
        if isinstance(section, ModelSection):
            first_model = models_by_pool.setdefault(section.pool, name)
            if first_model != name:
                raise InvalidDocumentError(f"{name}.pool: {first_model} uses it too")


def check_unique_api_keys(
    sections: Mapping[str, ParsedSection], changed_names: set[str]
) -> None:
    """Check that no API key of a changed organisation is another's too.

    Raises:
        InvalidDocumentError: If two organisations share a key.
    """
    names_by_key_hash: dict[str, str] = {}
    for name in changed_names:
        section = sections.get(name)
        if isinstance(section, OrganisationSection):
            for key_hash in section.api_key_hashes:
                if names_by_key_hash.setdefault(key_hash, name) != name:
                    raise InvalidDocumentError(f"{name}.api_key_hashes: key is shared")
    if not names_by_key_hash:
        return
    for name, section in sections.items():
        if name in changed_names or not isinstance(section, OrganisationSection):
            continue
        for key_hash in section.api_key_hashes:
            if key_hash in names_by_key_hash:
                changed_name = names_by_key_hash[key_hash]
                raise InvalidDocumentError(
                    f"{changed_name}.api_key_hashes: key is shared"
                )


def parse_document(text: str) -> dict[str, ParsedSection]:
    """Read and check a whole document.

    Raises:
        InvalidDocumentError: With the path to the field that is wrong.
    """
    texts = split_sections(text)
    sections = {
        name: parse_section(name, section_text) for name, section_text in texts.items()
    }
    check_references(sections, sections)
    check_unique_api_keys(sections, set(sections))
    return sections
