"""Upstreams that say of themselves that they leave, or want rest."""

from typing import Any

import trio

from cartdale_standins.platform_engine import PlatformEngine
from cartdale_standins.platform_worker import PlatformWorker, RecordedRequest
from tests.fault_soak.checks import (
    DRAIN_SECONDS,
    ON_ITS_WAY_SECONDS,
    Asked,
)
from tests.fault_soak.proxy import LinkState
from tests.fault_soak.watch import SLACK_SECONDS, Upstream

_SERVICES = ('writers', 'portal')
#: One that leaves serves on for so long: over the bound after which new work
#: there would show.
_SERVES_ON_SECONDS = 7
#: What is asked for: long ones show what comes in them, the others must do no
#: harm.
_LONG_REST = '4'
_RESTS = (_LONG_REST, _LONG_REST, '3.5', '0.4', '0', 'soon', '-1')
_ENDLESS = 10**9


async def leave_by_word(soak: Any) -> None:
    """Let an upstream leave, of which only its own answers tell."""
    listed = list_up(soak, soak.random.choice(_SERVICES))
    if not listed:
        return
    upstream = soak.random.choice(listed)
    plain = upstream.service == 'portal'
    soak.add(PlatformWorker if plain else PlatformEngine, upstream.service)
    upstream.worker.leaving = True
    await trio.sleep(_SERVES_ON_SECONDS)
    if not upstream.worker.leaving:
        # It has started again meanwhile, and stays.
        return
    upstream.disturbed_at = trio.current_time()
    upstream.gone = True
    upstream.worker.die()
    upstream.proxy.set(LinkState.RESET)
    soak.store.remove(f'servers/{upstream.worker.name}')


async def rest(soak: Any, lasts: float, *, everyone: bool) -> None:
    """Let one upstream, or all of a service, turn requests away."""
    listed = list_up(soak, soak.random.choice(_SERVICES))
    chosen = listed if everyone else listed[:1]
    for upstream in chosen:
        wanted = _LONG_REST if everyone else soak.random.choice(_RESTS)
        upstream.worker.faults.rejections = _ENDLESS
        upstream.worker.faults.retry_after = wanted
    await trio.sleep(lasts)
    for upstream in chosen:
        upstream.worker.faults.rejections = 0


def check_notices(soak: Any) -> None:
    """Check at the end what came where nothing was to come."""
    asked_by_name = {asked.name: asked for asked in soak.checks.asked}
    for upstream in soak.upstreams:
        arrivals = [
            (seen.at, asked_by_name[seen.request_id])
            for seen in upstream.worker.arrivals
            if seen.request_id in asked_by_name
        ]
        for seen in upstream.worker.leaving_announcements:
            told = asked_by_name.get(seen.request_id)
            if told is not None and told.status:
                _check_told(soak, upstream, arrivals, told, seen.at)
        for seen in upstream.worker.backoff_requests:
            asked = asked_by_name.get(seen.request_id)
            if asked is not None:
                _check_rest(soak, upstream, arrivals, asked, seen)


Arrivals = list[tuple[float, Asked]]


def _check_told(
    soak: Any, upstream: Upstream, arrivals: Arrivals, told: Asked, at: float
) -> None:
    """Check that who had this answer sent nothing that was asked later."""
    bound = at + DRAIN_SECONDS + SLACK_SECONDS
    for arrived_at, asked in arrivals:
        if not _is_same_sender(asked, told) or asked.at < bound:
            continue
        if upstream.worker.crashes.crashed_at and _is_between(
            upstream.worker.crashes.crashed_at, at, arrived_at
        ):
            # Another life of it.
            continue
        if not stood_still(soak, told.instance, at, arrived_at):
            soak.checks.check_told(asked.name, upstream.worker.name)


def _check_rest(
    soak: Any,
    upstream: Upstream,
    arrivals: Arrivals,
    asked: Asked,
    seen: RecordedRequest,
) -> None:
    try:
        ends_at = seen.at + float(seen.retry_after)
    except ValueError:
        return
    began = seen.at + ON_ITS_WAY_SECONDS + SLACK_SECONDS
    count = sum(
        began <= arrived_at < ends_at and _is_same_sender(each, asked)
        for arrived_at, each in arrivals
    )
    cut = any(
        start < ends_at and end + SLACK_SECONDS > seen.at
        for start, end in upstream.cuts
    )
    other_life = _is_between(
        upstream.worker.crashes.crashed_at, seen.at, ends_at
    )
    still = stood_still(soak, asked.instance, seen.at, ends_at)
    if not (cut or other_life or still):
        soak.checks.check_rest(upstream.worker.name, asked.instance, count)


def _is_same_sender(one: Asked, other: Asked) -> bool:
    return (one.instance, one.life) == (other.instance, other.life)


def _is_between(moments: list[float], start: float, end: float) -> bool:
    return any(start <= at <= end for at in moments)


def stood_still(soak: Any, name: str, start: float, end: float) -> bool:
    """Tell whether an instance was paused within a span."""
    instance = next(each for each in soak.instances if each.name == name)
    return any(
        began < end and ended + SLACK_SECONDS > start
        for began, ended in instance.pauses
    )


def list_up(soak: Any, service: str) -> list[Upstream]:
    """Return the upstreams of a service that neither leave nor are down."""
    return [
        each
        for each in soak.upstreams
        if each.service == service
        and each.is_up
        and each.drained_at is None
        and not each.worker.leaving
    ]
