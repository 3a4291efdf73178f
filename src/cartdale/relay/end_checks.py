"""Find out whether a response without framing is complete."""

from dataclasses import dataclass

import trio

from cartdale.clock import Millis, as_seconds
from cartdale.fleet.departures import is_other_incarnation
from cartdale.fleet.types import Lifecycle
from cartdale.relay.crash_probes import BrokenLink
from cartdale.relay.end_proof import (
    ENGINE_SETTLES,
    PLAIN_SETTLES,
    EndDoubt,
    EndedStream,
    EndProof,
    find_doubt,
    find_life_doubt,
    may_run_out,
)
from cartdale.relay.end_record import LinkEnd
from cartdale.relay.liveness import LifeCheck, LifeEvidence
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import MAX_SOUND_SILENCE

#: Pause before an upstream is asked again about which there is a doubt that
#: later reports and events may remove.
_ASK_AGAIN: Millis = 100
#: What later reports don't change: the other doubts may be of an old report, or
#: of an engine that has not begun its next work.
_FINAL_DOUBTS = frozenset(
    (
        EndDoubt.NONE,
        EndDoubt.NOT_ALIVE,
        EndDoubt.OTHER_PATH,
        EndDoubt.MORE_EVENTS,
    )
)


@dataclass(frozen=True, slots=True)
class EndCheck:
    """Result of a check.

    :param life: the check of the upstream that decided it.
    """

    doubt: EndDoubt
    life: LifeCheck

    @property
    def proof(self) -> EndProof:
        """Return what shows that the response is complete."""
        if self.doubt is EndDoubt.NONE:
            return EndProof.SERVED_ON
        return EndProof.NONE


async def check_plain_end(ports: RelayPorts, link: BrokenLink) -> EndCheck:
    """Check the end of a plain response: its service must serve on.

    A question that waits for a slot is not asked again: its connection ends
    with the service, while a new one may be another incarnation's.
    """
    settled_at = link.broke_at + PLAIN_SETTLES
    last_at = link.broke_at + MAX_SOUND_SILENCE
    while True:
        check = await _question_service(ports, link, last_at)
        now = ports.clock.now()
        if check.doubt is EndDoubt.NONE and now < settled_at:
            await trio.sleep(as_seconds(settled_at - now))
        elif now < last_at and not _is_final(check.doubt, link):
            await trio.sleep(as_seconds(_ASK_AGAIN))
        else:
            break
    if check.doubt is EndDoubt.NOT_ALIVE:
        ports.crash_prober.probe(link)
    return check


async def _question_service(
    ports: RelayPorts, link: BrokenLink, last_at: Millis
) -> EndCheck:
    """Ask a plain service.

    :param last_at: until when it may let the question wait.
    """
    upstream = link.upstream
    life = await ports.upstreams.check_life(
        upstream,
        ports.fleet.table.services_by_name.get(upstream.service),
        link.carrier,
        max(last_at - ports.clock.now(), 0),
    )
    doubt = find_life_doubt(life, link.carrier)
    known = ports.fleet.find(upstream.upstream)
    if known is not None and is_other_incarnation(upstream.born, known):
        doubt = EndDoubt.NOT_ALIVE
    if doubt is EndDoubt.NONE and life.evidence is LifeEvidence.OPEN_CONNECTION:
        doubt = EndDoubt.UNANSWERED
    return EndCheck(doubt, life)


def _is_final(doubt: EndDoubt, link: BrokenLink) -> bool:
    """Tell whether later reports don't remove a doubt.

    An instance that carried a response may have no capacity for the question.
    """
    if doubt is EndDoubt.OTHER_PATH and link.carrier:
        return False
    return doubt in _FINAL_DOUBTS


async def check_stream_end(
    ports: RelayPorts, link: BrokenLink, events: int, *, backed_up: bool = False
) -> EndCheck:
    """Check the end of a stream: its engine must serve on without it.

    :param events: number of events received, from all engines.
    :param backed_up: whether its backup will be asked too.
    """
    first = await ports.crash_prober.check(link, link.broke_at)
    doubt = find_life_doubt(first, link.carrier)
    if doubt is not EndDoubt.NONE and _is_final(doubt, link):
        return EndCheck(doubt, first)
    last_at = link.broke_at + MAX_SOUND_SILENCE
    settles = ENGINE_SETTLES
    while True:
        later = await _ask_later(ports, link, settles)
        end = EndedStream(
            link.request_id,
            link.broke_at,
            events,
            _is_leaving(ports, link),
            link.carrier,
        )
        around = ports.end_record.look_around(describe_end(link))
        doubt = find_doubt(end, first, later, around)
        now = ports.clock.now()
        sound = doubt is EndDoubt.NONE and not backed_up
        if sound and now < last_at and may_run_out(end, first, later, around):
            settles = MAX_SOUND_SILENCE
        elif now >= last_at or _is_final(doubt, link):
            return EndCheck(doubt, later)
        else:
            settles = now + _ASK_AGAIN - link.broke_at


def describe_end(link: BrokenLink) -> LinkEnd:
    """Return the end of a link as it is recorded."""
    return LinkEnd(
        link.upstream.upstream, link.request_id, link.broke_at, link.events
    )


async def _ask_later(
    ports: RelayPorts, link: BrokenLink, settles: Millis
) -> LifeCheck:
    """Ask an upstream some time after a link to it ended."""
    since = link.broke_at + settles
    await trio.sleep(as_seconds(max(since - ports.clock.now(), 0)))
    return await ports.crash_prober.check(link, since)


def _is_leaving(ports: RelayPorts, link: BrokenLink) -> bool:
    """Tell whether an upstream leaves, or has left."""
    known = ports.fleet.find(link.upstream.upstream)
    return known is None or known.lifecycle is Lifecycle.LEAVING
