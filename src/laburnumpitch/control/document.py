"""The configuration document of the operators: sections, schemas and references.

The document is TOML. A section is made of all tables whose first two key parts
agree, such as `[services.orders]` and `[[services.orders.operations]]`. Its text
is stored as the operator wrote it.
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
"""Size limit of one section's text."""

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
"""Name of a section, without its kind, or of a team."""

KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
"""SHA-256 of a key, in hexadecimal."""

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
"""Fraction between 0 and 1."""


class OperatorSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[operators.NAME]`: an operator, who may change the document."""

    owner: Name
    key_hash: KeyHash
    """SHA-256 of the operator's key, in hexadecimal."""
    teams: list[Name]
    """Teams whose sections this operator may change."""


class OrganisationSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[organisations.NAME]`: a customer with its API keys and limits."""

    owner: Name
    api_key_hashes: list[KeyHash]
    """SHA-256 of each API key, in hexadecimal."""
    models: list[Name] = []
    """Models that the organisation may use."""
    services: list[Name] = []
    """Services that the organisation may call."""
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    """Priority at the engines; lower numbers run first."""
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    """Weight in fair queueing."""
    requests_per_s: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    """Rate limit over the whole fleet."""
    first_token_weight: Share = 0.5
    """Weight of the time to first token against the share of tokens recomputed."""


class ModelSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[models.NAME]`: a model and the weight version to serve."""

    owner: Name
    pool: Name
    weight_version: Name
    adapter: str = ""
    piece_tokens: Annotated[int, msgspec.Meta(ge=16, le=65536)] = 2048
    """Number of tokens in one piece of kept context."""


class PoolSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[pools.NAME]`: a pool of interchangeable targets."""

    owner: Name
    kind: Literal["engine", "service", "store"]
    store_pool: str = ""
    """Pool of the KV stores that the engines of this pool use."""
    capacity_floor: Share = 0.5
    """Share of the engines that keep serving during a rollout."""
    weight_store: str = ""
    """Weight store from which the engines of this pool load."""


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of a service with one method and path prefix."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: str
    """Path prefix, relative to the service."""
    is_idempotent: bool


class ServiceSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[services.NAME]`: an HTTP service and which of its calls may be repeated."""

    owner: Name
    pool: Name
    operations: list[Operation] = []
    """The first match decides; calls without a match are idempotent if GET or HEAD."""


class SystemSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[system.limits]`: limits that apply to the whole system."""

    owner: Name
    claim_retention_s: Annotated[float, msgspec.Meta(ge=60)] = 86400.0
    """Time for which outcomes of non-idempotent requests are kept, in seconds."""
    quarantine_retention_s: Annotated[float, msgspec.Meta(ge=1)] = 86400.0
    """Time for which a request that crashed targets is refused, in seconds."""
    max_loads_per_weight_store: Annotated[int, msgspec.Meta(ge=1, le=64)] = 2
    """Number of engines that may load from one weight store at once."""


SCHEMAS: dict[str, type[msgspec.Struct]] = {
    "operators": OperatorSection,
    "organisations": OrganisationSection,
    "models": ModelSection,
    "pools": PoolSection,
    "services": ServiceSection,
    "system": SystemSection,
}
"""Schema of a section by its kind."""

ParsedSection = Any
"""An instance of one of the schemas."""


def split_sections(text: str) -> dict[str, str]:
    """Split a document into its sections without changing their text.

    Args:
        text: The complete document.

    Returns:
        Text by section name (`kind.name`), in the order of the document.

    Raises:
        InvalidDocumentError: If a section occurs twice, or if the text has
            content but no section.
    """
    sections: dict[str, list[str]] = {}
    preamble: list[str] = []
    current_name = ""
    for line in text.splitlines(keepends=True):
        match = TABLE_HEADER_PATTERN.match(line)
        if match is not None:
            name = f"{match[1]}.{match[2]}"
            if name != current_name and name in sections:
                raise InvalidDocumentError(f"{name}: the section occurs twice")
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
        raise InvalidDocumentError("document: no table of the form [kind.name]")
    return {name: "".join(lines) for name, lines in sections.items()}


def move_leading_comments(previous: list[str] | None, preamble: list[str]) -> list[str]:
    """Return the lines before a header that belong to the section it starts.

    For the first section these are the lines of the preamble; for a later one the
    trailing comment lines of the previous section, which are removed from there.
    """
    comments = list(preamble)
    while previous and previous[-1].lstrip().startswith("#"):
        comments.insert(0, previous.pop())
    return comments


def parse_toml(name: str, text: str) -> dict[str, Any]:
    """Parse TOML.

    Raises:
        InvalidDocumentError: If the text is not TOML, with the section's name.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocumentError(f"{name}: {error}") from error


def parse_section(name: str, text: str) -> ParsedSection:
    """Parse and validate one section.

    Args:
        name: Section name (`kind.name`).
        text: TOML of that section alone.

    Raises:
        InvalidDocumentError: If the text breaks the schema, with the path to the
            invalid field.
    """
    kind, _, item_name = name.partition(".")
    schema = SCHEMAS.get(kind)
    if schema is None:
        raise InvalidDocumentError(f"{name}: unknown section kind {kind!r}")
    if len(text.encode()) > MAX_SECTION_BYTES:
        raise InvalidDocumentError(f"{name}: longer than {MAX_SECTION_BYTES} bytes")
    data = parse_toml(name, text)
    if set(data) != {kind} or set(data[kind]) != {item_name}:
        raise InvalidDocumentError(
            f"{name}: the text contains tables of another section"
        )
    try:
        return msgspec.convert(data[kind][item_name], schema)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        raise InvalidDocumentError(f"{name}{path.rstrip('`')}: {message}") from error


class ReferenceChecker:
    """Checks that sections refer only to sections that exist.

    Args:
        sections: All parsed sections by name, as they are after the change.
    """

    def __init__(self, sections: Mapping[str, ParsedSection]) -> None:
        self.sections = sections

    def require_section(
        self, name: str, field: str, kind: str, referenced_name: str
    ) -> None:
        """Check that the section to which a field refers exists.

        Args:
            name: Section that refers to another one.
            field: Field that holds the reference.
            kind: Kind of the referenced section.
            referenced_name: Name of the referenced section within its kind.

        Raises:
            InvalidDocumentError: If the referenced section does not exist.
        """
        if f"{kind}.{referenced_name}" not in self.sections:
            raise InvalidDocumentError(f"{name}.{field}: no {kind}.{referenced_name}")

    def check_section(self, name: str) -> None:
        """Check the references of one section.

        Raises:
            InvalidDocumentError: With the path to the invalid field.
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
        """Check that a referenced pool exists and has the given kind."""
        self.require_section(name, "pool", "pools", pool)
        if self.sections[f"pools.{pool}"].kind != kind:
            raise InvalidDocumentError(f"{name}.pool: {pool} is not of kind {kind}")


def check_references(
    sections: Mapping[str, ParsedSection], changed_names: Iterable[str]
) -> None:
    """Check the references of all sections that a change may have invalidated.

    A removed or changed section may invalidate references to it. All sections of
    the kinds that refer to a changed kind are therefore checked too.

    Raises:
        InvalidDocumentError: With the path to the invalid field.
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
    """Check that no two models use the same engine pool.

    Raises:
        InvalidDocumentError: If two models use one pool.
    """
    models_by_pool: dict[str, str] = {}
    for name, section in sections.items():
        if isinstance(section, ModelSection):
            first_model = models_by_pool.setdefault(section.pool, name)
            if first_model != name:
                raise InvalidDocumentError(
                    f"{name}.pool: already used by {first_model}"
                )


def check_unique_api_keys(
    sections: Mapping[str, ParsedSection], changed_names: set[str]
) -> None:
    """Check that no API key of a changed organisation belongs to another one too.

    Raises:
        InvalidDocumentError: If two organisations have the same key.
    """
    names_by_key_hash: dict[str, str] = {}
    for name in changed_names:
        section = sections.get(name)
        if isinstance(section, OrganisationSection):
            for key_hash in section.api_key_hashes:
                if names_by_key_hash.setdefault(key_hash, name) != name:
                    raise InvalidDocumentError(
                        f"{name}.api_key_hashes: key is not unique"
                    )
    if not names_by_key_hash:
        return
    for name, section in sections.items():
        if name in changed_names or not isinstance(section, OrganisationSection):
            continue
        for key_hash in section.api_key_hashes:
            if key_hash in names_by_key_hash:
                changed_name = names_by_key_hash[key_hash]
                raise InvalidDocumentError(
                    f"{changed_name}.api_key_hashes: key is not unique"
                )


def parse_document(text: str) -> dict[str, ParsedSection]:
    """Parse a complete document and check its references and API keys.

    Raises:
        InvalidDocumentError: With the path to the invalid field.
    """
    texts = split_sections(text)
    sections = {
        name: parse_section(name, section_text) for name, section_text in texts.items()
    }
    check_references(sections, sections)
    check_unique_api_keys(sections, set(sections))
    return sections
