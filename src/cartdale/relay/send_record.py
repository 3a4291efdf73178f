"""Record of where a request was sent, and on what grounds.

A request that must run once may reach another upstream only if it certainly did
not run before, or if the other upstream continues the same run. Every send
passes its permit just before its first byte leaves.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import assert_never

from loguru import logger

from cartdale.invariants import AT_MOST_ONCE, check_invariant
from cartdale.quarantine.decide import EVENTS_PAST_START


class NoRunProof(StrEnum):
    """Proof that a send did not make the upstream run the request."""

    #: The upstream promises that it did not run the request and never will.
    DECLINED = 'declined'
    #: Nothing of the request left, neither here nor at an intermediary.
    NOTHING_SENT = 'nothing_sent'


@dataclass(frozen=True, slots=True)
class NewRun:
    """The upstream runs the request by itself."""


@dataclass(frozen=True, slots=True)
class ConfirmedCopy:
    """The upstream continues a run whose copy an engine has confirmed.

    :param handle: handle of the copy, from the engine's response.
    """

    handle: str


@dataclass(frozen=True, slots=True)
class StartedBackup:
    """The upstream continues a run from its backup, or does not run it.

    Nobody confirms what a backup holds: an upstream without one refuses. A run
    that got past its start shows that the request does not end upstreams, and
    so does an upstream that lives on.

    :param received: number of events received from the run.
    :param outlived: whether its upstream was seen to live on after it.
    """

    received: int
    outlived: bool = False


SendGrounds = NewRun | ConfirmedCopy | StartedBackup


@dataclass(frozen=True, slots=True)
class SendState:
    """Count the runs of one request.

    :param may_run: maximum number of runs.
    :param runs: number of runs that sends may have caused.
    """

    may_run: int
    runs: int = 0


def find_objection(state: SendState, grounds: SendGrounds) -> str:
    """Return why a request must not be sent; empty if it may be."""
    match grounds:
        case NewRun():
            exhausted = state.runs >= state.may_run
            return f'{state.runs} runs may exist' if exhausted else ''
        case ConfirmedCopy(handle=handle):
            return '' if state.runs and handle else 'no run was copied'
        case StartedBackup(received=received, outlived=outlived):
            harmless = received > EVENTS_PAST_START or outlived
            return (
                '' if state.runs and harmless else 'no run got past its start'
            )
        case _:
            assert_never(grounds)


def count_send(state: SendState, grounds: SendGrounds) -> SendState:
    """Return the state after a send; one that continues a run adds none."""
    if isinstance(grounds, NewRun):
        return replace(state, runs=state.runs + 1)
    return state


def retract_send(state: SendState, grounds: SendGrounds) -> SendState:
    """Return the state after proof that a send caused no run."""
    if isinstance(grounds, NewRun):
        return replace(state, runs=state.runs - 1)
    return state


class SendPermit:
    """Permit one send, on grounds that are checked as it begins.

    :param record: record of the request.
    """

    def __init__(self, record: 'SendRecord', grounds: SendGrounds) -> None:
        self._record = record
        self._grounds = grounds
        #: Whether the request may have left.
        self.used = False

    def __str__(self) -> str:
        """Return the name of the grounds, for logs."""
        return type(self._grounds).__name__

    @property
    def is_barred(self) -> bool:
        """Tell whether the request may be sent to no upstream.

        Time to its end is asked for only while it may be refused.
        """
        if self._record.is_barred():
            return True
        is_first = isinstance(self._grounds, NewRun) and not self._record.runs
        return is_first and not self._record.ends_in_time()

    def use(self) -> None:
        """Count the send, just before the first byte leaves.

        :raises InvariantError: if the request must not be sent.
        """
        self._record.begin(self._grounds, repeated=self.used)
        self.used = True

    def retract(self, proof: NoRunProof) -> None:
        """Note that the upstream did not run the request."""
        if not self.used:
            return
        self.used = False
        self._record.retract(self._grounds, proof)


class SendRecord:
    """Keep account of the sends of one request.

    :param request_id: the caller's id of the request.
    :param may_run: maximum number of runs.
    :param is_barred: returns whether it may be sent to no upstream.
    :param ends_in_time: returns whether it ends before this instance does.
    """

    def __init__(
        self,
        request_id: str,
        may_run: int,
        is_barred: Callable[[], bool],
        ends_in_time: Callable[[], bool],
    ) -> None:
        self._request_id = request_id
        self.is_barred = is_barred
        self.ends_in_time = ends_in_time
        self._state = SendState(may_run)

    @property
    def runs(self) -> int:
        """Return how many runs of the request may exist."""
        return self._state.runs

    def permit(self, grounds: SendGrounds) -> SendPermit:
        """Return a permit for one send."""
        return SendPermit(self, grounds)

    def begin(self, grounds: SendGrounds, *, repeated: bool) -> None:
        """Count a send.

        :param repeated: whether the same permit was used before.
        :raises InvariantError: if the request must not be sent.
        """
        objection = find_objection(self._state, grounds)
        if repeated:
            objection = 'it may have been sent already'
        check_invariant(
            AT_MOST_ONCE,
            holds=not objection,
            detail=f'{self._request_id}: {objection}',
        )
        self._state = count_send(self._state, grounds)

    def retract(self, grounds: SendGrounds, proof: NoRunProof) -> None:
        """Note that a send caused no run."""
        self._state = retract_send(self._state, grounds)
        logger.info(
            'send retracted',
            request=self._request_id,
            grounds=type(grounds).__name__,
            proof=proof,
            runs=self.runs,
        )
