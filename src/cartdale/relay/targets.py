"""Choose the engine that a generation moves to, and the one of its backup."""

from collections.abc import Iterable
from dataclasses import replace

from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.loads import Load
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.estimates import SourceLink
from cartdale.relay.request_needs import make_request_needs
from cartdale.relay.types import RoutedRequest
from cartdale.switches import Mechanism

#: What another failure domain counts when a target is chosen: the copy takes
#: twice as long, and the others of the engine wait behind it.
_FAR_MOVE_COST = 0.3
#: Part of an engine's memory that may be filled when a backup is sent there;
#: fuller ones were measured to push running generations aside for it.
_BACKUP_FILLED = 0.8
#: Part of the memory of all engines of a service, with the growth that is
#: expected, up to which any long generation gets a backup: twice as much, with
#: the backups, then still leaves every engine room for a prompt. Above it
#: memory serves others better than the rare crash without notice.
_SERVICE_FILLED = 0.4
#: Tokens to make from which on a backup is worth its memory.
_BACKUP_WORTH = 100


def choose_target(
    fleet: Fleet,
    routed: RoutedRequest,
    load: Load,
    source: UpstreamEntry,
    refused: Iterable[str],
) -> UpstreamEntry | None:
    """Return an engine that can hold a generation now.

    Room to grow is not asked for: to be pushed aside later is better than to
    be lost, and an engine without room refuses the copy. All engines are looked
    at: of three among thirty in three failure domains none lies near in 3 of 10
    choices, and a copy to another domain takes twice as long.

    :param load: what the generation takes at its source.
    :param refused: engines that did not take the copy.
    """
    needs = RequestNeeds(
        service=source.service,
        prompt=load.tokens,
        expected=load.growth,
        excluded=frozenset((source.upstream, *refused)),
        domains=routed.domains,
        far_cost=_FAR_MOVE_COST,
        filled=1,
        reserved=0,
        compare_all=True,
    )
    chosen = fleet.choose(needs, source.failure_domain)
    return chosen.entry if chosen else None


def choose_backup(
    fleet: Fleet, routed: RoutedRequest, source: UpstreamEntry
) -> UpstreamEntry | None:
    """Return an engine with memory to spare for a second copy.

    While the engines of the service are mostly empty, memory costs nobody
    anything, and a backup survives an engine that ends without notice. When
    they fill, only a generation gets one whose engine holds more than its link
    carries away once it leaves: what can't be moved then is lost for sure.
    On 30 engines of 21,878 tokens that were nearly full, backups for every
    long generation cost 0.1 to 0.2 of all worth.

    ``None`` also where the service keeps no backups, and for short
    generations.
    """
    spec = fleet.table.services_by_name.get(source.service)
    if spec is None or spec.engine is None or not spec.engine.backups:
        return None
    if not fleet.switches.is_enabled(Mechanism.BACKUPS):
        return None
    needs = make_request_needs(routed, frozenset((source.upstream,)))
    if needs.expected < _BACKUP_WORTH:
        return None
    load = fleet.load_at(source.upstream)
    awaiting_copy = int(load.share_awaiting_copy * load.tokens)
    movable = SourceLink(spec.engine).carries_all(awaiting_copy)
    if movable and fleet.filled_share(needs) > _SERVICE_FILLED:
        return None
    copied = replace(
        needs, reads=0, read_within=0, filled=_BACKUP_FILLED, sends=False
    )
    chosen = fleet.choose(copied)
    return chosen.entry if chosen else None
