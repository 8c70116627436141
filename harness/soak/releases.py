"""Releases builds of a soak's engine service, one target after another."""

from __future__ import annotations

from dataclasses import dataclass

from standins.platform_target import PlatformTarget

from .operator import ENGINE_SERVICE

TARGET_DRAIN_S = 2.0
"""Time for which a leaving target still serves requests."""

SPARE_COUNT = 1
"""Number of engines that are not in service between two releases."""


@dataclass
class BuildReleases:
    """The targets in service, and those that wait for the next release."""

    targets: list[PlatformTarget]
    """Targets of all services that are in service."""
    spares: list[PlatformTarget]
    """Engines that are not in service."""
    newest: int = 1
    """Number of the newest build."""

    @property
    def newest_build(self) -> str:
        """Name of the newest build."""
        return f"v{self.newest}"

    def list_engines(self) -> list[PlatformTarget]:
        """Return the engines in service."""
        return [target for target in self.targets if target.service == ENGINE_SERVICE]

    def list_old_engines(self) -> list[PlatformTarget]:
        """Return the engines in service that do not have the newest build."""
        return [t for t in self.list_engines() if t.build != self.newest_build]

    async def begin_release(self) -> PlatformTarget:
        """Start a target of the newest build; of a new one if all have the newest."""
        if not self.list_old_engines():
            self.newest += 1
        return await self.start_target()

    async def start_target(self) -> PlatformTarget:
        """Start a spare target of the newest build, with the newest weights."""
        target = self.spares.pop()
        target.build = self.newest_build
        target.version = max(engine.version for engine in self.list_engines())
        await target.start()
        self.targets.append(target)
        return target

    async def retire_target(self, target: PlatformTarget) -> None:
        """Let a target leave gracefully; it is a spare afterwards."""
        await target.leave(TARGET_DRAIN_S)
        self.targets.remove(target)
        self.spares.append(target)
