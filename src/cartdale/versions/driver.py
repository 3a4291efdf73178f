"""Fetch the newest configuration from peers, or read it from the store."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.formatting import format_log_fields
from cartdale.news.types import PeerEntry
from cartdale.peers.client import PeerFailure, PeerUncertain
from cartdale.peers.documents import Document, decode_document
from cartdale.supervision import contain, keep_running, run_guarded
from cartdale.versions.decide import (
    READ_AFTER,
    decide,
    find_behind_for,
    find_next_step,
)
from cartdale.versions.types import (
    FellBehind,
    FetchDocument,
    FetchEnded,
    Message,
    ReadStore,
    StoreReadEnded,
    TimePassed,
    VersionReported,
    VersionState,
)

#: Maximum duration of a call for a document, and of a read of the store.
_FETCH_TIMEOUT: Millis = 2 * SECOND_MS
_READ_TIMEOUT: Millis = 2 * SECOND_MS
#: Minimum time between two checks whether a step is due.
_MIN_WAIT: Millis = 10


class Fetch(Protocol):
    """Request the document that a peer has in force."""

    async def __call__(
        self, peer: PeerEntry, *, may_wait: bool
    ) -> Result[Document, PeerFailure]:
        """Return the document, or from when on to ask again if it may wait."""


class VersionFollower:
    """Put the newest configuration in force that any peer reported.

    :param own: name of this instance.
    :param fetch: requests the document that a peer has in force.
    :param adopt: puts a document in force if it is newer than the current one,
        and returns its version; 0 if it can't be read.
    :param read_store: reads the document in the store, and puts it in force;
        returns whether the store responded.
    """

    def __init__(
        self,
        own: str,
        fleet: Fleet,
        clock: Clock,
        fetch: Fetch,
        adopt: Callable[[bytes], int],
        read_store: Callable[[], Awaitable[bool]],
    ) -> None:
        self._own = own
        self._fleet = fleet
        self._clock = clock
        self._fetch = fetch
        self._adopt = adopt
        self._read_store = read_store
        self._state = VersionState()
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def newest(self) -> int:
        """Return the newest version known: reported by a peer, or in force."""
        return max(self._state.newest, self._fleet.table.version)

    def behind_for(self) -> Millis:
        """Return for how long a version newer than the one in force is known.

        :returns: milliseconds; 0 if the newest known version is in force.
        """
        return find_behind_for(
            self._state, self._clock.now(), self._fleet.table.version
        )

    def is_behind(self) -> bool:
        """Return whether a version newer than the one in force is known."""
        return self.newest > self._fleet.table.version

    async def wait_for_newest(self) -> None:
        """Wait until the newest known version is in force.

        Returns early once peers should have provided it, since it may then
        take long.
        """
        left = READ_AFTER - self.behind_for()
        with trio.move_on_after(as_seconds(max(left, 0))):
            while self.is_behind():
                await self._fleet.changed()

    def report(self, report: VersionReported) -> None:
        """Apply a peer's report of the version that it has in force.

        Reports that arrive before :meth:`run` have no effect; live peers repeat
        theirs.
        """
        if self._nursery is not None:
            self._dispatch(report)

    async def run(self) -> None:
        """Fetch documents and read the store until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(
                keep_running, 'configuration versions', self._take_steps
            )

    async def _take_steps(self) -> None:
        while True:
            await self._wait_for_step()
            self._dispatch(TimePassed())

    async def _wait_for_step(self) -> None:
        await trio.sleep(as_seconds(_MIN_WAIT))
        next_step = find_next_step(self._state, self._own)
        if next_step is None:
            await self._changed.wait()
            return
        left = max(next_step - self._clock.now(), 0)
        with trio.move_on_after(as_seconds(left)):
            await self._changed.wait()

    def _dispatch(self, message: Message) -> None:
        assert self._nursery is not None, 'not running'
        now = self._clock.now()
        version = self._fleet.table.version
        after, actions = decide(self._state, message, now, version, self._own)
        self._state = after
        self._changed.set()
        self._changed = trio.Event()
        for action in actions:
            match action:
                case FellBehind(report=report):
                    logger.info(
                        'configuration behind',
                        newest=report.version,
                        version=version,
                        peer=report.peer.name,
                        source=report.source.value,
                        wait=report.wait,
                    )
                case FetchDocument():
                    self._nursery.start_soon(
                        run_guarded,
                        'configuration fetches',
                        self._fetch_document,
                        action,
                    )
                case ReadStore():
                    self._nursery.start_soon(
                        run_guarded, 'configuration reads', self._read
                    )

    async def _fetch_document(self, request: FetchDocument) -> None:
        """Fetch a document; whatever comes of that, others are asked next."""
        before = self._fleet.table.version
        retry_after: Millis = 0
        with contain('configuration fetches', peer=request.peer.name):
            retry_after = await self._try_to_fetch(request)
        newer = self._fleet.table.version > before
        self._dispatch(FetchEnded(request.peer.name, newer, retry_after))

    async def _try_to_fetch(self, request: FetchDocument) -> Millis:
        """Fetch a document and put it in force.

        :returns: from when on to ask the peer again; 0 if it is not busy.
        """
        peer = request.peer
        before = self._fleet.table.version
        began = self._clock.now()
        answer: Result[Document, PeerFailure] = Failure(
            PeerUncertain('no response in time')
        )
        with trio.move_on_after(as_seconds(_FETCH_TIMEOUT)):
            answer = await self._fetch(peer, may_wait=request.nearby)
        retry_after = answer.map(_get_retry_after).value_or(0)
        match answer.map(decode_document):
            case _ if retry_after:
                logger.info(
                    'configuration holder busy',
                    peer=peer.name,
                    newest=self.newest,
                    retry_after=retry_after,
                )
            case Success(Success(raw)):
                fetched = self._adopt(raw)
                self._log_fetched(peer, fetched, before, began)
            case Success(Failure(failure)) | Failure(failure):
                logger.info(
                    'configuration not fetched',
                    peer=peer.name,
                    newest=self.newest,
                    version=self._fleet.table.version,
                    took=self._clock.now() - began,
                    **format_log_fields('failure', failure),
                )
        return retry_after

    def _log_fetched(
        self, peer: PeerEntry, fetched: int, before: int, began: Millis
    ) -> None:
        event = 'configuration fetched'
        if fetched <= before:
            event = 'configuration not newer'
        logger.info(
            event,
            peer=peer.name,
            fetched=fetched,
            version=self._fleet.table.version,
            newest=self.newest,
            took=self._clock.now() - began,
        )

    async def _read(self) -> None:
        behind_for = self.behind_for()
        succeeded = False
        with trio.move_on_after(as_seconds(_READ_TIMEOUT)):
            with contain('configuration reads'):
                succeeded = await self._read_store()
        logger.info(
            'configuration read from store',
            succeeded=succeeded,
            behind_for=behind_for,
            newest=self.newest,
            version=self._fleet.table.version,
        )
        self._dispatch(StoreReadEnded(succeeded))


def _get_retry_after(document: Document) -> Millis:
    return document.retry_after
