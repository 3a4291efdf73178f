"""Track the outcomes of one request's runs at one instance."""

from cartdale.clock import Millis
from cartdale.problems.types import NotRun
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import Fingerprint
from cartdale.quarantine.types import Crash, UpstreamEnded


class RunTracker:
    """Report the successive runs of a request to the quarantine.

    :param name: id of the request, for logs.
    """

    def __init__(
        self, quarantine: Quarantine, fingerprint: Fingerprint, name: str
    ) -> None:
        self._quarantine = quarantine
        self._fingerprint = fingerprint
        self._name = name
        self._sent_at: Millis = 0

    def find_refusal(self) -> NotRun | None:
        """Return the refusal of a quarantined request, otherwise ``None``."""
        return self._quarantine.find_refusal(self._fingerprint, self._name)

    def note_sent(self, now: Millis) -> None:
        """Record that a run was sent."""
        self._sent_at = now

    def note_lost(self, upstream: str, begun: int = 0) -> None:
        """Record that the run's upstream crashed.

        :param begun: number of tokens received; a run past its start is not
            counted as the cause.
        """
        crash = Crash(self._fingerprint.identity, upstream)
        ended = UpstreamEnded(
            crash,
            self._sent_at,
            begun=True,
            parts=self._fingerprint.parts,
        )
        self._quarantine.record_crash(ended, begun)

    def note_ran_on(self) -> None:
        """Record that the run got a response or is past its start."""
        self._quarantine.record_survival(self._fingerprint, self._sent_at)
