"""Divide engines into cells, each decided by one instance at a time.

Placements that several instances decide on reports that lag overfill
engines; one instance that decides for a few engines does not. Which
instance that is follows from rendezvous hashing over the members believed
alive, so nobody has to agree: two placers for a moment, or a new one that
knows nothing yet, cost quality and no promise.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from cartdale.declarations.types import Declarations, UpstreamKind

#: Engines in one cell at most.
PLACEMENT_GROUP_SIZE = 8


@dataclass(frozen=True, slots=True)
class PlacementGroup:
    """Group engines of one model.

    :param group_id: ``model/number``.
    """

    group_id: str
    upstreams: frozenset[str]

    @property
    def key(self) -> str:
        """Return the key by which members are ranked for this cell."""
        return f'cell:{self.group_id}'


def derive_placement_groups(
    declared: Declarations,
) -> tuple[PlacementGroup, ...]:
    """Divide every model's engines evenly, whatever their order."""
    names_by_model: dict[str, list[str]] = {}
    for name, upstream in sorted(declared.upstreams.items()):
        if upstream.kind is UpstreamKind.ENGINE:
            names_by_model.setdefault(upstream.model, []).append(name)
    groups: list[PlacementGroup] = []
    for model, names in sorted(names_by_model.items()):
        groups.extend(_divide(model, names))
    return tuple(groups)


def groups_of_service(
    declared: Declarations, groups: tuple[PlacementGroup, ...], service: str
) -> tuple[PlacementGroup, ...]:
    """Return the cells that hold an upstream of a service."""
    wanted = declared.services.get(service)
    if wanted is None:
        return ()
    return tuple(
        group
        for group in groups
        if not group.upstreams.isdisjoint(wanted.upstreams)
    )


def _divide(model: str, names: list[str]) -> Iterator[PlacementGroup]:
    count = -(-len(names) // PLACEMENT_GROUP_SIZE)
    for number in range(count):
        yield PlacementGroup(
            f'{model}/{number}', frozenset(names[number::count])
        )
