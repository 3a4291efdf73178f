"""Remember which services answer streams without framing."""

from cartdale.clock import MINUTE_MS, Millis

#: Time after such a stream for which its service is expected to go on so.
_REMEMBERED: Millis = 10 * MINUTE_MS


class UnframedServices:
    """Remember when each service last answered a stream without framing.

    The end of such a stream looks like a broken link, and only a backup tells
    whether its run is over. An engine is told to keep one as a run begins.
    """

    def __init__(self) -> None:
        self._seen_at_by_service: dict[str, Millis] = {}

    def note(self, service: str, now: Millis) -> None:
        """Note that a stream without framing began."""
        self._seen_at_by_service[service] = now

    def is_known(self, service: str, now: Millis) -> bool:
        """Tell whether a service's streams probably have no framing."""
        seen_at = self._seen_at_by_service.get(service)
        return seen_at is not None and now - seen_at <= _REMEMBERED
