"""Find out whether a run that seems over goes on from its backup.

A backup is kept until its run has ended well. An engine that closed a stream
early, and lives, looks like one that completed it; its backup does not.
"""

from enum import StrEnum
from functools import partial

from loguru import logger

from cartdale.clock import Millis
from cartdale.fleet.departures import is_other_incarnation
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Lifecycle, UpstreamEntry
from cartdale.relay.attempts import time_left
from cartdale.relay.decide import AttemptState
from cartdale.relay.end_habits import UnprovedEnd
from cartdale.relay.end_proof import UNPROVED, EndProof
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import MAX_SOUND_SILENCE, RoutedRequest

#: Longest wait for the engine of a backup to go on with a run. A whole response
#: waits for it if that engine does not answer; one without a copy refuses soon.
QUESTION_TIME: Millis = MAX_SOUND_SILENCE
#: Time that the question may take with the order to stop the run at its source.
_TIME_NEEDED: Millis = 2 * MAX_SOUND_SILENCE


class BackupAnswer(StrEnum):
    """What the engine of a backup says when it is asked to go on with a run."""

    #: The run goes on there: it was not over.
    GOES_ON = 'goes on'
    #: It keeps no copy: the run is over, or the copy was lost.
    NO_COPY = 'no copy'
    #: It is not reached, wants rest, or may not be asked.
    NOT_TOLD = 'not told'
    #: It did not answer in time, and may go on with the run.
    NONE = 'none'


async def find_rest(
    ports: RelayPorts, routed: RoutedRequest, generation: RunningGeneration
) -> UpstreamEntry | None:
    """Return the engine at which a run that seems over may go on, if any.

    It is first stopped at its source, where it may still run without its link.
    """
    if may_ask_backup(ports, routed, generation):
        return await generation.lose_link(outlived=True)
    return None


def may_ask_backup(
    ports: RelayPorts, routed: RoutedRequest, generation: RunningGeneration
) -> bool:
    """Tell whether the engine of a backup, if there is one, may be asked.

    Most runs that seem over are, so that it rejects most questions: one that
    limits its requests is not asked. Nor is that of a run which was resumed and
    made nothing more: two engines say then that nothing is left.
    """
    kept = ports.fleet.find(generation.backup)
    if kept is None or kept.rate_limit.limited:
        return False
    in_time = time_left(ports, routed) > _TIME_NEEDED
    return in_time and generation.link_events > 0


def has_nothing_left(
    generation: RunningGeneration, proof: EndProof, *, resumed: bool
) -> bool:
    """Tell whether a second run, whose engine serves on, had nothing to make.

    :param resumed: whether it began after an event that the caller had.
    """
    unproved = proof is EndProof.SERVED_ON
    return unproved and resumed and not generation.link_events


def note_proof(
    ports: RelayPorts, routed: RoutedRequest, proof: EndProof
) -> EndProof:
    """Note what of a stream without framing shows that it is complete."""
    ports.end_habits.note_proved(routed.service)
    return proof


def find_loss(
    ports: RelayPorts,
    routed: RoutedRequest,
    generation: RunningGeneration,
    upstream: UpstreamEntry | None,
    attempts: AttemptState,
) -> str:
    """Return why a run that seemed over is lost; empty if it is not.

    :param upstream: engine at which it may go on, if any.
    """
    if generation.ran_on:
        return 'its engine still ran it'
    if upstream is not None:
        return ''
    if generation.source_silent:
        return 'its engine answers no more'
    if generation.backup_lost and _may_rerun(attempts):
        return 'its backup was lost'
    if judge_unproved(ports, routed, generation):
        return ''
    return UNPROVED


def is_unproved(
    answer: BackupAnswer, attempts: AttemptState, generation: RunningGeneration
) -> bool:
    """Tell whether a run that its backup did not continue may not be over.

    :param answer: what the engine of its backup said.
    """
    match answer:
        case BackupAnswer.NO_COPY:
            return False
        case BackupAnswer.NOT_TOLD:
            return _may_rerun(attempts) or generation.source_silent
    return True


def conclude_rest(
    ports: RelayPorts,
    routed: RoutedRequest,
    generation: RunningGeneration,
    attempts: AttemptState,
    answer: BackupAnswer,
) -> EndProof:
    """Return what shows that a run which its backup did not continue is over.

    :param answer: what the engine of its backup said.
    """
    if is_unproved(answer, attempts, generation):
        return EndProof.NONE
    keeps_copies = ports.end_habits.keeps_copies(routed.service)
    if answer is BackupAnswer.NO_COPY and keeps_copies:
        return note_proof(ports, routed, EndProof.NO_COPY)
    if judge_unproved(ports, routed, generation, answer):
        return EndProof.SERVED_ON
    return EndProof.NONE


def judge_unproved(
    ports: RelayPorts,
    routed: RoutedRequest,
    generation: RunningGeneration,
    answer: BackupAnswer | None = None,
) -> bool:
    """Tell whether a stream of which nothing shows its end counts as complete.

    It does unless the streams of its service rarely end so. It is logged
    either way.

    :param answer: what the engine of its backup said, if it was asked.
    """
    now = ports.clock.now()
    whole = not ports.end_habits.expects_proof(
        routed.service, now, partial(_lives_on, ports.fleet)
    )
    known = ports.fleet.find(generation.upstream)
    if known is not None:
        ports.end_habits.note_unproved(UnprovedEnd(known.entry, now))
    kept = 'not asked' if generation.backup else 'never had'
    if generation.backup_lost:
        kept = 'lost'
    logger.warning(
        'end not proved',
        request=generation.request_id,
        upstream=generation.upstream,
        events=generation.events,
        backup=answer or kept,
        whole=whole,
    )
    return whole


def _lives_on(fleet: Fleet, upstream: UpstreamEntry) -> bool:
    """Tell whether an engine is listed as before, and not as leaving."""
    known = fleet.find(upstream.upstream)
    if known is None or known.lifecycle is Lifecycle.LEAVING:
        return False
    return not is_other_incarnation(upstream.born, known)


def _may_rerun(attempts: AttemptState) -> bool:
    """Tell whether a request may run again after the current attempt."""
    return attempts.repeatable and attempts.allows_another
