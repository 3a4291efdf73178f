"""Watch how the runs of one request end, at one instance."""

from cartdale.clock import Millis
from cartdale.problems.types import NotRun
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.types import Crash, UpstreamEnded


class RunTracker:
    """Tell the quarantine of a request's runs, one after another.

    :param name: of the request, for logs.
    """

    def __init__(
        self, quarantine: Quarantine, identity: Identity, name: str
    ) -> None:
        self._quarantine = quarantine
        self._identity = identity
        self._name = name
        self._sent_at: Millis = 0

    def find_refusal(self) -> NotRun | None:
        """Return why the request is sent to no upstream, if it is not."""
        return self._quarantine.find_refusal(self._identity, self._name)

    def note_sent(self, now: Millis) -> None:
        """Note that a run begins."""
        self._sent_at = now

    def note_lost(self, upstream: str, begun: int = 0) -> None:
        """Note that the run's upstream ended.

        :param begun: tokens that had come; past its beginning the run did not
            end its upstream.
        """
        crash = Crash(self._identity, upstream)
        ended = UpstreamEnded(crash, self._sent_at, begun=True)
        self._quarantine.record_crash(ended, begun)

    def note_ran_on(self) -> None:
        """Note that the run was answered, or is past its beginning."""
        self._quarantine.record_survival(self._identity)
