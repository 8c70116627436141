"""The control leader's service for operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import msgspec

from ..errors import MalformedRequestError, NotFoundError, UnauthenticatedError
from ..membership.messages import OperatorAnswer, OperatorCall
from ..transport.rpc import RpcServer
from .commands import (
    ApplyChange,
    ClearQuarantine,
    DrainTarget,
    SectionChange,
    SetRollout,
)
from .leader import LeaderService
from .replica import Replica
from .state_machine import ROOT_OPERATOR


class OperatorService:
    """Authenticates operators and executes their requests.

    Args:
        replica: The control replica of this process.
        leader: The leader service, for its view and the node leases.
        root_key_hash: SHA-256 of the root operator's key, in hexadecimal; if empty,
            the root operator is refused.
    """

    def __init__(
        self, replica: Replica, leader: LeaderService, root_key_hash: str
    ) -> None:
        self.replica = replica
        self.leader = leader
        self.root_key_hash = root_key_hash

    def register(self, server: RpcServer) -> None:
        """Register the handler for messages of operators."""
        server.on(OperatorCall, self.on_operator_call)

    async def on_operator_call(self, call: OperatorCall) -> OperatorAnswer:
        """Authenticate an operator and execute the request.

        Raises:
            NotLeaderError: If this replica does not lead.
            UnauthenticatedError: If the operator or the key is wrong.
            NotFoundError: If there is no such action.
            MalformedRequestError: If the body does not fit the action.
        """
        self.leader.get_term_state()
        self.authenticate(call.operator, call.key)
        handler = getattr(self, OPERATOR_ACTIONS.get(call.action, ""), None)
        if handler is None:
            raise NotFoundError(f"unknown operator action {call.action!r}")
        try:
            body = msgspec.json.decode(call.body) if call.body else {}
            result = await handler(call.operator, body)
        except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
            raise MalformedRequestError(f"{call.action}: {error!r}") from error
        return OperatorAnswer(msgspec.json.encode(result))

    def authenticate(self, operator: str, key: str) -> None:
        """Check an operator's key.

        Raises:
            UnauthenticatedError: If the operator is unknown or the key is wrong.
        """
        expected_hash = self.root_key_hash
        if operator != ROOT_OPERATOR:
            section = self.replica.state_machine.parsed_sections.get(
                f"operators.{operator}"
            )
            expected_hash = section.key_hash if section is not None else ""
        actual_hash = hashlib.sha256(key.encode()).hexdigest()
        if not expected_hash or not hmac.compare_digest(actual_hash, expected_hash):
            raise UnauthenticatedError(f"unknown operator {operator!r} or wrong key")

    async def get_document(self, operator: str, body: dict[str, Any]) -> Any:
        """Return the document's revision and its sections."""
        state = self.replica.state_machine.state
        sections = [section for section in state.sections.values() if section.text]
        return {"revision": state.revision, "sections": sections}

    async def apply_change(self, operator: str, body: dict[str, Any]) -> Any:
        """Commit a change and return its result; a resend gets the first result."""
        sections = msgspec.convert(body["sections"], list[SectionChange])
        change = ApplyChange(str(body["change_id"]), operator, sections)
        return await self.replica.propose(change)

    async def get_history(self, operator: str, body: dict[str, Any]) -> Any:
        """Return the accepted changes after a revision, oldest first."""
        since = int(body.get("since", 0))
        history = self.replica.state_machine.state.history
        return [change for change in history if change.revision > since]

    async def wait_revision(self, operator: str, body: dict[str, Any]) -> Any:
        """Wait until a revision is in force; return the nodes that lack it."""
        revision = int(body["revision"])
        lagging = await self.leader.wait_until_in_force(
            revision, float(body.get("timeout_s", 10))
        )
        return {"revision": revision, "lagging": lagging}

    async def get_status(self, operator: str, body: dict[str, Any]) -> Any:
        """Return the state of the cluster: replicas, nodes, targets and suspects."""
        term_state = self.leader.get_term_state()
        core = self.replica.core
        return {
            "leader": core.replica_id,
            "term": core.term,
            "revision": self.replica.state_machine.state.revision,
            "commit_index": core.commit_index,
            "replicas": core.members,
            "nodes": list(term_state.view.nodes.items.values()),
            "targets": list(term_state.view.targets.items.values()),
            "loads": list(term_state.view.loads.items.values()),
            "suspects": self.leader.list_suspects(),
            "drained_targets": self.replica.state_machine.state.drained_targets,
            "paused_pools": self.replica.state_machine.state.paused_pools,
        }

    async def set_rollout(self, operator: str, body: dict[str, Any]) -> Any:
        """Pause or resume a pool's rollout."""
        command = SetRollout(str(body["pool"]), bool(body["is_paused"]))
        return await self.replica.propose(command)

    async def drain_target(self, operator: str, body: dict[str, Any]) -> Any:
        """Take a target out of service, or back in."""
        command = DrainTarget(str(body["target_id"]), bool(body["is_draining"]))
        return await self.replica.propose(command)

    async def clear_quarantine(self, operator: str, body: dict[str, Any]) -> Any:
        """Lift the quarantine of a request; return whether it was a suspect."""
        return await self.replica.propose(ClearQuarantine(str(body["fingerprint"])))


OPERATOR_ACTIONS = {
    "get": "get_document",
    "apply": "apply_change",
    "history": "get_history",
    "wait": "wait_revision",
    "status": "get_status",
    "rollout": "set_rollout",
    "drain_target": "drain_target",
    "clear_quarantine": "clear_quarantine",
}
"""Name of the `OperatorService` method for each operator action."""
