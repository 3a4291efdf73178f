"""Make a plan: compare an intent with what is in force."""

from collections.abc import Iterator

from cartdale.codec import digest, encode_json
from cartdale.configuration.bodies import decode_bodies
from cartdale.configuration.types import ConfigurationState
from cartdale.declarations.types import (
    Declarations,
    Service,
    UpstreamKind,
)
from cartdale.plans.types import Plan, PlannedChange, Verb

#: Share of an engine's memory that one model context may take.
_CONTEXT_SHARE = 0.5


def identify(base_revision: int, changes: tuple[PlannedChange, ...]) -> str:
    """Derive a plan's id from its base and its content."""
    return digest(encode_json((base_revision, changes)))


def make_plan(state: ConfigurationState, wanted_by_key: dict[str, str]) -> Plan:
    """Compare the wanted objects with those in force.

    :param state: what is in force, the base of the plan.
    :param wanted_by_key: all objects that should exist, as JSON.
    """
    changes = tuple(_differences(state.bodies_by_key, wanted_by_key))
    before = decode_bodies(state.bodies_by_key)
    after = decode_bodies(wanted_by_key)
    return Plan(
        plan_id=identify(state.revision, changes),
        base_revision=state.revision,
        base_digest=state.digest,
        changes=changes,
        effects=tuple(_effects(before, after)),
        warnings=tuple(_warnings(after)),
    )


def _differences(
    before_by_key: dict[str, str], wanted_by_key: dict[str, str]
) -> Iterator[PlannedChange]:
    for key in sorted(before_by_key.keys() | wanted_by_key.keys()):
        before = before_by_key.get(key, '')
        after = wanted_by_key.get(key, '')
        if before == after:
            continue
        yield PlannedChange(_choose_verb(before, after), key, before, after)


def _choose_verb(before: str, after: str) -> Verb:
    if not before:
        return Verb.ADD
    if not after:
        return Verb.REMOVE
    return Verb.CHANGE


def _effects(before: Declarations, after: Declarations) -> Iterator[str]:
    for name, upstream in sorted(before.upstreams.items()):
        later = after.upstreams.get(name)
        removed = later is None
        draining = later is not None and later.draining
        if removed or (draining and not upstream.draining):
            yield f'upstream {name} takes no new work; running work ends'
    for name, model in sorted(after.models.items()):
        earlier = before.models.get(name)
        if earlier is not None and earlier.version != model.version:
            yield f'model {name} moves to version {model.version}'
    for name, service in sorted(after.services.items()):
        memory = _memory_of(service, after)
        ready = _ready_upstreams(service, after)
        yield f'service {name} gets {len(ready)} upstreams, {memory} tokens'


def _warnings(after: Declarations) -> Iterator[str]:
    for name, service in sorted(after.services.items()):
        if not _ready_upstreams(service, after):
            yield f'service {name} has no upstream that takes work'
        yield from _limit_warnings(name, service, after)
    for name, upstream in sorted(after.upstreams.items()):
        if upstream.kind is not UpstreamKind.ENGINE:
            continue
        context = after.models[upstream.model].memory_tokens
        if context > upstream.memory_tokens * _CONTEXT_SHARE:
            yield (
                f'one context of {upstream.model} may take more than half of '
                f'the memory of {name}'
            )


def _limit_warnings(
    name: str, service: Service, after: Declarations
) -> Iterator[str]:
    limit = service.limits.requests_per_second
    promised = sum(
        customer.limits.requests_per_second
        for customer in after.customers.values()
        if name in customer.services
    )
    if 0 < limit < promised:
        yield (
            f'customers of {name} are promised {promised:g} requests/s, '
            f'the service allows {limit:g}'
        )


def _ready_upstreams(service: Service, after: Declarations) -> list[str]:
    return [
        name for name in service.upstreams if not after.upstreams[name].draining
    ]


def _memory_of(service: Service, after: Declarations) -> int:
    return sum(
        after.upstreams[name].memory_tokens
        for name in _ready_upstreams(service, after)
    )
