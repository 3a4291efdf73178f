"""Log messages that are not applied or sent, without a line for each."""

from loguru import logger

from cartdale.clock import MINUTE_MS, Millis
from cartdale.formatting import format_error
from cartdale.news.types import NewsDropped
from cartdale.peers.authentication import Authenticator

#: Minimum time between two lines on datagrams that can't be verified, and
#: between two on those that can't be decoded, or sent to one peer.
_LOG_INTERVAL: Millis = MINUTE_MS


class DropLog:
    """Count and log the messages that are not applied or sent."""

    def __init__(self) -> None:
        #: Datagrams since the start that could not be verified.
        self.unverified = 0
        self._unverified_logged_at: Millis | None = None
        self._unreadable_logged_at: Millis | None = None
        #: Last sender's run by its name whose messages were logged as dropped.
        self._dropped_boots_by_name: dict[str, Millis] = {}
        #: When a failure to send was last logged, by the peer's name.
        self._not_sent_at_by_name: dict[str, Millis] = {}

    def log_dropped(self, dropped: NewsDropped) -> None:
        """Log once for each run of a sender that its messages are dropped."""
        if self._dropped_boots_by_name.get(dropped.sender) == dropped.boot:
            return
        self._dropped_boots_by_name[dropped.sender] = dropped.boot
        logger.warning(
            'news dropped as old',
            peer=dropped.sender,
            boot=dropped.boot,
            known_boot=dropped.known_boot,
        )

    def log_unreadable(
        self, sender: str, error: Exception, now: Millis
    ) -> None:
        """Log at times that a peer's messages can't be decoded."""
        logged_at = self._unreadable_logged_at
        if logged_at is not None and now - logged_at < _LOG_INTERVAL:
            return
        self._unreadable_logged_at = now
        logger.warning(
            'news not understood', peer=sender, detail=format_error(error)
        )

    def log_not_sent(self, peer: str, error: OSError, now: Millis) -> None:
        """Log at times that nothing can be sent to a peer."""
        logged_at = self._not_sent_at_by_name.get(peer)
        if logged_at is not None and now - logged_at < _LOG_INTERVAL:
            return
        self._not_sent_at_by_name[peer] = now
        logger.info('news not sent', peer=peer, detail=format_error(error))

    def log_unverified(
        self, authenticator: Authenticator | None, raw: bytes, now: Millis
    ) -> None:
        """Count a datagram that was not verified, and log that at times.

        :param authenticator: ``None`` while this instance has no key.
        """
        self.unverified += 1
        logged_at = self._unverified_logged_at
        if logged_at is not None and now - logged_at < _LOG_INTERVAL:
            return
        self._unverified_logged_at = now
        logger.warning(
            'news not verified',
            count=self.unverified,
            **_explain_rejection(authenticator, raw),
        )


def _explain_rejection(
    authenticator: Authenticator | None, raw: bytes
) -> dict[str, str | int]:
    if authenticator is None:
        return {'reason': 'no key is known yet'}
    genuine = authenticator.open(raw)
    if genuine is None:
        return {'reason': 'not signed with a known key'}
    return {
        'reason': 'clocks differ',
        'peer': genuine.sender,
        'sent_at': genuine.wall_ms,
    }
