"""Withhold requests that upstreams no longer accept."""

from loguru import logger

from cartdale.clock import Millis
from cartdale.detours.types import UpstreamRequest
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.relay.send_record import NoRunProof, SendPermit


class WithheldError(Exception):
    """Raised to abort a request before any of it is sent.

    :param backoff: time for which the upstream accepts nothing from whom the
        request would go through; 0 if it is withheld for another reason.
    """

    def __init__(self, reason: str, backoff: Millis = 0) -> None:
        super().__init__(reason)
        self.backoff = backoff


class UnwritableError(WithheldError):
    """Raised for a request that no upstream can be sent.

    :param part: the part of its head that can't be written.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f'its head can not be written: {part}')
        self.part = part


class SendGuard:
    """Abort a request which must no longer be sent.

    :param permit: permits the send; ``None`` if that was checked by another
        instance, which this one carries the request for.
    :param counted: whether the request is counted by the bounds on the rate of
        its upstream already, by another instance or by an earlier connection.
    """

    def __init__(
        self,
        advisories: AdvisoryRecorder,
        request: UpstreamRequest,
        permit: SendPermit | None = None,
        *,
        counted: bool = False,
    ) -> None:
        self._advisories = advisories
        self._request = request
        self._permit = permit
        self._counted = counted
        #: Time at which the request was sent, in monotonic milliseconds.
        self.sent_at: Millis = 0

    async def __call__(self) -> None:
        """Check the request just before it is sent over a connection.

        :raises WithheldError: if it must not be sent now.
        :raises InvariantError: if it may be running already.
        """
        if self._permit is not None and self._permit.is_barred:
            raise WithheldError('the request is quarantined, or too late')
        if self._advisories.must_withhold(
            self._request.upstream,
            resumes=self._request.resumes,
            counted=self._counted,
        ):
            raise WithheldError(
                'its upstream leaves, backs off or is limited',
                self._advisories.find_backoff(self._request.upstream),
            )
        if self._permit is not None:
            self._permit.use()
        self._counted = True
        self.sent_at = self._advisories.now()
        logger.info(
            'sending',
            request=self._request.request_id,
            upstream=self._request.upstream,
            grounds=str(self._permit or 'carried'),
            resumes=self._request.resumes,
        )

    def retract(self) -> None:
        """Note that nothing was sent to the upstream after all."""
        if self._permit is not None:
            self._permit.retract(NoRunProof.NOTHING_SENT)
