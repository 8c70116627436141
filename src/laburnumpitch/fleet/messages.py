"""Messages between the nodes of a fleet."""

from __future__ import annotations

from dataclasses import field

from ..control.raft_messages import Member
from ..transport.codec import message


@message
class NodeRecord:
    """A node of the fleet."""

    host: str
    """Address that the node is known by; one process a host."""
    node_id: str
    """Name in settings and logs."""
    rpc_address: str
    control_address: str
    data_centre: str
    has_disk: bool


@message
class JoinCore:
    """Asks the leader to let a replica with an empty disk vote."""

    cluster_id: str
    replica_id: str
    host: str
    address: str


@message
class JoinCoreAnswer:
    """Whether the replica votes now."""

    is_voter: bool


@message
class TargetRecord:
    """What a target said of itself last."""

    target_id: str
    service: str
    address: str
    data_centre: str
    born_ms: int
    """Wall time of the target's start; tells its incarnations apart."""
    sequence: int
    """Number of the announcement; a lower one is older."""
    slots: int
    is_leaving: bool = False
    is_gone: bool = False
    is_silent: bool = False
    """Whether announcements have stopped coming."""
    is_loading: bool = False
    """Whether it is changing its weights and takes no new requests."""
    is_retiring: bool = False
    """Whether it changes its weights next and takes short requests only."""
    cold_s: float = 0.0
    """How much longer it is slow after its start."""
    versions: dict[str, int] = field(default_factory=dict)
    """Weight version by model."""


@message
class Announce:
    """A target's announcement on its way to the leader."""

    record: TargetRecord


@message
class AnnounceAnswer:
    """The announcement is taken, and every node in touch knows of it."""

    home_address: str
    """Control address for the target's next announcements."""


@message
class Depart:
    """A target says that it is gone."""

    target_id: str


@message
class FleetLoad:
    """What nodes have at a target."""

    running: int
    """Requests."""
    tokens: int
    """Prompt tokens of these requests."""


@message
class Follow:
    """Asks for all that is newer; acknowledges what was sent before."""

    node: NodeRecord
    term: int
    sequence: int
    configuration_version: int
    loads: dict[str, FleetLoad]
    """What this node has at each target where it has anything."""


@message
class FleetFacts:
    """What the leader tells of the fleet beside targets; it seldom changes."""

    weights: dict[str, int]
    """Named weight version by model."""
    members: list[Member]
    hosts: list[str]
    """Hosts of nodes that follow."""
    quarantined: list[str]
    """Fingerprints of requests that crash targets."""
    keepers: dict[str, str]
    """Host of the node that keeps each store, by the store's address."""


@message
class FleetSnapshot:
    """What a node knows of the fleet, for one that has just started."""

    configuration: bytes
    """Packed; committed, but perhaps not the newest."""
    targets: list[TargetRecord]
    facts: FleetFacts


@message
class Hello:
    """Asks a node which cluster it belongs to, and tells it of the sender."""

    node: NodeRecord
    cluster_id: str
    """Empty if the sender belongs to none yet."""
    members: list[Member]
    """Members that the sender knows."""
    needs_snapshot: bool


@message
class HelloAnswer:
    """What a node knows of its cluster."""

    cluster_id: str
    members: list[Member]
    snapshot: FleetSnapshot | None


@message
class FollowAnswer:
    """What is newer than a follower's state."""

    term: int
    sequence: int
    is_settled: bool
    """Whether the leader has led for long enough to know every target."""
    is_full: bool
    """Whether the targets are all, not just those that changed."""
    targets: list[TargetRecord]
    configuration_version: int
    configuration: bytes
    """Packed; empty if the follower has this version."""
    facts: FleetFacts | None
    """The facts, if they are newer than the follower's."""
    loads: dict[str, FleetLoad]
    """What the other nodes have at each target, some hundred milliseconds old."""


@message
class TargetUnreachable:
    """A node could not reach a target."""

    target_id: str


@message
class PutConfiguration:
    """An operator's configuration, as it was sent."""

    body: bytes


@message
class ReadConfiguration:
    """Asks for the newest configuration."""


@message
class ConfigurationText:
    """The newest configuration, as it was sent."""

    version: int
    body: bytes


@message
class PutWeights:
    """Names a new weight version of a model."""

    model: str
    version: int


@message
class TargetDied:
    """A target's connection broke while it ran a request."""

    fingerprint: str
    target_id: str
    born_ms: int


@message
class GrantContext:
    """Asks a store's keeper what a request may read and save there."""

    address: str
    salt: str
    pieces: list[str]
    tokens: list[int]
    data_centre: str
    """Data centre of the target that will read and save."""


@message
class ContextGrant:
    """What a request may read and save, for each piece."""

    may_read: list[bool]
    may_save: list[bool]
    read_until_ms: int
    """The targets' clock after which reads are thrown away."""


@message
class PlaceCall:
    """Asks a service's coordinator for a place."""

    service: str
    key: str
    """Name of the context that related requests share; empty without one."""
    model: str
    prompt_tokens: int
    shared_tokens: int
    output_tokens: int
    """Most tokens that are generated."""
    objective_s: float
    is_late: bool
    """Whether the objective cannot be met any more."""
    data_centre: str
    """Data centre of the node that asks."""
    excluded: list[str]
    """Targets that must not be chosen."""
    suspects: list[str]
    """Targets that failed the asking node a moment ago."""


@message
class PlaceAnswer:
    """A place, or none yet."""

    target_id: str
    """Empty if every target has enough."""
    number: int
    """Names the place when it is given back."""
    wait_s: float
    """Time after which to ask again if there was none."""


@message
class PlaceProgress:
    """What became of places; a notice that may be lost."""

    service: str
    read: list[int]
    """Places whose prompts have been read."""
    ended: list[int]
    """Places that are given back."""


# Commands of the replicated log.


@message
class StoreConfiguration:
    """Puts a configuration in force unless a newer one is."""

    version: int
    packed: bytes
    time_s: float = 0.0


@message
class StoreWeights:
    """Names a weight version unless a newer one is named."""

    model: str
    version: int
    time_s: float = 0.0
