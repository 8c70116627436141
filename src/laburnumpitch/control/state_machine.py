"""The replicated state of control and the effect of each command on it.

`StateMachine.apply` is deterministic: the same sequence of commands gives the same
state on every replica. It reads no clock; each command brings its time.
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
"""Operator whose key is a setting of the control VMs and who may change everything."""

MAX_HISTORY_ITEMS = 20_000
"""Number of accepted changes and, separately, of results of changes that are kept."""

MAX_TARGET_DEATHS = 2
"""Number of target deaths after which a request is quarantined, that is refused
on all nodes."""

LIMITS_SECTION = "system.limits"
"""Name of the section with the limits of the whole system."""


@dataclass
class ClaimRecord:
    """The claim of one non-idempotent request."""

    digest: str
    """Digest of the request, to detect another request under the same key."""
    claimant: str
    node_id: str
    incarnation: int
    status: str
    """`CLAIM_HELD`, `CLAIM_SETTLED` or `CLAIM_UNKNOWN`."""
    time_s: float
    answer: KeptAnswer | None = None


@dataclass
class SuspectRecord:
    """A request that was in flight when a target died, and its current trial run."""

    dead_targets: list[str]
    """Target and incarnation of each death; only the target if a trial's outcome was
    lost with its node."""
    time_s: float
    trial_attempt: str = ""
    """Attempt of the trial run in progress; empty if there is none."""
    trial_target: str = ""
    trial_node: str = ""
    trial_incarnation: int = 0


@dataclass
class State:
    """The replicated state, as a snapshot holds it."""

    revision: int = 0
    sections: dict[str, Section] = field(default_factory=dict)
    history: list[HistoryItem] = field(default_factory=list)
    results: dict[str, ChangeResult] = field(default_factory=dict)
    """Result of each change by change id, oldest first."""
    nodes: dict[str, int] = field(default_factory=dict)
    """Incarnation by node id."""
    claims: dict[str, ClaimRecord] = field(default_factory=dict)
    """Claims by claim id, oldest first."""
    suspects: dict[str, SuspectRecord] = field(default_factory=dict)
    """Suspects by fingerprint, oldest first."""
    suspect_version: int = 0
    """Number of changes to the suspects, by which nodes detect a newer state."""
    paused_pools: list[str] = field(default_factory=list)
    drained_targets: list[str] = field(default_factory=list)


def get_claim_id(organisation: str, key: str) -> str:
    """Return a claim's id; an organisation's name cannot contain the separator."""
    return f"{organisation}\x00{key}"


class StateMachine:
    """Applies committed commands to the replicated state.

    Args:
        data: A snapshot from `dump`; empty for the initial state.
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
        """Apply one committed command and return its result."""
        return getattr(self, COMMAND_HANDLERS[type(command)])(command)

    @property
    def system_limits(self) -> SystemSection:
        """The limits of the whole system; the defaults if the document sets none."""
        return self.parsed_sections.get(LIMITS_SECTION) or SystemSection(owner="")

    def on_apply_change(self, command: ApplyChange) -> ChangeResult:
        """Apply a change and return its result; a resend gets the first result."""
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
        """Check a change and apply it to all its sections, or to none.

        Raises:
            VersionConflictError: If a section has changed since it was read.
            ForbiddenError: If the operator may not change a section.
            InvalidDocumentError: If the document would become invalid.
        """
        if not command.sections:
            raise InvalidDocumentError("the change contains no section")
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
        """Refuse a change that is not based on the current version of its section."""
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
        """Refuse a change to a section that another team owns before or after it."""
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

        They are looked up in the history if it reaches back that far, so that a
        change does not cost a scan of all sections for each node.
        """
        if revision >= self.state.revision:
            return []
        history = self.state.history
        if not history or revision < history[0].revision - 1:
            sections = self.state.sections.values()
            return [section for section in sections if section.revision > revision]
        changed: dict[str, None] = {}
        for accepted in reversed(history):
            if accepted.revision <= revision:
                break
            changed.update(dict.fromkeys(change.name for change in accepted.sections))
        return [self.state.sections[name] for name in changed]

    def on_join_node(self, command: JoinNode) -> int:
        """Register an incarnation, which ends an earlier one; return the newest."""
        registered = self.state.nodes.get(command.node_id)
        if registered is not None and registered < command.incarnation:
            self.end_incarnation(command.node_id, registered)
        if registered is None or registered < command.incarnation:
            self.state.nodes[command.node_id] = command.incarnation
        return self.state.nodes[command.node_id]

    def on_expire_node(self, command: ExpireNode) -> int:
        """Remove a node unless a newer incarnation of it has registered."""
        if self.state.nodes.get(command.node_id) == command.incarnation:
            del self.state.nodes[command.node_id]
            self.end_incarnation(command.node_id, command.incarnation)
        return 0

    def end_incarnation(self, node_id: str, incarnation: int) -> None:
        """Set the held claims of an ended process to unknown, and end its trials."""
        for record in self.state.claims.values():
            is_ended = (record.node_id, record.incarnation) == (node_id, incarnation)
            if is_ended and record.status == CLAIM_HELD:
                record.status = CLAIM_UNKNOWN
        for suspect in self.state.suspects.values():
            trial_owner = (suspect.trial_node, suspect.trial_incarnation)
            if suspect.trial_attempt and trial_owner == (node_id, incarnation):
                # The outcome of the trial is lost, so it counts as a target death.
                self.record_death(suspect, suspect.trial_attempt, suspect.trial_target)

    def on_claim(self, command: Claim) -> ClaimResult:
        """Grant a claim to the first claimant; give later ones its status."""
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
        """Record the outcome of a claimed request; return whether it was accepted."""
        record = self.get_open_claim(command)
        if record is None:
            return False
        record.status = CLAIM_SETTLED if command.is_known else CLAIM_UNKNOWN
        record.answer = command.answer
        return True

    def on_release_claim(self, command: ReleaseClaim) -> bool:
        """Remove a claim whose request was not sent; return whether it was removed."""
        if self.get_open_claim(command) is None:
            return False
        del self.state.claims[get_claim_id(command.organisation, command.key)]
        return True

    def get_open_claim(self, command: SettleClaim | ReleaseClaim) -> ClaimRecord | None:
        """Return the claim if it is held by this claimant and not settled.

        A claim that became unknown when its node's lease expired may still be
        settled by the same claimant, if that process is alive after all.
        """
        claim_id = get_claim_id(command.organisation, command.key)
        record = self.state.claims.get(claim_id)
        if record is None or record.claimant != command.claimant:
            return None
        return record if record.status != CLAIM_SETTLED else None

    def remove_expired_claims(self, time_s: float) -> None:
        """Remove claims that are past their retention time."""
        cutoff_s = time_s - self.system_limits.claim_retention_s
        while self.state.claims:
            claim_id = next(iter(self.state.claims))
            if self.state.claims[claim_id].time_s >= cutoff_s:
                return
            del self.state.claims[claim_id]

    def on_record_death(self, command: RecordDeath) -> SuspectResult:
        """Record a target death for the request that was in flight on the target."""
        self.remove_expired_suspects(command.time_s)
        suspect = self.state.suspects.setdefault(
            command.fingerprint, SuspectRecord([], command.time_s)
        )
        self.record_death(suspect, command.attempt, command.target)
        return self.make_suspect_result(command.fingerprint, may_run=False)

    def record_death(self, suspect: SuspectRecord, attempt: str, target: str) -> None:
        """Add a death, once for each target, and end the attempt's trial."""
        if target not in suspect.dead_targets:
            suspect.dead_targets.append(target)
        if suspect.trial_attempt == attempt:
            suspect.trial_attempt = ""
            suspect.trial_target = ""
        self.state.suspect_version += 1

    def on_begin_trial(self, command: BeginTrial) -> SuspectResult:
        """Reserve a target for a suspect's trial run, if the suspect may run."""
        suspect = self.state.suspects.get(command.fingerprint)
        if suspect is None:
            return SuspectResult(command.fingerprint, 0, True)
        if suspect.trial_attempt == command.attempt:
            return self.make_suspect_result(command.fingerprint, may_run=True)
        trial_targets = [other.trial_target for other in self.state.suspects.values()]
        can_start = not suspect.trial_attempt and command.target_id not in trial_targets
        may_run = can_start and len(suspect.dead_targets) < MAX_TARGET_DEATHS
        if may_run:
            suspect.trial_attempt = command.attempt
            suspect.trial_target = command.target_id
            suspect.trial_node = command.node_id
            suspect.trial_incarnation = command.incarnation
            self.state.suspect_version += 1
        return self.make_suspect_result(command.fingerprint, may_run)

    def on_end_trial(self, command: EndTrial) -> bool:
        """End a trial; clear the suspect if the run completed."""
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
        """Remove a suspect; return whether it was known."""
        self.state.suspect_version += 1
        return self.state.suspects.pop(command.fingerprint, None) is not None

    def make_suspect_result(self, fingerprint: str, may_run: bool) -> SuspectResult:
        """Return a suspect's number of deaths and whether it may run now."""
        suspect = self.state.suspects[fingerprint]
        return SuspectResult(fingerprint, len(suspect.dead_targets), may_run)

    def remove_expired_suspects(self, time_s: float) -> None:
        """Remove suspects that are past their retention time."""
        cutoff_s = time_s - self.system_limits.quarantine_retention_s
        while self.state.suspects:
            fingerprint = next(iter(self.state.suspects))
            if self.state.suspects[fingerprint].time_s >= cutoff_s:
                return
            del self.state.suspects[fingerprint]
            self.state.suspect_version += 1

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
"""Name of the `StateMachine` method for each type of command."""
