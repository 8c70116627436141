"""Chooses an engine for one completion, and cuts its prompt into pieces."""

from __future__ import annotations

import asyncio
import random
import time

from ..context.pieces import ContextOwner, PromptPieces, cut_prompt
from ..control.document import ModelSection, OrganisationSection
from ..errors import DeadlineExceededError, NoTargetError
from ..membership.messages import TargetInfo
from ..policy.selection_types import PieceLocations, Plan, RequestShape, SelectionInput
from .completion_api import CompletionRequest
from .services import EntryServices

NO_TARGET_PAUSE_S = 0.1
"""Pause before looking again for a target that takes work."""


class EngineChoice:
    """The choice of engines for one completion.

    Args:
        services: What the node's requests share.
        organisation: Name of the caller's organisation.
        section: The organisation's section.
        model: The model's section, as in force when the request came.
        request: The caller's request.
    """

    def __init__(
        self,
        services: EntryServices,
        organisation: str,
        section: OrganisationSection,
        model: ModelSection,
        request: CompletionRequest,
    ) -> None:
        self.services = services
        self.organisation = organisation
        self.section = section
        self.model = model
        self.request = request
        self.failed_targets: set[str] = set()
        self.weight_version = model.weight_version
        """Version of the latest choice; a stream that has begun keeps it."""
        self.cut: dict[str, PromptPieces] = {}
        """Pieces of the prompt by weight version."""

    def refresh_model(self) -> None:
        """Take the model's section as it is in force now."""
        configuration = self.services.session.configuration
        model = configuration.get_model(self.section, self.request.model)
        if model != self.model:
            self.model = model
            self.cut.clear()

    @property
    def pieces(self) -> PromptPieces:
        """Pieces of the prompt under the latest attempt's weight version."""
        return self.get_pieces(self.weight_version)

    def get_pieces(self, weight_version: str) -> PromptPieces:
        """Return the pieces of the prompt under a weight version."""
        if weight_version not in self.cut:
            owner = ContextOwner(
                self.organisation,
                self.request.model,
                weight_version,
                self.model.adapter,
            )
            self.cut[weight_version] = cut_prompt(
                self.request.prompt, owner, self.model.piece_tokens
            )
        return self.cut[weight_version]

    async def choose(
        self, deadline_s: float, has_tried: bool, is_begun: bool
    ) -> tuple[Plan, TargetInfo]:
        """Choose a target, waiting for one if need be.

        Args:
            deadline_s: Monotonic time until which to wait.
            has_tried: Whether another target had the request before.
            is_begun: Whether the caller has a part of the answer.

        Raises:
            NoTargetError: If none takes work before the deadline.
            DeadlineExceededError: The same, after another target had it.
        """
        while True:
            plans = []
            for version, targets in self.group_targets(is_begun).items():
                plan = await self.plan_version(version, targets)
                if plan is not None:
                    plans.append((plan.predicted_first_token_s, version, plan))
            if plans:
                _, self.weight_version, plan = min(plans, key=lambda item: item[0])
                targets = self.services.session.view.targets.items
                if plan.target_id in targets:
                    return plan, targets[plan.target_id]
            elif time.monotonic() >= deadline_s:
                if has_tried:
                    raise DeadlineExceededError("no target for another attempt")
                raise NoTargetError("no target takes work", retry_after_s=1)
            await asyncio.sleep(NO_TARGET_PAUSE_S if not plans else 0)

    def group_targets(self, is_begun: bool) -> dict[str, list[TargetInfo]]:
        """Return the targets that may get this request by their weight version.

        While a rollout goes on, a pool serves two versions, and a new request
        runs wholly under one of them. A stream that has begun keeps its own.
        """
        loads = self.services.session.view.loads
        groups: dict[str, list[TargetInfo]] = {}
        for target in self.list_targets():
            load = loads.get(target.target_id)
            if load is None or not load.weight_version or load.is_loading:
                continue
            if is_begun and load.weight_version != self.weight_version:
                continue
            groups.setdefault(load.weight_version, []).append(target)
        return groups

    async def plan_version(
        self, version: str, targets: list[TargetInfo]
    ) -> Plan | None:
        """Choose among the targets that serve one weight version."""
        pieces = self.get_pieces(version)
        offers = await self.services.shards.look_up(pieces.names)
        return self.services.policy.choose(
            self.make_choice_input(pieces, targets, offers)
        )

    def make_choice_input(
        self,
        pieces: PromptPieces,
        targets: list[TargetInfo],
        offers: tuple[PieceLocations, ...],
    ) -> SelectionInput:
        """Freeze what the choice depends on."""
        tracker = self.services.tracker
        view = self.services.session.view
        data_centre = self.services.session.node.data_centre
        candidates = tuple(
            tracker.get_candidate(target, data_centre) for target in targets
        )
        stores = {block.ref.store_id for item in offers for block in item.blocks}
        links = {
            store_id: tracker.get_link_state(view.targets.items[store_id])
            for store_id in stores
            if store_id in view.targets.items
        }
        shape = RequestShape(
            tuple(pieces.names),
            pieces.piece_tokens,
            pieces.tail_tokens,
            self.section.first_token_weight,
        )
        return SelectionInput(shape, candidates, offers, links, random.random())

    def list_targets(self) -> list[TargetInfo]:
        """Return the targets that may get this request.

        Targets that failed it, and targets on which a suspect runs, come only
        if there is no other.
        """
        pool = self.services.session.view.get_available_targets(self.model.pool)
        usable = [item for item in pool if self.services.tracker.is_open(item)]
        avoided = self.failed_targets | self.services.suspects.get_trial_targets()
        return [item for item in usable if item.target_id not in avoided] or usable
