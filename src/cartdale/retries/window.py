"""Budget repeats by what was sent in a sliding window.

The bound holds for all instances together and there is no central counter:
each takes the ratio of its own requests, and an equal part of the slack.
"""

from collections import deque

from cartdale.clock import Millis

#: Part of the bound that is used; windows elsewhere lie a little otherwise.
_USED_SHARE = 0.8


class RepeatWindow:
    """Count the requests and repeats of one service at one instance.

    :param ratio: repeats allowed for each request.
    :param span: length of the window, in milliseconds.
    """

    def __init__(self, ratio: float, span: Millis) -> None:
        self._ratio = ratio
        self._span = span
        self._requests: deque[Millis] = deque()
        self._repeats: deque[Millis] = deque()

    def count(self, now: Millis) -> None:
        """Count a first send."""
        self._forget(now)
        self._requests.append(now)

    def withdraw(self, slack: float, now: Millis) -> bool:
        """Pay for a repeat, if the window allows one.

        :param slack: repeats allowed on top of the ratio.
        """
        self._forget(now)
        allowed = self._ratio * len(self._requests) + slack
        if len(self._repeats) + 1 > _USED_SHARE * allowed:
            return False
        self._repeats.append(now)
        return True

    def bound(self, ratio: float, span: Millis) -> None:
        """Change the bound; what was counted stays."""
        self._ratio = ratio
        self._span = span

    def _forget(self, now: Millis) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._span:
                times.popleft()


class RepeatBudget:
    """Hold the windows of all services at one instance.

    :param slack: repeats allowed on top, in all instances together.
    """

    def __init__(self, ratio: float, slack: float, span: Millis) -> None:
        self._ratio = ratio
        self._slack = slack
        self._span = span
        self._windows_by_service: dict[str, RepeatWindow] = {}
        #: Instances that share the slack, this one included.
        self.participant_count = 1

    def count(self, service: str, now: Millis) -> None:
        """Count a first send to a service."""
        self._window(service).count(now)

    def withdraw(self, service: str, now: Millis) -> bool:
        """Pay for a repeat at a service, if the budget allows one."""
        return self._window(service).withdraw(
            self._slack / max(self.participant_count, 1), now
        )

    def bound(self, ratio: float, slack: float, span: Millis) -> None:
        """Change the bound; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._span = span
        for window in self._windows_by_service.values():
            window.bound(ratio, span)

    def _window(self, service: str) -> RepeatWindow:
        return self._windows_by_service.setdefault(
            service, RepeatWindow(self._ratio, self._span)
        )
