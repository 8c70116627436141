"""Messages between a node's session and the control leader."""

from __future__ import annotations

from msgspec import field

from ..control.commands import Section
from ..transport.codec import Message

ACTIVE = "active"
"""`TargetInfo.state` of a target that accepts new work."""

LEAVING = "leaving"
"""`TargetInfo.state` of a target that is shutting down."""


class NodeInfo(Message):
    """A node's description of itself for the other nodes."""

    node_id: str
    incarnation: int
    """Grows with each start of the node."""
    address: str
    """`host:port` for requests from other nodes."""
    http_address: str
    """`host:port` for callers and targets."""
    data_centre: str
    is_draining: bool = False


class TargetInfo(Message):
    """A target's announcement of itself."""

    target_id: str
    kind: str
    """`engine`, `service`, `store` or `weight_store`."""
    pool: str
    address: str
    """`host:port` of its HTTP interface."""
    data_centre: str
    incarnation: int
    """Grows with each start of the target."""
    state: str = ACTIVE
    checks_fence: bool = True
    """Whether the target refuses orders with an outdated fencing number."""
    slots: int = 1
    """Maximum number of requests that the target runs concurrently."""
    prefill_tokens_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    kv_bytes_per_token: int = 0
    build: str = ""
    """Version of the target's software; empty if it announces none."""


class TargetLoad(Message):
    """The load of a target, as the target reports it.

    Between nodes and the control leader it is quantised.
    """

    target_id: str
    incarnation: int
    sequence: int
    """Number of the announcement that contained the report."""
    running: int = 0
    queued: int = 0
    queued_prefill_tokens: int = 0
    """Prompt tokens that wait for prefill."""
    weight_version: str = ""
    is_loading: bool = False


class QuotaRequest(Message):
    """A node's request for tokens of an organisation's rate limit."""

    organisation: str
    wanted: float


class QuotaGrant(Message):
    """Tokens of an organisation's rate limit, granted for a short time."""

    organisation: str
    granted: float


class SuspectInfo(Message):
    """A suspect: a request that was in flight when targets died."""

    fingerprint: str
    deaths: int
    """Number of targets that died."""
    trial_target: str
    """Target of the trial run in progress, or an empty string."""


class ViewCursor(Message):
    """The version of the leader's view up to which a node's copy is current."""

    term: int = 0
    version: int = 0
    digest: int = 0
    """Digest of the copy's nodes and targets, to detect a diverged copy."""


class Heartbeat(Message):
    """A node's report to the leader, which renews the node's lease."""

    node: NodeInfo
    revision: int
    """Revision of the configuration in force on the node."""
    cursor: ViewCursor
    suspect_version: int
    targets: list[TargetInfo] = field(default_factory=list)
    """Targets whose announcement differs from the node's view, or that the leader
    requested."""
    heard: list[str] = field(default_factory=list)
    """Targets that sent the node an announcement since the last heartbeat."""
    loads: list[TargetLoad] = field(default_factory=list)
    """Loads that differ from the node's view, or that the leader requested."""


class ViewDelta(Message):
    """The changes of the leader's view since a node's cursor."""

    cursor: ViewCursor
    is_full: bool
    """Whether the delta contains the full view instead of its changes."""
    is_complete: bool
    """False while a new leader may not have reports from all nodes and targets."""
    nodes: list[NodeInfo]
    targets: list[TargetInfo]
    numbers: list[int]
    """Number of each of `targets`, by which the packed loads refer to them."""
    loads: bytes
    """Packed load reports; see `load_codec`."""
    versions: list[str]
    """Weight versions by their index in the packed loads; empty without loads."""
    removed_nodes: list[str]
    removed_targets: list[str]


class HeartbeatAnswer(Message):
    """The leader's answer to a heartbeat: a lease and the state that the node lacks."""

    lease_s: float
    """Length of the lease, counted from when the node sent its heartbeat."""
    revision: int
    """Revision of the configuration in force."""
    sections: list[Section]
    """Sections that changed since the node's revision."""
    view: ViewDelta
    suspect_version: int
    suspects: list[SuspectInfo] | None
    """All suspects, or None if the node's suspects are current."""
    drained_targets: list[str]
    """Targets that an operator has drained."""
    unknown_targets: list[str]
    """Targets that announced themselves to the node, but whose announcement or load
    the leader lacks."""


class QuotaCall(Message):
    """Request for tokens of organisations' rate limits."""

    node_id: str
    requests: list[QuotaRequest]


class QuotaAnswer(Message):
    """The tokens that the leader granted."""

    grants: list[QuotaGrant]
    valid_s: float
    """Time for which the tokens are valid, counted from when the node sent its call."""


class ProposeCall(Message):
    """A node's command for the replicated log, encoded."""

    command: bytes


class Flag(Message):
    """A result that is a truth value or a number."""

    value: int


class OperatorCall(Message):
    """An operator's request. The leader checks the key."""

    operator: str
    key: str
    action: str
    body: bytes


class OperatorAnswer(Message):
    """The answer to an operator, as JSON."""

    body: bytes


class JoinReplica(Message):
    """Request of a replica without data to join the cluster in place of a lost one."""

    cluster_id: str
    replica_id: str
    name: str
    address: str


class JoinReplicaAnswer(Message):
    """Whether the replica is already a voter, and the cluster that it joins."""

    is_voter: bool
    cluster_id: str


class ReportTraffic(Message):
    """Request for the traffic counters of a process."""


class TrafficReport(Message):
    """Traffic and resource use of a process since its start."""

    sent_bytes: int
    received_bytes: int
    sent_messages: int
    cpu_s: float
    rss_bytes: int
