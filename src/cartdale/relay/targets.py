"""Choose the target engine of a move, and the engine of a backup."""

from collections.abc import Iterable
from dataclasses import replace
from math import inf

from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.estimates import SourceLink
from cartdale.relay.request_needs import make_request_needs
from cartdale.relay.types import RoutedRequest
from cartdale.routes.types import EngineSpec
from cartdale.scheduling.loads import Load
from cartdale.scheduling.types import RequestNeeds
from cartdale.switches import Mechanism

#: Cost of a target in another failure domain: the copy takes twice as long, and
#: the other copies of the engine wait for it.
_FAR_MOVE_COST = 0.3
#: Maximum share of an engine's memory in use when a backup is placed there:
#: fuller engines preempt running generations for it.
_MAX_FILLED_FOR_BACKUP_SHARE = 0.8
#: Maximum share of the memory of all engines of a service, including the
#: expected growth, up to which any long generation gets a backup: even doubled
#: by the backups, it leaves every engine capacity for a prompt. Above this
#: share, memory is of more use to other requests than against the rare crash
#: without notice.
_MAX_SERVICE_FILLED_SHARE = 0.4
#: Expected tokens from which a backup is worth its memory.
_MIN_BACKUP_TOKENS = 100


def choose_target(
    fleet: Fleet,
    routed: RoutedRequest,
    load: Load,
    source: UpstreamEntry,
    refused: Iterable[str],
    *,
    full: bool = False,
) -> UpstreamEntry | None:
    """Return an engine that can hold a generation now.

    Memory for its growth is not required: a later preemption is better than a
    lost generation, and an engine without capacity refuses the copy. All
    engines are compared: with three random choices among thirty engines in
    three failure domains, 3 of 10 choices include no engine of the same domain,
    and a copy to another domain takes twice as long.

    :param load: load of the generation at its source.
    :param refused: engines that refused the copy.
    :param full: whether an engine may be full: it refuses the copy, and the
        source, which has stopped by then, keeps the memory.
    """
    needs = RequestNeeds(
        service=source.service,
        prompt=load.tokens,
        expected=load.growth,
        excluded=frozenset((source.upstream, *refused)),
        domains=routed.domains,
        far_cost=_FAR_MOVE_COST,
        filled=inf if full else 1,
        reserved=0,
        compare_all=True,
    )
    chosen = fleet.choose(needs, source.failure_domain)
    return chosen.entry if chosen else None


def choose_backup(
    fleet: Fleet,
    routed: RoutedRequest,
    source: UpstreamEntry,
    *,
    unframed: bool = False,
) -> UpstreamEntry | None:
    """Return an engine with spare memory for a backup.

    While the engines of the service are mostly empty, spare memory has no other
    use, and a backup survives an engine that crashes without notice. When they
    fill up, a generation gets a backup only if its engine holds more than its
    link can transfer in a drain: what can't be moved then is certainly lost. On
    30 nearly full engines of 21,878 tokens, backups for all long generations
    cost 0.1 to 0.2 of all worth.

    The end of a stream without framing looks like a broken link unless a
    backup tells that its run is over, so each of them gets one.

    Returns ``None`` also if the service keeps no backups, if no engine has
    room for one, and for short generations.

    :param unframed: whether streams of the service have no framing.
    """
    spec = fleet.table.services_by_name.get(source.service)
    if spec is None or spec.engine is None or not spec.engine.backups:
        return None
    if not fleet.switches.is_enabled(Mechanism.BACKUPS):
        return None
    needs = make_request_needs(routed, frozenset((source.upstream,)))
    if not (unframed or _is_worth_memory(fleet, needs, source, spec.engine)):
        return None
    copied = replace(
        needs,
        reads=0,
        read_within=0,
        filled=_MAX_FILLED_FOR_BACKUP_SHARE,
        sends=False,
    )
    chosen = fleet.choose(copied)
    return chosen.entry if chosen else None


def _is_worth_memory(
    fleet: Fleet, needs: RequestNeeds, source: UpstreamEntry, engine: EngineSpec
) -> bool:
    """Tell whether a backup is of more use than the memory that it takes."""
    if needs.expected < _MIN_BACKUP_TOKENS:
        return False
    load = fleet.load_at(source.upstream)
    awaiting_copy = int(load.share_awaiting_copy * load.tokens)
    movable = SourceLink(engine).carries_all(awaiting_copy)
    return not movable or fleet.filled_share(needs) <= _MAX_SERVICE_FILLED_SHARE
