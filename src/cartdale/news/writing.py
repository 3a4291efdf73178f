"""Write this instance's news: what it has running and what it knows."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.codec import encode_binary
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Lifecycle, UpstreamEntry
from cartdale.news.types import LoadNews, PeerEntry
from cartdale.peers.seal import Envelope, Seal

NEWS_KIND = LoadNews.__name__
_EVERYBODY = '*'
#: Upstreams that left, and those that changed, are told about for so long.
_LEAVING_TOLD: Millis = 3 * SECOND_MS
_CHANGED_TOLD: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _Content:
    """Tell apart what is worth a message before its time."""

    loads: int
    version: int
    lifecycles: int
    lost: bool


class NewsWriter:
    """Write messages from what this instance's fleet holds.

    :param own: how this instance is reached.
    :param is_watcher: tells whether this instance follows the store for the
        others, and so tells them of new entries.
    :param store_lost: tells whether the store does not answer here.
    """

    def __init__(
        self,
        own: PeerEntry,
        fleet: Fleet,
        clock: Clock,
        is_watcher: Callable[[], bool],
        store_lost: Callable[[], bool],
    ) -> None:
        self._own = own
        self._fleet = fleet
        self._clock = clock
        self._is_watcher = is_watcher
        self._store_lost = store_lost
        self._boot = clock.wall()
        self._number = 0
        self._told = _Content(-1, -1, -1, lost=False)

    def has_new(self) -> bool:
        """Tell whether there is something that was not written yet."""
        return self._told != self._newest()

    def write(self, seal: Seal) -> bytes:
        """Return the next message, sealed."""
        self._number += 1
        self._told = self._newest()
        news = LoadNews(
            boot=self._boot,
            number=self._number,
            version=self._fleet.table.version,
            peer=self._own,
            loads_by_upstream=self._fleet.loads.own(shared=True),
            leaving=self._list_leaving(),
            entries=self._list_changed(),
            store_lost=self._store_lost(),
        )
        envelope = Envelope(
            sender=self._own.name,
            recipient=_EVERYBODY,
            kind=NEWS_KIND,
            wall_ms=self._clock.wall(),
            body=msgspec.Raw(encode_binary(news)),
        )
        return seal.close(envelope)

    def _newest(self) -> _Content:
        return _Content(
            self._fleet.loads.version,
            self._fleet.table.version,
            self._fleet.lifecycles if self._is_watcher() else 0,
            lost=self._store_lost(),
        )

    def _list_leaving(self) -> tuple[str, ...]:
        now = self._clock.now()
        return tuple(
            name
            for name, upstream in self._fleet.state.upstreams_by_id.items()
            if upstream.lifecycle is Lifecycle.LEAVING
            and now - upstream.changed_at <= _LEAVING_TOLD
        )

    def _list_changed(self) -> tuple[UpstreamEntry, ...]:
        """Return new entries, if this instance tells them to the others."""
        if not self._is_watcher():
            return ()
        now = self._clock.now()
        return tuple(
            upstream.entry
            for upstream in self._fleet.state.upstreams_by_id.values()
            if upstream.lifecycle is Lifecycle.LIVE
            and now - upstream.changed_at <= _CHANGED_TOLD
        )
