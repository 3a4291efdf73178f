"""Divide engines into placement groups, each placed by one instance.

If several instances placed work on the same engines from delayed load
reports, they would overfill them; a single placer per group does not.
Rendezvous hashing over the members assumed to be alive selects the placer,
so no agreement is needed. Two placers for a short time, or a new placer
without state, reduce placement quality but break no guarantee.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from cartdale.declarations.types import Declarations, UpstreamKind

#: Maximum number of engines in a placement group.
PLACEMENT_GROUP_SIZE = 8


@dataclass(frozen=True, slots=True)
class PlacementGroup:
    """Engines of one model that one instance places.

    :param group_id: ``model/number``.
    """

    group_id: str
    upstreams: frozenset[str]

    @property
    def key(self) -> str:
        """Return the key by which members are ranked for this group."""
        return f'cell:{self.group_id}'


def derive_placement_groups(
    declared: Declarations,
) -> tuple[PlacementGroup, ...]:
    """Divide the engines of each model evenly, independent of their order."""
    names_by_model: dict[str, list[str]] = {}
    for name, upstream in sorted(declared.upstreams.items()):
        if upstream.kind is UpstreamKind.ENGINE:
            names_by_model.setdefault(upstream.model, []).append(name)
    groups: list[PlacementGroup] = []
    for model, names in sorted(names_by_model.items()):
        groups.extend(_split_model(model, names))
    return tuple(groups)


def groups_of_service(
    declared: Declarations, groups: tuple[PlacementGroup, ...], service: str
) -> tuple[PlacementGroup, ...]:
    """Return the placement groups with an upstream of a service."""
    declared_service = declared.services.get(service)
    if declared_service is None:
        return ()
    return tuple(
        group
        for group in groups
        if not group.upstreams.isdisjoint(declared_service.upstreams)
    )


def _split_model(model: str, names: list[str]) -> Iterator[PlacementGroup]:
    count = -(-len(names) // PLACEMENT_GROUP_SIZE)
    for number in range(count):
        yield PlacementGroup(
            f'{model}/{number}', frozenset(names[number::count])
        )
