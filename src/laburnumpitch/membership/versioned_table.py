"""Tables with a digest and with versions, from which deltas are made."""

from __future__ import annotations

import zlib
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")


def get_item_digest(key: str, item: object) -> int:
    """Return an item's contribution to the digest of a table."""
    return zlib.crc32(f"{key}={item}".encode())


class DigestedTable(Generic[ItemT]):
    """Items by key, with a digest that does not depend on their order."""

    def __init__(self) -> None:
        self.items: dict[str, ItemT] = {}
        self.digest = 0

    def set(self, key: str, item: ItemT) -> None:
        """Add or replace an item."""
        self.remove(key)
        self.items[key] = item
        self.digest ^= get_item_digest(key, item)

    def remove(self, key: str) -> bool:
        """Remove an item and return whether it was present."""
        if key not in self.items:
            return False
        self.digest ^= get_item_digest(key, self.items.pop(key))
        return True

    def clear(self) -> None:
        """Remove every item."""
        self.items.clear()
        self.digest = 0


class VersionedTable(DigestedTable[ItemT]):
    """Items by key, each with the version in which it last changed.

    Args:
        max_removals: Maximum number of removals that are remembered for deltas; a
            reader that is further behind needs the full table.
    """

    def __init__(self, max_removals: int = 1000) -> None:
        super().__init__()
        self.item_versions: dict[str, int] = {}
        """Version of each item's last change by key, oldest first."""
        self.removal_versions: dict[str, int] = {}
        """Version of each remembered removal by key, oldest first."""
        self.max_removals = max_removals
        self.oldest_delta_version = 0
        """Oldest version from which a delta can be made, since earlier removals may be
        forgotten."""

    def set_at_version(self, key: str, item: ItemT, version: int) -> None:
        """Add or replace an item and record the version of the change."""
        self.set(key, item)
        self.item_versions.pop(key, None)
        self.item_versions[key] = version
        self.removal_versions.pop(key, None)

    def remove_at_version(self, key: str, version: int) -> None:
        """Remove an item, if it is present, and record the version of the removal."""
        if not self.remove(key):
            return
        del self.item_versions[key]
        self.removal_versions[key] = version
        while len(self.removal_versions) > self.max_removals:
            oldest = next(iter(self.removal_versions))
            self.oldest_delta_version = self.removal_versions.pop(oldest)

    def get_changed_since(self, version: int) -> list[ItemT]:
        """Return the items that changed after a version, oldest change first."""
        changed_items = []
        for key in reversed(self.item_versions):
            if self.item_versions[key] <= version:
                break
            changed_items.append(self.items[key])
        changed_items.reverse()
        return changed_items

    def get_removed_since(self, version: int) -> list[str]:
        """Return the keys that were removed after a version."""
        return [
            key
            for key, removal_version in self.removal_versions.items()
            if removal_version > version
        ]
