"""The region of each failure domain."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RegionMap:
    """Map of failure domains to regions, as the settings name them."""

    regions_by_domain: Mapping[str, str] = field(default_factory=dict)

    def find_domains(
        self, regions: frozenset[str] | None
    ) -> frozenset[str] | None:
        """Return the failure domains in the given regions; ``None`` for all.

        A failure domain that the settings don't name is in no region.
        """
        if regions is None:
            return None
        return frozenset(
            domain
            for domain, region in self.regions_by_domain.items()
            if region in regions
        )
