"""Decide about bytes held for slow peers.

Pure functions of the bytes held, the limits and the time.
"""

from collections.abc import Iterable

from cartdale.clock import SECOND_MS, Millis
from cartdale.pressure.types import (
    Bear,
    BodyDecision,
    GiveWay,
    HeldBytes,
    HeldTotals,
    Holding,
    Limits,
    Readiness,
    RefuseBody,
    ResponseDecision,
    Wait,
)

#: Memory of a process whose settings tell none: 128 MiB.
DEFAULT_MEMORY = 134217728
#: Share of the memory that is free once the process has started. Bytes on
#: their way out exist twice, and connections and news need the rest.
_HELD_SHARE = 1 / 3
#: Least share of the memory, where the process itself takes nearly all.
_LEAST_SHARE = 0.03
_RESPONSE_SHARE = 0.5
_REQUEST_SHARE = 0.06
#: The rest is for small bodies, and for those without an announced size.
_BODY_SHARE = 0.75
#: So many fit into that rest that large bodies don't keep them out.
_SMALL_BODY_SHARE = 0.003
_OWN_BODY_SHARE = 0.4
#: A caller that took something within this time reads. Longer than a usual
#: repeat of a lost packet, shorter than engines bear with an unread answer.
READING_TIME: Millis = 2 * SECOND_MS
#: Least time that the header can name; bodies are held for as long as their
#: requests run, which is seldom known.
_BODY_WAIT: Millis = SECOND_MS
#: Shares of the total limit at which readiness is given up and won back.
_HIGH_MARK = 0.9
_LOW_MARK = 0.7
#: Longest time without readiness. The balancer may count a lasting absence as
#: a fault, and one that takes no connections still has those it has.
_LONGEST_ABSENCE: Millis = 2 * SECOND_MS
#: An instance stays ready for so many times as long as it was not.
_REST_RATIO = 15


def derive_limits(memory: int, resident: int) -> Limits:
    """Return the limits of an instance.

    :param memory: of the process at most, in bytes; 0 if it is not told.
    :param resident: memory that the process takes while it holds nothing.
    """
    memory = memory or DEFAULT_MEMORY
    free = max(memory - resident, 0)
    total = int(max(free * _HELD_SHARE, memory * _LEAST_SHARE))
    return Limits(
        total=total,
        responses=int(total * _RESPONSE_SHARE),
        request=int(total * _REQUEST_SHARE),
        bodies=int(total * _BODY_SHARE),
        own_bodies=int(total * _OWN_BODY_SHARE),
        small_body=int(total * _SMALL_BODY_SHARE),
    )


def decide_response(
    limits: Limits,
    totals: HeldTotals,
    held: Iterable[HeldBytes],
    own: HeldBytes,
    size: int,
    now: Millis,
) -> ResponseDecision:
    """Decide whether bytes of a response are read ahead.

    :param held: all that is held; looked through only beyond a limit.
    :param own: what is held for its request; may be among those to end.
    :param size: of the bytes.
    """
    if not own.count or fits_response(limits, totals, own, size):
        # The first bytes of a caller that has read all are never held up.
        return Bear()
    excess = find_excess(limits, totals, size)
    if excess <= 0:
        return Wait()
    ending = choose_to_end(held, excess, now)
    return GiveWay(ending) if ending else Wait()


def fits_response(
    limits: Limits, totals: HeldTotals, own: HeldBytes, size: int
) -> bool:
    """Tell whether bytes of a response keep to every limit."""
    return (
        own.count + size <= limits.request
        and totals.responses + size <= limits.responses
        and totals.total + size <= limits.total
    )


def find_excess(limits: Limits, totals: HeldTotals, size: int) -> int:
    """Return by how much more bytes of responses exceed the limits.

    Zero or negative if they don't.
    """
    return max(
        totals.responses + size - limits.responses,
        totals.total + size - limits.total,
    )


def choose_to_end(
    held: Iterable[HeldBytes], excess: int, now: Millis
) -> tuple[HeldBytes, ...]:
    """Return the responses that give way; empty if all callers read.

    The longest unread for the most bytes go first, until the excess is gone.
    """
    unread = [
        each
        for each in held
        if each.holding is Holding.RESPONSE
        and each.count
        and now - each.since >= READING_TIME
    ]
    unread.sort(key=lambda each: each.count * (now - each.since), reverse=True)
    ending: list[HeldBytes] = []
    freed = 0
    for each in unread:
        if freed >= excess:
            break
        ending.append(each)
        freed += each.count
    return tuple(ending)


def decide_body(
    limits: Limits, totals: HeldTotals, own: HeldBytes, size: int
) -> BodyDecision:
    """Decide whether a body is accepted, before it is read.

    :param own: what of the body has been read or announced already.
    :param size: bytes that are to come, or came beyond the announced ones.
    """
    favoured = own.count or size <= limits.small_body
    limit = limits.total if favoured else limits.bodies
    fits = totals.total + size <= limit
    if fits or not size or totals.bodies + size <= limits.own_bodies:
        return Bear()
    return RefuseBody(_BODY_WAIT)


def decide_readiness(
    readiness: Readiness, limits: Limits, totals: HeldTotals, now: Millis
) -> Readiness:
    """Return whether new connections are taken."""
    if not readiness.ready:
        absent = now - readiness.since
        if absent < _LONGEST_ABSENCE and (
            totals.total > limits.total * _LOW_MARK
        ):
            return readiness
        return Readiness(
            since=now, rested_until=now + _REST_RATIO * max(absent, SECOND_MS)
        )
    high = totals.total >= limits.total * _HIGH_MARK
    if high and now >= readiness.rested_until:
        return Readiness(ready=False, since=now)
    return readiness
