"""Binds one stream to the build of the target that begins it."""

from __future__ import annotations

from ..errors import TargetError
from ..fleet.messages import TargetRecord
from .request import AdmittedRequest
from .services import RelayServices
from .stream_origins import StreamOrigin


class StreamBinding:
    """The build that may go on with a stream, inside one answer and afterwards.

    Args:
        services: Services that all runs share.
        admitted: The request.
    """

    def __init__(self, services: RelayServices, admitted: AdmittedRequest) -> None:
        self.services = services
        self.admitted = admitted
        self.build = admitted.build
        """Build that began the stream, the only one that may go on with it; empty
        before the first event."""
        self.is_uncertain = False
        """Whether another build may have begun the stream, so that none may go on."""

    def check_incarnation(self, target: TargetRecord) -> None:
        """Check that a stream's target has not restarted, maybe with another build.

        Raises:
            TargetError: If it has announced itself anew since it was chosen.
        """
        entry = self.services.fleet_view.targets.entries.get(target.target_id)
        if entry is not None and entry.record.born_ms != target.born_ms:
            raise TargetError("the target has restarted")

    def begin(self, target: TargetRecord) -> None:
        """Record which build begins the stream, before its first event goes out."""
        if not self.admitted.route.is_resumable:
            return
        self.build = target.build
        self.services.stream_origins.record(
            self.admitted.metadata.request_id,
            StreamOrigin(target.service, target.build),
        )

    def check_progress(self, target: TargetRecord) -> None:
        """Check that the stream still comes from the incarnation that was chosen.

        A restart ends a target's connections. If the stream goes on although another
        build has announced itself, that build may have begun it.

        Raises:
            TargetError: If that is so; the stream may not be taken up any more.
        """
        entry = self.services.fleet_view.targets.entries.get(target.target_id)
        if entry is None or not self.admitted.route.is_resumable:
            return
        record = entry.record
        if record.born_ms == target.born_ms or record.build == target.build:
            return
        self.is_uncertain = True
        self.services.stream_origins.withdraw(
            self.admitted.metadata.request_id, target.service
        )
        raise TargetError("the target has restarted with another build")
