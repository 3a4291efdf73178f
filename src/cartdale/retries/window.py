"""Limit repeats in proportion to the requests in a sliding window.

The limit applies to all instances together, without a central counter: each
instance applies the ratio to its own requests and gets an equal share of
the slack.
"""

from collections import deque

from cartdale.clock import Millis

#: Usable share of the limit, since the windows of other instances are offset.
_USED_SHARE = 0.8


class RepeatWindow:
    """Requests and repeats of one service at one instance.

    :param ratio: repeats allowed per request.
    :param span: length of the window, in milliseconds.
    """

    def __init__(self, ratio: float, span: Millis) -> None:
        self._ratio = ratio
        self._span = span
        self._requests: deque[Millis] = deque()
        self._repeats: deque[Millis] = deque()

    def count(self, now: Millis) -> None:
        """Count the first send of a request."""
        self._drop_expired(now)
        self._requests.append(now)

    def withdraw(self, slack: float, now: Millis) -> bool:
        """Count a repeat and return ``True``, if the window allows one.

        :param slack: repeats allowed in addition to the ratio.
        """
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + slack
        if len(self._repeats) + 1 > _USED_SHARE * allowed:
            return False
        self._repeats.append(now)
        return True

    def bound(self, ratio: float, span: Millis) -> None:
        """Change the limit; keep the counts."""
        self._ratio = ratio
        self._span = span

    def _drop_expired(self, now: Millis) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._span:
                times.popleft()


class RepeatBudget:
    """Windows of all services at one instance.

    :param slack: additional repeats allowed, for all instances together.
    """

    def __init__(self, ratio: float, slack: float, span: Millis) -> None:
        self._ratio = ratio
        self._slack = slack
        self._span = span
        self._windows_by_service: dict[str, RepeatWindow] = {}
        #: Instances that share the slack, this one included.
        self.participant_count = 1

    def count(self, service: str, now: Millis) -> None:
        """Count the first send of a request to a service."""
        self._window(service).count(now)

    def withdraw(self, service: str, now: Millis) -> bool:
        """Count a repeat and return ``True``, if the budget allows one."""
        return self._window(service).withdraw(
            self._slack / max(self.participant_count, 1), now
        )

    def bound(self, ratio: float, slack: float, span: Millis) -> None:
        """Change the limit; keep the counts."""
        self._ratio = ratio
        self._slack = slack
        self._span = span
        for window in self._windows_by_service.values():
            window.bound(ratio, span)

    def _window(self, service: str) -> RepeatWindow:
        return self._windows_by_service.setdefault(
            service, RepeatWindow(self._ratio, self._span)
        )
