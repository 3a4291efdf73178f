"""Count the requests of one connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

#: Between looks at whether each request has a response.
_LOOK_SECONDS = 0.01


@dataclass(slots=True)
class RequestCounts:
    """Count what an application was handed, until it has ended.

    :param begun: requests that it was ever handed.
    :param running: those that it has not ended.
    :param unanswered: those without a whole response, or the begin of one
        whose length is not known.
    """

    begun: int = 0
    running: int = 0
    unanswered: int = 0

    @contextmanager
    def count(self) -> Iterator['ResponseNote']:
        """Count one request while the context is open."""
        self.begun += 1
        self.running += 1
        self.unanswered += 1
        response = ResponseNote(self)
        try:
            yield response
        finally:
            response.note()
            self.running -= 1

    async def await_responses(self) -> None:
        """Wait until all requests are answered.

        Requests that were just read reach the application in the next passes
        of the loop.
        """
        await trio.sleep(_LOOK_SECONDS)
        while self.unanswered:
            await trio.sleep(_LOOK_SECONDS)

    async def await_ends(self) -> None:
        """Wait until the application has ended all requests."""
        while self.running:
            await trio.sleep(_LOOK_SECONDS)


@dataclass(slots=True)
class ResponseNote:
    """Note once that a request is answered, or never will be.

    :param counts: where the request is counted.
    """

    counts: RequestCounts
    noted: bool = False

    def note(self) -> None:
        """Count the request as answered."""
        if not self.noted:
            self.noted = True
            self.counts.unanswered -= 1
