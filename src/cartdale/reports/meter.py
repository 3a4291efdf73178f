"""Measure one answer while it is delivered."""

from cartdale.clock import Millis
from cartdale.reports.types import (
    STALL_AFTER_MS,
    AnswerMeasured,
    Outcome,
)


class StreamMeter:
    """Follow the arrival of one answer's tokens.

    :param asked_at: arrival of the request, monotonic milliseconds.
    :param slow_after: objective between tokens, milliseconds.
    """

    def __init__(
        self, service: str, customer: str, asked_at: Millis, slow_after: Millis
    ) -> None:
        self._service = service
        self._customer = customer
        self._asked_at = asked_at
        self._slow_after = slow_after
        self._last_at: Millis = 0
        self._first_token_ms: Millis = 0
        self._stall_ms: Millis = 0
        self._slow_gaps = 0
        self._tokens = 0
        self.preemptions = 0

    def note(self, tokens: int, now: Millis) -> Millis:
        """Count tokens that arrived together.

        :returns: the gap before them; 0 for the first ones.
        """
        gap = 0
        if self._tokens:
            gap = now - self._last_at
            self._note_gap(gap)
        else:
            self._first_token_ms = max(1, now - self._asked_at)
        self._tokens += tokens
        self._last_at = now
        return gap

    def finish(self, outcome: Outcome) -> AnswerMeasured:
        """Summarise the answer."""
        return AnswerMeasured(
            service=self._service,
            customer=self._customer,
            outcome=outcome,
            tokens=self._tokens,
            first_token_ms=self._first_token_ms,
            stall_ms=self._stall_ms,
            slow_gaps=self._slow_gaps,
            preemptions=self.preemptions,
        )

    def _note_gap(self, gap: Millis) -> None:
        if gap > self._slow_after:
            self._slow_gaps += 1
        if gap > STALL_AFTER_MS:
            self._stall_ms += gap
