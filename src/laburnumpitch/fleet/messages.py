"""Messages between the nodes of a fleet."""

from __future__ import annotations

from msgspec import field

from ..control.raft_messages import Member
from ..transport.codec import Message


class NodeRecord(Message):
    """A node of the fleet."""

    host: str
    """Address that identifies the node; each host runs one process."""
    node_id: str
    """Name of the node in settings and logs."""
    rpc_address: str
    control_address: str
    data_centre: str
    has_disk: bool
    knows_builds: bool = False
    """Whether its software can apply `StoreBuilds`; older software cannot."""
    knows_evacuations: bool = False
    """Whether its software can apply `StoreEvacuation`; older software cannot."""


class JoinCore(Message):
    """Asks the leader to make a replica that started with an empty disk a voter."""

    cluster_id: str
    replica_id: str
    host: str
    address: str


class JoinCoreAnswer(Message):
    """Whether the replica is a voter now."""

    is_voter: bool


class TargetRecord(Message):
    """State of a target: its last announcement and what the leader adds to it."""

    target_id: str
    service: str
    address: str
    data_centre: str
    born_ms: int
    """Wall time of the target's start; distinguishes its incarnations."""
    sequence: int
    """Sequence number of the announcement; a lower one is older."""
    slots: int
    is_leaving: bool = False
    is_gone: bool = False
    has_expired: bool = False
    """Whether it counts as gone only since it has not announced itself for long."""
    is_silent: bool = False
    """Whether the target is not announcing itself, or cannot be reached."""
    is_loading: bool = False
    """Whether the target loads weights and accepts no new requests."""
    is_retiring: bool = False
    """Whether the target loads weights next and gets only short requests."""
    cold_s: float = 0.0
    """Remaining time for which the target is slow after its start."""
    versions: dict[str, int] = field(default_factory=dict)
    """Weight version by model."""
    build: str = ""
    """Version of the target's software."""
    has_said_leaving: bool = False
    """Whether the target said in an answer that it is leaving."""
    states_cold: bool = False
    """Whether the announcement stated `cold_s`; older software does not tell."""
    returns: int = 0
    """How often the target has announced itself again after silence, in this term."""

    @property
    def is_staying(self) -> bool:
        """Whether the target has neither left nor said that it leaves."""
        return not (self.is_leaving or self.is_gone)


class Announce(Message):
    """A target's announcement on its way to the leader."""

    record: TargetRecord


class AnnounceAnswer(Message):
    """Acknowledges an announcement that was sent to every reachable node."""

    home_address: str
    """Control address for the target's next announcements."""


class Depart(Message):
    """Reports that a target has ended."""

    target_id: str


class FleetLoad(Message):
    """Load that one or more nodes have at a target."""

    running: int
    """Running requests."""
    tokens: int
    """Prompt tokens of these requests."""


class Follow(Message):
    """Asks the leader for changes after a sequence; confirms those up to it."""

    node: NodeRecord
    term: int
    sequence: int
    configuration_version: int
    loads: dict[str, FleetLoad]
    """Load of this node at each target where it has any."""


class FleetFacts(Message):
    """State of the fleet apart from targets; it seldom changes."""

    weights: dict[str, int]
    """Desired weight version by model."""
    members: list[Member]
    """Members of the replicated log."""
    hosts: list[str]
    """Hosts of the nodes that subscribe to the leader."""
    quarantined: list[str]
    """Fingerprints of requests that crash targets."""
    keepers: dict[str, str]
    """Assignments: host of each store's owner by the store's address, and of each
    service's coordinator by the coordinator's name."""
    quarantined_pieces: list[str] = field(default_factory=list)
    """Pieces of prompts that crash targets."""
    suspect_pieces: list[str] = field(default_factory=list)
    """Pieces that may crash targets; nodes report completed answers on them."""
    suspect_requests: list[str] = field(default_factory=list)
    """Fingerprints of requests that may crash targets; nodes report their answers."""
    suspect_deaths: dict[str, list[str]] = field(default_factory=dict)
    """Targets' incarnations that died while they ran each suspect request."""
    leader_host: str = ""
    """Host of the leader that published the facts."""
    builds: dict[str, dict[str, bool]] | None = None
    """Committed builds by service, and whether streams may begin on each of them. None
    from a leader whose software does not record builds."""
    weight_ages: dict[str, dict[int, float]] = field(default_factory=dict)
    """Seconds since each weight version was set, by model, when the facts were sent."""
    evacuated: list[str] = field(default_factory=list)
    """Evacuated data centres, sorted."""
    evacuation_revisions: dict[str, int] = field(default_factory=dict)
    """Number of changes of each data centre's evacuation."""


class FleetSnapshot(Message):
    """A node's view of the fleet, for a node that has just started."""

    configuration: bytes
    """Compressed text; committed, but perhaps not the newest."""
    targets: list[TargetRecord]
    facts: FleetFacts
    context_epoch: int = 0
    """Epoch of shared kept context under the configuration."""


class Hello(Message):
    """Asks a node for its cluster, and sends the sender's node and cluster."""

    node: NodeRecord
    cluster_id: str
    """Cluster of the sender; empty if it belongs to none yet."""
    members: list[Member]
    """Members of the cluster that the sender knows."""
    needs_snapshot: bool
    """Whether the answer should contain a snapshot."""


class HelloAnswer(Message):
    """Cluster of a node; the identifier is empty if it belongs to none yet."""

    cluster_id: str
    members: list[Member]
    snapshot: FleetSnapshot | None


class FollowAnswer(Message):
    """Changes that a subscribed node lacks."""

    term: int
    sequence: int
    is_settled: bool
    """Whether the leader has led for long enough to know every live target."""
    is_full: bool
    """Whether `targets` holds all targets rather than the changed ones."""
    targets: list[TargetRecord]
    configuration_version: int
    configuration: bytes
    """Compressed text; empty if the node has this version."""
    facts: FleetFacts | None
    """The fleet's facts, if they are newer than the node's."""
    loads: dict[str, FleetLoad]
    """Load of the other nodes at each target, some hundred milliseconds old."""
    context_epoch: int = 0
    """Epoch of shared kept context under the configuration."""


class TargetUnreachable(Message):
    """Reports that a node could not reach a target."""

    target_id: str


class TargetLeaving(Message):
    """Reports that a target said in an answer that it is leaving."""

    target_id: str
    born_ms: int
    """Incarnation of the target."""


class PutConfiguration(Message):
    """Puts an operator's configuration; the body is the text as it was received."""

    body: bytes


class ReadConfiguration(Message):
    """Asks for the newest configuration."""


class ConfigurationText(Message):
    """The newest configuration, as its operator sent it."""

    version: int
    body: bytes


class PutWeights(Message):
    """Sets the desired weight version of a model."""

    model: str
    version: int


class GrantContext(Message):
    """Asks a store's owner which parts a request may read and save there."""

    address: str
    salt: str
    """Separates the context of weight versions and organisations."""
    pieces: list[str]
    tokens: list[int]
    """Number of tokens of each piece."""
    data_centre: str
    """Data centre of the target that will run the request."""


class ContextGrant(Message):
    """Whether a request may read and save each piece, in the sequence of the call."""

    may_read: list[bool]
    may_save: list[bool]
    read_until_ms: int
    """Time of the targets' clock after which a target discards a read."""


class CancelSaves(Message):
    """Tells a store's owner that a request was not sent, and saves no piece."""

    address: str
    salt: str
    pieces: list[str]
    """Pieces that the request might have saved."""


class PlaceCall(Message):
    """Asks a service's coordinator for a placement of a request."""

    service: str
    key: str
    """Identifier of the context that related requests share; empty without one."""
    model: str
    prompt_tokens: int
    shared_tokens: int
    """Tokens of the prompt's pieces that other requests may have too."""
    output_tokens: int
    """Limit of generated tokens."""
    objective_s: float
    """Latency objective of the request's route."""
    max_backlog_s: float
    """Largest prefill backlog at which a target may take the request."""
    data_centre: str
    """Data centre of the calling node."""
    excluded: list[str]
    """Targets that must not be chosen."""
    suspects: list[str]
    """Targets in backoff at the calling node, since they failed it recently."""
    is_resumable: bool = False
    """Whether the answer is a stream that may go on at another target."""
    build: str = ""
    """Build that the target must have, since it began the stream; empty for any."""
    allowed_regions: tuple[str, ...] | None = None
    """Regions that the target may be in; None without a restriction."""
    cold: dict[str, float] = field(default_factory=dict)
    """Seconds for which targets are cold of which the coordinator may not know it."""


class PlaceAnswer(Message):
    """A placement, or the time after which to ask for one again."""

    target_id: str
    """Target of the placement; empty if no target has free capacity."""
    number: int
    """Identifies the placement when it is released."""
    wait_s: float
    """Time after which to call again if there is no placement."""
    is_cold_grant: bool = False
    """Whether the target is cold; the request has to be sent soon then."""


class PlaceProgress(Message):
    """Reports the progress of placements; a notice that may be lost."""

    service: str
    read: list[int]
    """Placements whose prompts have been processed."""
    ended: list[int]
    """Placements that are released."""


class StreamBegun(Message):
    """Tells a node which build began a stream; a notice that may be lost."""

    attempt_id: str
    """Identifier of the client's attempt that received the first event."""
    service: str
    build: str


class FindStream(Message):
    """Asks a node which build began a stream."""

    attempt_id: str


class StreamFound(Message):
    """The build that began a stream; empty if the node does not know it."""

    service: str
    build: str


class StoreConfiguration(Message):
    """Log command: puts a configuration in force unless a newer one is."""

    version: int
    packed: bytes
    time_s: float = 0.0
    sharing: list[str] | None = None
    """Organisations that share kept context; None from software that does not say."""
    isolated: list[str] | None = None
    """Organisations that share none; None from software that does not say."""


class StoreWeights(Message):
    """Log command: sets a model's desired weight version unless a newer one is set."""

    model: str
    version: int
    time_s: float = 0.0


class StoreBuilds(Message):
    """Log command: replaces the builds of a service."""

    service: str
    builds: dict[str, bool]
    """Whether streams may begin on each build; empty to forget the service."""
    time_s: float = 0.0
