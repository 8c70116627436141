"""The replicated state and the effect of each command on it.

`apply` is deterministic: the same commands in the same order give the same
state on every replica. It reads no clock; time comes with each command.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..errors import (
    ForbiddenError,
    InvalidDocumentError,
    LaburnumpitchError,
    VersionConflictError,
)
from .commands import (
    CLAIM_GRANTED,
    CLAIM_HELD,
    CLAIM_MISMATCH,
    CLAIM_SETTLED,
    CLAIM_UNKNOWN,
    ApplyChange,
    BeginTrial,
    ChangeResult,
    Claim,
    ClaimResult,
    ClearQuarantine,
    Command,
    DrainTarget,
    EndTrial,
    ExpireNode,
    HistoryItem,
    JoinNode,
    KeptAnswer,
    RecordDeath,
    ReleaseClaim,
    Section,
    SectionChange,
    SetRollout,
    SettleClaim,
    SuspectResult,
)
from .document import (
    OperatorSection,
    ParsedSection,
    SystemSection,
    check_references,
    check_unique_api_keys,
    parse_section,
)

ROOT_OPERATOR = "root"
"""Operator whose key is a setting of the control VMs; may change everything."""

MAX_HISTORY_ITEMS = 20_000
"""Accepted changes, and first answers, that are kept."""

MAX_TARGET_DEATHS = 2
"""Targets that may die of one request before it is refused everywhere."""

SYSTEM_LIMITS_SECTION = "system.limits"


@dataclass
class ClaimRecord:
    """The claim of one non-idempotent request."""

    digest: str
    claimant: str
    node_id: str
    incarnation: int
    status: str
    time_s: float
    answer: KeptAnswer | None = None


@dataclass
class SuspectRecord:
    """A request that was in flight when a target died."""

    dead_targets: list[str]
    """Target and incarnation of each death."""
    time_s: float
    trial_attempt: str = ""
    trial_target: str = ""
    trial_node: str = ""
    trial_incarnation: int = 0


@dataclass
class State:
    """Everything that a snapshot holds."""

    revision: int = 0
    sections: dict[str, Section] = field(default_factory=dict)
    history: list[HistoryItem] = field(default_factory=list)
    results: dict[str, ChangeResult] = field(default_factory=dict)
    """First answer by change id, oldest first."""
    nodes: dict[str, int] = field(default_factory=dict)
    """Incarnation by node id."""
    claims: dict[str, ClaimRecord] = field(default_factory=dict)
    """By organisation and key, oldest first."""
    suspects: dict[str, SuspectRecord] = field(default_factory=dict)
    """By fingerprint, oldest first."""
    suspect_version: int = 0
    """Number of changes to the suspects."""
    paused_pools: list[str] = field(default_factory=list)
    drained_targets: list[str] = field(default_factory=list)


def get_claim_id(organisation: str, key: str) -> str:
    """Return the name of a claim; the organisation cannot hold the separator."""
    return f"{organisation}\x00{key}"


class StateMachine:
    """Applies committed commands.

    Args:
        data: A snapshot from `dump`, or empty.
    """

    def __init__(self, data: bytes = b"") -> None:
        self.state = msgspec.msgpack.decode(data, type=State) if data else State()
        self.parsed_sections: dict[str, ParsedSection] = {}
        for name, section in self.state.sections.items():
            if section.text:
                self.parsed_sections[name] = parse_section(name, section.text)

    def dump(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(self.state)

    def apply(self, command: Command) -> Any:
        """Take one committed command and return its result."""
        return getattr(self, COMMAND_HANDLERS[type(command)])(command)

    @property
    def system_limits(self) -> SystemSection:
        """The bounds of the whole system in force."""
        return self.parsed_sections.get(SYSTEM_LIMITS_SECTION) or SystemSection(
            owner=""
        )

    # Document.

    def on_apply_change(self, command: ApplyChange) -> ChangeResult:
        """Change sections if the versions read are still current."""
        first_result = self.state.results.get(command.change_id)
        if first_result is not None:
            return first_result
        try:
            self.apply_sections(command)
            result = ChangeResult(command.change_id, self.state.revision)
        except LaburnumpitchError as error:
            result = ChangeResult(
                command.change_id, self.state.revision, error.code, error.detail
            )
        self.state.results[command.change_id] = result
        while len(self.state.results) > MAX_HISTORY_ITEMS:
            del self.state.results[next(iter(self.state.results))]
        return result

    def apply_sections(self, command: ApplyChange) -> None:
        """Check and make a change.

        Raises:
            VersionConflictError: If a section changed since it was read.
            ForbiddenError: If the operator does not own a section.
            InvalidDocumentError: If the document would break a rule.
        """
        if not command.sections:
            raise InvalidDocumentError("the change names no section")
        for change in command.sections:
            self.check_base_version(change)
        parsed_sections = dict(self.parsed_sections)
        for change in command.sections:
            if change.text:
                parsed_sections[change.name] = parse_section(change.name, change.text)
            else:
                parsed_sections.pop(change.name, None)
            self.check_ownership(command.operator, change.name, parsed_sections)
        changed_names = {change.name for change in command.sections}
        check_references(parsed_sections, changed_names)
        check_unique_api_keys(parsed_sections, changed_names)
        self.parsed_sections = parsed_sections
        self.state.revision += 1
        for change in command.sections:
            self.state.sections[change.name] = Section(
                change.name, change.base_version + 1, self.state.revision, change.text
            )
        self.state.history.append(
            HistoryItem(
                self.state.revision,
                command.change_id,
                command.operator,
                command.time_s,
                command.sections,
            )
        )
        del self.state.history[:-MAX_HISTORY_ITEMS]

    def check_base_version(self, change: SectionChange) -> None:
        """Refuse a change against a version that is not current."""
        current = self.state.sections.get(change.name)
        current_version = current.version if current else 0
        if change.base_version != current_version:
            text = current.text if current else ""
            raise VersionConflictError(
                f"{change.name}: version {current_version} is current, "
                f"{change.base_version} was read\n{text}"
            )

    def check_ownership(
        self, operator: str, name: str, parsed_sections: dict[str, ParsedSection]
    ) -> None:
        """Refuse a change to a section that another team owns or gets."""
        if operator == ROOT_OPERATOR:
            return
        operator_section = self.parsed_sections.get(f"operators.{operator}")
        teams = (
            operator_section.teams
            if isinstance(operator_section, OperatorSection)
            else []
        )
        for section in (self.parsed_sections.get(name), parsed_sections.get(name)):
            if section is not None and section.owner not in teams:
                raise ForbiddenError(f"{name}: owned by {section.owner}")

    def get_sections_since(self, revision: int) -> list[Section]:
        """Return the sections that changed after a revision.

        The history names them for a reader that is not too far behind, so that
        one change does not cost a scan of the document for each node.
        """
        if revision >= self.state.revision:
            return []
        history = self.state.history
        if not history or revision < history[0].revision - 1:
            sections = self.state.sections.values()
            return [section for section in sections if section.revision > revision]
        changed_names: dict[str, None] = {}
        for accepted in reversed(history):
            if accepted.revision <= revision:
                break
            changed_names.update(
                dict.fromkeys(change.name for change in accepted.sections)
            )
        return [self.state.sections[name] for name in changed_names]

    # Nodes.

    def on_join_node(self, command: JoinNode) -> int:
        """Register a node; an earlier incarnation of it has ended."""
        registered = self.state.nodes.get(command.node_id)
        if registered is not None and registered < command.incarnation:
            self.end_incarnation(command.node_id, registered)
        if registered is None or registered < command.incarnation:
            self.state.nodes[command.node_id] = command.incarnation
        return self.state.nodes[command.node_id]

    def on_expire_node(self, command: ExpireNode) -> int:
        """Remove a node, if it has not returned as a new incarnation."""
        if self.state.nodes.get(command.node_id) == command.incarnation:
            del self.state.nodes[command.node_id]
            self.end_incarnation(command.node_id, command.incarnation)
        return 0

    def end_incarnation(self, node_id: str, incarnation: int) -> None:
        """Mark what a dead process left open."""
        for record in self.state.claims.values():
            is_of_ended_process = (record.node_id, record.incarnation) == (
                node_id,
                incarnation,
            )
            if is_of_ended_process and record.status == CLAIM_HELD:
                record.status = CLAIM_UNKNOWN
        for suspect in self.state.suspects.values():
            trial_owner = (suspect.trial_node, suspect.trial_incarnation)
            if suspect.trial_attempt and trial_owner == (node_id, incarnation):
                # Nobody can tell how the trial ended, so it counts as a death.
                self.record_death(suspect, suspect.trial_attempt, suspect.trial_target)

    # Claims.

    def on_claim(self, command: Claim) -> ClaimResult:
        """Grant a claim once; tell later claimants how it stands."""
        self.remove_expired_claims(command.time_s)
        claim_id = get_claim_id(command.organisation, command.key)
        record = self.state.claims.get(claim_id)
        if record is None:
            self.state.claims[claim_id] = ClaimRecord(
                command.digest,
                command.claimant,
                command.node_id,
                command.incarnation,
                CLAIM_HELD,
                command.time_s,
            )
            return ClaimResult(CLAIM_GRANTED)
        if record.digest != command.digest:
            return ClaimResult(CLAIM_MISMATCH)
        if record.status == CLAIM_HELD and record.claimant == command.claimant:
            return ClaimResult(CLAIM_GRANTED)
        is_answer_kept = record.answer is not None
        return ClaimResult(record.status, record.answer, is_answer_kept)

    def on_settle_claim(self, command: SettleClaim) -> bool:
        """Record how a claimed request ended."""
        record = self.find_unsettled_claim(command)
        if record is None:
            return False
        record.status = CLAIM_SETTLED if command.is_known else CLAIM_UNKNOWN
        record.answer = command.answer
        return True

    def on_release_claim(self, command: ReleaseClaim) -> bool:
        """Forget a claim whose request certainly was not sent."""
        if self.find_unsettled_claim(command) is None:
            return False
        del self.state.claims[get_claim_id(command.organisation, command.key)]
        return True

    def find_unsettled_claim(
        self, command: SettleClaim | ReleaseClaim
    ) -> ClaimRecord | None:
        """Return the claim if this claimant still holds it.

        A claim that became unknown because its node's lease ran out may still
        be settled by the same claimant, which turned out to be alive.
        """
        claim_id = get_claim_id(command.organisation, command.key)
        record = self.state.claims.get(claim_id)
        if record is None or record.claimant != command.claimant:
            return None
        return record if record.status != CLAIM_SETTLED else None

    def remove_expired_claims(self, time_s: float) -> None:
        """Forget claims past their retention."""
        cutoff_s = time_s - self.system_limits.claim_retention_s
        while self.state.claims:
            claim_id = next(iter(self.state.claims))
            if self.state.claims[claim_id].time_s >= cutoff_s:
                return
            del self.state.claims[claim_id]

    # Requests that crash targets.

    def on_record_death(self, command: RecordDeath) -> SuspectResult:
        """Count a target's death once, however many copies it ran."""
        self.remove_expired_suspects(command.time_s)
        suspect = self.state.suspects.setdefault(
            command.fingerprint, SuspectRecord([], command.time_s)
        )
        self.record_death(suspect, command.attempt, command.target)
        return self.make_suspect_result(command.fingerprint, may_run=False)

    def record_death(self, suspect: SuspectRecord, attempt: str, target: str) -> None:
        """Note a target that died and end the attempt's trial."""
        if target not in suspect.dead_targets:
            suspect.dead_targets.append(target)
        if suspect.trial_attempt == attempt:
            suspect.trial_attempt = ""
            suspect.trial_target = ""
        self.state.suspect_version += 1

    def on_begin_trial(self, command: BeginTrial) -> SuspectResult:
        """Reserve a target for a suspect that may run once more."""
        suspect = self.state.suspects.get(command.fingerprint)
        if suspect is None:
            return SuspectResult(command.fingerprint, 0, True)
        if suspect.trial_attempt == command.attempt:
            return self.make_suspect_result(command.fingerprint, may_run=True)
        trial_targets = [other.trial_target for other in self.state.suspects.values()]
        can_start_trial = (
            not suspect.trial_attempt and command.target_id not in trial_targets
        )
        may_run = can_start_trial and len(suspect.dead_targets) < MAX_TARGET_DEATHS
        if may_run:
            suspect.trial_attempt = command.attempt
            suspect.trial_target = command.target_id
            suspect.trial_node = command.node_id
            suspect.trial_incarnation = command.incarnation
            self.state.suspect_version += 1
        return self.make_suspect_result(command.fingerprint, may_run)

    def on_end_trial(self, command: EndTrial) -> bool:
        """Clear a suspect that finished, or free its target."""
        suspect = self.state.suspects.get(command.fingerprint)
        if suspect is None or suspect.trial_attempt != command.attempt:
            return False
        self.state.suspect_version += 1
        if command.is_cleared:
            del self.state.suspects[command.fingerprint]
        else:
            suspect.trial_attempt = ""
            suspect.trial_target = ""
        return True

    def on_clear_quarantine(self, command: ClearQuarantine) -> bool:
        """Forget a fingerprint by an operator's order."""
        self.state.suspect_version += 1
        return self.state.suspects.pop(command.fingerprint, None) is not None

    def make_suspect_result(self, fingerprint: str, may_run: bool) -> SuspectResult:
        """Return what is known of a fingerprint."""
        suspect = self.state.suspects[fingerprint]
        return SuspectResult(fingerprint, len(suspect.dead_targets), may_run)

    def remove_expired_suspects(self, time_s: float) -> None:
        """Forget suspects past their retention."""
        cutoff_s = time_s - self.system_limits.quarantine_retention_s
        while self.state.suspects:
            fingerprint = next(iter(self.state.suspects))
            if self.state.suspects[fingerprint].time_s >= cutoff_s:
                return
            del self.state.suspects[fingerprint]
            self.state.suspect_version += 1

    # Operators' orders.

    def on_set_rollout(self, command: SetRollout) -> bool:
        """Pause or resume a pool's rollout."""
        paused = set(self.state.paused_pools) - {command.pool}
        if command.is_paused:
            paused.add(command.pool)
        self.state.paused_pools = sorted(paused)
        return True

    def on_drain_target(self, command: DrainTarget) -> bool:
        """Take a target out of service, or back in."""
        drained = set(self.state.drained_targets) - {command.target_id}
        if command.is_draining:
            drained.add(command.target_id)
        self.state.drained_targets = sorted(drained)
        return True


COMMAND_HANDLERS: dict[type, str] = {
    ApplyChange: "on_apply_change",
    JoinNode: "on_join_node",
    ExpireNode: "on_expire_node",
    Claim: "on_claim",
    SettleClaim: "on_settle_claim",
    ReleaseClaim: "on_release_claim",
    RecordDeath: "on_record_death",
    BeginTrial: "on_begin_trial",
    EndTrial: "on_end_trial",
    ClearQuarantine: "on_clear_quarantine",
    SetRollout: "on_set_rollout",
    DrainTarget: "on_drain_target",
}
"""Method of `StateMachine` for each command."""
