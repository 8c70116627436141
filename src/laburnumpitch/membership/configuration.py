"""The configuration in force on a node.

Sections are stored as text and parsed on first use, since a large fleet has
many organisations, of which a node serves few at a time.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TypeVar

from ..control.commands import Section
from ..control.document import (
    ModelSection,
    Operation,
    OrganisationSection,
    ParsedSection,
    PoolSection,
    ServiceSection,
    parse_section,
)
from ..errors import ForbiddenError, NotFoundError, UnauthenticatedError

PARSED_SECTION_CACHE_SIZE = 512
"""Maximum number of parsed sections in the cache."""

KEY_HASH_PREFIX_BYTES = 8
"""Bytes of an API key's hash that the index uses; the full hash is compared after
the lookup."""

ValueT = TypeVar("ValueT")


class Configuration:
    """The sections of the revision in force, with an index of API keys."""

    def __init__(self) -> None:
        self.revision = 0
        self.section_texts: dict[str, bytes] = {}
        """Unparsed section by name."""
        self.api_key_index: dict[int, str] = {}
        """Organisation by the first bytes of an API key's hash, as a number."""
        self.parsed_sections: OrderedDict[str, ParsedSection] = OrderedDict()
        """Parsed section by name, least recently used first."""

    def apply_revision(self, revision: int, sections: list[Section]) -> bool:
        """Put a newer revision in force; ignore the current or an older one.

        Args:
            revision: Number of the revision.
            sections: Sections changed since the revision in force. One with an
                empty text is deleted.

        Returns:
            Whether the revision in force changed.
        """
        if revision <= self.revision:
            return False
        for section in sections:
            self.parsed_sections.pop(section.name, None)
            self.remove_api_keys(section.name)
            if section.text:
                self.section_texts[section.name] = section.text.encode()
                self.add_api_keys(section.name)
            else:
                self.section_texts.pop(section.name, None)
        self.revision = revision
        return True

    def add_api_keys(self, name: str) -> None:
        """Add a section's API keys to the index, if it is an organisation."""
        kind, _, organisation = name.partition(".")
        if kind != "organisations":
            return
        for key_hash in parse_section(
            name, self.section_texts[name].decode()
        ).api_key_hashes:
            self.api_key_index[get_key_hash_prefix(key_hash)] = organisation

    def remove_api_keys(self, name: str) -> None:
        """Remove a section's API keys from the index, if it is an organisation."""
        kind, _, organisation = name.partition(".")
        if kind != "organisations" or name not in self.section_texts:
            return
        for key_hash in parse_section(
            name, self.section_texts[name].decode()
        ).api_key_hashes:
            if self.api_key_index.get(get_key_hash_prefix(key_hash)) == organisation:
                del self.api_key_index[get_key_hash_prefix(key_hash)]

    def get_section(self, name: str, value_type: type[ValueT]) -> ValueT:
        """Return a section, parsed.

        Raises:
            NotFoundError: If the section does not exist.
        """
        value = self.parsed_sections.get(name)
        if value is not None:
            self.parsed_sections.move_to_end(name)
        else:
            text = self.section_texts.get(name)
            if text is None:
                raise NotFoundError(f"section {name} does not exist")
            value = self.parsed_sections[name] = parse_section(name, text.decode())
            if len(self.parsed_sections) > PARSED_SECTION_CACHE_SIZE:
                self.parsed_sections.popitem(last=False)
        assert isinstance(value, value_type)
        return value

    def authenticate(self, api_key: str) -> tuple[str, OrganisationSection]:
        """Return the organisation that an API key belongs to.

        Raises:
            UnauthenticatedError: If the key belongs to no organisation.
        """
        key_hash = hashlib.sha256(api_key.encode()).hexdigest()
        name = self.api_key_index.get(get_key_hash_prefix(key_hash))
        if name is not None:
            section = self.get_section(f"organisations.{name}", OrganisationSection)
            if key_hash in section.api_key_hashes:
                return name, section
        raise UnauthenticatedError("the API key is missing or unknown")

    def get_model(self, organisation: OrganisationSection, name: str) -> ModelSection:
        """Return a model that an organisation may use.

        Raises:
            NotFoundError: If the model does not exist.
            ForbiddenError: If the organisation may not use it.
        """
        model = self.get_section(f"models.{name}", ModelSection)
        if name not in organisation.models:
            raise ForbiddenError(f"the organisation may not use model {name!r}")
        return model

    def get_service(
        self, organisation: OrganisationSection, name: str
    ) -> ServiceSection:
        """Return a service that an organisation may call.

        Raises:
            NotFoundError: If the service does not exist.
            ForbiddenError: If the organisation may not call it.
        """
        service = self.get_section(f"services.{name}", ServiceSection)
        if name not in organisation.services:
            raise ForbiddenError(f"the organisation may not call service {name!r}")
        return service

    def get_pool(self, name: str) -> PoolSection:
        """Return a pool's section.

        Raises:
            NotFoundError: If the pool does not exist.
        """
        return self.get_section(f"pools.{name}", PoolSection)


def get_key_hash_prefix(key_hash: str) -> int:
    """Return the first bytes of an API key's hexadecimal hash as a number."""
    return int(key_hash[: 2 * KEY_HASH_PREFIX_BYTES], 16)


def is_idempotent(service: ServiceSection, method: str, path: str) -> bool:
    """Whether a call of a service may be repeated.

    Calls that match no operation are idempotent if they are GET or HEAD.
    """
    operation = find_operation(service, method, path)
    if operation is not None:
        return operation.is_idempotent
    return method in ("GET", "HEAD")


def find_operation(service: ServiceSection, method: str, path: str) -> Operation | None:
    """Return the first operation whose method and path prefix match a call."""
    for operation in service.operations:
        if operation.method == method and path.startswith(operation.path):
            return operation
    return None
