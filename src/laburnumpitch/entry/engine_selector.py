"""Selects the engine for each attempt of one completion."""

from __future__ import annotations

import asyncio
import random
import time

from ..context.pieces import ContextNamespace, PromptPieces, split_prompt
from ..control.document import ModelSection, OrganisationSection
from ..errors import DeadlineExceededError, NoTargetError
from ..membership.messages import TargetInfo
from ..policy.selection_types import PieceLocations, Plan, RequestShape, SelectionInput
from .completion_api import CompletionRequest
from .services import EntryServices

NO_TARGET_RETRY_INTERVAL_S = 0.1
"""Interval between attempts to find a target that accepts requests."""


class EngineSelector:
    """Selects engines for one completion, and cuts its prompt into pieces.

    Args:
        services: Services that all requests of the node share.
        organisation: Name of the caller's organisation.
        organisation_section: The organisation's section of the configuration.
        model: The model's section that was in force when the request arrived.
        request: The caller's request.
    """

    def __init__(
        self,
        services: EntryServices,
        organisation: str,
        organisation_section: OrganisationSection,
        model: ModelSection,
        request: CompletionRequest,
    ) -> None:
        self.services = services
        self.organisation = organisation
        self.organisation_section = organisation_section
        self.model = model
        self.request = request
        self.failed_target_ids: set[str] = set()
        self.weight_version = model.weight_version
        """Weight version of the last selected engine; a stream keeps its version."""
        self.build = ""
        """Software version of the last selected engine; a stream keeps it, too."""
        self.pieces_by_version: dict[str, PromptPieces] = {}
        """The prompt's pieces by weight version, which is part of their names."""

    def refresh_model(self) -> None:
        """Update the model's section to the one that is in force now."""
        configuration = self.services.session.configuration
        model = configuration.get_model(self.organisation_section, self.request.model)
        if model != self.model:
            self.model = model
            self.pieces_by_version.clear()

    @property
    def pieces(self) -> PromptPieces:
        """Pieces of the prompt for the last attempt's weight version."""
        return self.get_pieces(self.weight_version)

    def get_pieces(self, weight_version: str) -> PromptPieces:
        """Return the pieces of the prompt for a weight version."""
        if weight_version not in self.pieces_by_version:
            namespace = ContextNamespace(
                self.organisation,
                self.request.model,
                weight_version,
                self.model.adapter,
            )
            self.pieces_by_version[weight_version] = split_prompt(
                self.request.prompt, namespace, self.model.piece_tokens
            )
        return self.pieces_by_version[weight_version]

    async def choose_target(
        self, deadline_s: float, is_retry: bool, has_streamed: bool
    ) -> tuple[Plan, TargetInfo]:
        """Choose a target, and wait until there is one.

        Args:
            deadline_s: Monotonic time until which to wait.
            is_retry: Whether an earlier attempt of the request failed.
            has_streamed: Whether the caller has received a part of the answer.

        Raises:
            NoTargetError: If no target accepts the request before the deadline.
            DeadlineExceededError: As above, if the attempt is a retry.
        """
        while True:
            plans = []
            for version, targets in self.group_targets_by_version(has_streamed).items():
                plan = await self.plan_for_version(version, targets)
                if plan is not None:
                    plans.append((plan.predicted_first_token_s, version, plan))
            if plans:
                _, self.weight_version, plan = min(plans, key=lambda item: item[0])
                target = self.services.session.view.targets.items.get(plan.target_id)
                # The target may have restarted since it was planned for.
                if target is not None and self.has_allowed_build(target, has_streamed):
                    self.build = target.build
                    return plan, target
            elif time.monotonic() >= deadline_s:
                if is_retry:
                    raise DeadlineExceededError("no target for another attempt")
                raise NoTargetError("no target accepts requests", retry_after_s=1)
            await asyncio.sleep(NO_TARGET_RETRY_INTERVAL_S if not plans else 0)

    def group_targets_by_version(
        self, has_streamed: bool
    ) -> dict[str, list[TargetInfo]]:
        """Return the eligible targets by weight version.

        During a rollout a pool serves two versions, of weights or of software. A new
        request may use either; once the caller has received a part of the answer, both
        versions are fixed.
        """
        loads = self.services.session.view.loads
        groups: dict[str, list[TargetInfo]] = {}
        for target in self.list_eligible_targets():
            load = loads.get(target.target_id)
            if load is None or not load.weight_version or load.is_loading:
                continue
            if has_streamed and load.weight_version != self.weight_version:
                continue
            if not self.has_allowed_build(target, has_streamed):
                continue
            groups.setdefault(load.weight_version, []).append(target)
        return groups

    def has_allowed_build(self, target: TargetInfo, has_streamed: bool) -> bool:
        """Whether a target may begin the answer, or go on with what was streamed."""
        return not has_streamed or target.build == self.build

    async def plan_for_version(
        self, version: str, targets: list[TargetInfo]
    ) -> Plan | None:
        """Return the best plan for one weight version, or None if there is none."""
        pieces = self.get_pieces(version)
        piece_locations = await self.services.directory.look_up(pieces.names)
        return self.services.policy.choose(
            self.make_selection_input(pieces, targets, piece_locations)
        )

    def make_selection_input(
        self,
        pieces: PromptPieces,
        targets: list[TargetInfo],
        piece_locations: tuple[PieceLocations, ...],
    ) -> SelectionInput:
        """Return a snapshot of all inputs of the selection."""
        tracker = self.services.tracker
        view = self.services.session.view
        data_centre = self.services.session.node.data_centre
        candidates = tuple(
            tracker.get_candidate(target, data_centre) for target in targets
        )
        stores = {
            block.ref.store_id for item in piece_locations for block in item.blocks
        }
        links = {
            store_id: tracker.get_link_state(view.targets.items[store_id])
            for store_id in stores
            if store_id in view.targets.items
        }
        shape = RequestShape(
            tuple(pieces.names),
            pieces.piece_tokens,
            pieces.tail_tokens,
            self.organisation_section.first_token_weight,
        )
        return SelectionInput(
            shape, candidates, piece_locations, links, random.random()
        )

    def list_eligible_targets(self) -> list[TargetInfo]:
        """Return the targets that may get this request.

        Targets on which an attempt failed, and targets reserved for the trial of a
        suspect, are included only if there are no others.
        """
        pool_targets = self.services.session.view.get_available_targets(self.model.pool)
        available = [
            item
            for item in pool_targets
            if self.services.tracker.accepts_requests(item)
        ]
        avoided = (
            self.failed_target_ids
            | self.services.quarantine_client.get_trial_target_ids()
        )
        return [
            item for item in available if item.target_id not in avoided
        ] or available
