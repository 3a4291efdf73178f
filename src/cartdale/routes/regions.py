"""Know in which region a failure domain lies."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RegionMap:
    """Hold the region of each failure domain that the settings name."""

    regions_by_domain: Mapping[str, str] = field(default_factory=dict)

    def find_domains(
        self, regions: frozenset[str] | None
    ) -> frozenset[str] | None:
        """Return the failure domains of some regions; ``None`` for all.

        A failure domain that the settings don't name lies in none of them.
        """
        if regions is None:
            return None
        return frozenset(
            domain
            for domain, region in self.regions_by_domain.items()
            if region in regions
        )
