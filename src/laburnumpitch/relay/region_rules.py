"""Applies the restrictions of routes and organisations to regions."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.fleet_view import FleetView
from ..fleet.messages import PlaceCall, TargetRecord
from ..logging import get_logger
from ..metrics import Metrics
from ..policy.regions import AllowedRegions, combine_restrictions, is_region_allowed
from .request import AdmittedRequest


class RegionRules:
    """Finds where requests may be served, by the configuration in force.

    Args:
        fleet_view: This node's copy of the fleet's state.
        regions_by_data_centre: Region of each known data centre.
        metrics: Records measurements.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        regions_by_data_centre: Mapping[str, str],
        metrics: Metrics,
    ) -> None:
        self.fleet_view = fleet_view
        self.regions_by_data_centre = regions_by_data_centre
        self.metrics = metrics
        self.log = get_logger()

    def update(self, regions_by_data_centre: Mapping[str, str]) -> None:
        """Replace the regions of the data centres."""
        if regions_by_data_centre != self.regions_by_data_centre:
            self.regions_by_data_centre = regions_by_data_centre
            self.log.info("regions_changed", data_centres=len(regions_by_data_centre))

    def get_allowed_regions(self, admitted: AdmittedRequest) -> AllowedRegions:
        """Return where a request may be served.

        Its route and organisation are those of the configuration in force, since a
        request may wait for a target or go on at another one after a change. One that
        the configuration no longer has keeps its former restriction.
        """
        route, organisation = admitted.route, admitted.organisation
        configuration = self.fleet_view.configuration
        if (
            configuration is not None
            and configuration.version != admitted.configuration_version
        ):
            host, path = admitted.metadata.host, admitted.request.path
            route = configuration.find_route(host, path) or route
            if organisation is not None:
                organisation = configuration.organisations_by_name.get(
                    organisation.name, organisation
                )
        return combine_restrictions(
            route.allowed_regions, organisation.allowed_regions if organisation else ()
        )

    def get_region(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if it is unknown."""
        return self.regions_by_data_centre.get(data_centre, "")

    def allows(self, data_centre: str, allowed_regions: AllowedRegions) -> bool:
        """Whether a request may be served in a data centre."""
        if allowed_regions is None:
            # Asked for each target of a request, and most have no restriction.
            return True
        return is_region_allowed(self.get_region(data_centre), allowed_regions)

    def select_allowed(
        self, targets: list[TargetRecord], allowed_regions: AllowedRegions
    ) -> list[TargetRecord]:
        """Return the targets at which a request may be served."""
        if allowed_regions is None:
            return targets
        return [t for t in targets if self.allows(t.data_centre, allowed_regions)]

    def record_no_target(
        self, admitted: AdmittedRequest, allowed_regions: AllowedRegions
    ) -> None:
        """Record that a restricted request found no target in an allowed region."""
        if allowed_regions is None:
            return
        organisation = admitted.organisation
        configuration = self.fleet_view.configuration
        self.metrics.count("region.no_target")
        self.log.info(
            "region_no_target",
            request=admitted.metadata.request_id,
            route=admitted.route.name,
            organisation=organisation.name if organisation else None,
            service=admitted.service,
            allowed=",".join(allowed_regions),
            admitted=admitted.configuration_version,
            configuration=configuration.version if configuration else None,
            leader_age_s=round(self.fleet_view.get_contact_age_s(), 2),
        )

    def record_declined(self, call: PlaceCall, target_id: str) -> None:
        """Record that a coordinator chose a target outside the allowed regions.

        Its settings have other regions, or its software does not know restrictions.
        """
        entry = self.fleet_view.targets.entries.get(target_id)
        if entry is None or self.allows(entry.record.data_centre, call.allowed_regions):
            return
        self.metrics.count("region.placement_declined")
        self.log.info(
            "region_placement_declined",
            service=call.service,
            target=target_id,
            data_centre=entry.record.data_centre,
            allowed=",".join(call.allowed_regions or ()),
        )
