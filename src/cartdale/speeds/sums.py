"""Hold the observed times of upstreams, own and peers'."""

from collections import deque
from collections.abc import Collection, Iterable
from statistics import median_low

from cartdale.clock import MINUTE_MS, Millis
from cartdale.speeds.lasting import (
    MAX_WEIGHT,
    ORDINARY,
    Reports,
    bound_weight,
    fade_weight,
    find_left,
    is_plausible,
    merge,
)
from cartdale.speeds.types import Observations, SpeedSums

#: Name under which the observations of this instance are kept.
OWN = ''
#: The observations of a peer count for this long after it last told them. They
#: describe upstreams, and stay true when the peer falls silent or ends; they
#: lose weight meanwhile as all do.
_KEPT: Millis = 2 * MINUTE_MS
#: Number of own observations at an upstream of which the median is taken.
_MAX_LAST = 32
#: Weight below which observations are not told.
_MIN_WEIGHT = 0.1 * ORDINARY
#: Time after which unchanged sums are told again, as messages may be lost.
_TOLD_AGAIN: Millis = MINUTE_MS // 4
#: Change of a weight or of a mean that is told at the next opportunity.
_WEIGHT_CHANGE = 0.3
_MEAN_CHANGE = 0.05


#: When something was observed, and the time that it took.
_Seen = tuple[Millis, float]


class _TimedSums:
    """Sums, when they were as they are, and how many instances saw them."""

    __slots__ = ('at', 'instances', 'sums')

    def __init__(self, sums: SpeedSums, at: Millis, instances: int = 1) -> None:
        self.sums = sums
        self.at = at
        self.instances = instances

    def fade(self, now: Millis) -> SpeedSums:
        """Return the sums as they count now."""
        times = fade_weight(self.sums.times, now - self.at)
        return SpeedSums(self.sums.incarnation, times)


class SumsTable:
    """Hold the sums by upstream and observer."""

    def __init__(self) -> None:
        self._observers_by_upstream: dict[str, dict[str, _TimedSums]] = {}
        self._changed: set[str] = set()
        #: When this instance observed what, last.
        self._last_by_upstream: dict[str, deque[_Seen]] = {}

    def add(self, upstream: str, observed: SpeedSums, now: Millis) -> None:
        """Add observations of this instance.

        The median of the last ones counts for all, as some generations lie in
        slow moments as a whole.
        """
        observers = self._observers_by_upstream.setdefault(upstream, {})
        known = observers.get(OWN)
        if known and known.sums.incarnation != observed.incarnation:
            self._last_by_upstream.pop(upstream, None)
            known = None
        weight = observed.times.weight
        if known is not None:
            weight += known.fade(now).times.weight
        weight = min(weight, MAX_WEIGHT)
        last = self._last_by_upstream.setdefault(
            upstream, deque(maxlen=_MAX_LAST)
        )
        last.append((now, observed.times.mean))
        while now - last[0][0] > _KEPT:
            last.popleft()
        middle = median_low([mean for _, mean in last])
        added = Observations(weight * middle, weight)
        observers[OWN] = _TimedSums(SpeedSums(observed.incarnation, added), now)
        self._changed.add(upstream)

    def receive(
        self,
        observer: str,
        upstream: str,
        told: SpeedSums,
        instances: int,
        now: Millis,
    ) -> bool:
        """Replace the sums of a peer; return whether they are plausible.

        :param instances: number of instances that observed them.
        """
        if not is_plausible(told.times):
            return False
        observers = self._observers_by_upstream.setdefault(upstream, {})
        self._changed.add(upstream)
        bounded = bound_weight(told.times, MAX_WEIGHT * instances)
        counted = SpeedSums(told.incarnation, bounded)
        observers[observer] = _TimedSums(counted, now, instances)
        return True

    def merge(self, upstream: str, now: Millis) -> Observations:
        """Merge what all observed at an upstream."""
        observers = self._observers_by_upstream.get(upstream, {})
        return _merge(observers.values(), now)

    def take_changed(self) -> set[str]:
        """Return the upstreams whose sums changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def merge_sums(
        self, upstream: str, observers: Iterable[str], now: Millis
    ) -> SpeedSums | None:
        """Merge what some observers told of an upstream; ``None`` if nothing.

        :param observers: their names.
        """
        by_name = self._observers_by_upstream.get(upstream, {})
        known = [by_name[name] for name in observers if name in by_name]
        if not known:
            return None
        if len(known) == 1:
            return known[0].fade(now)
        return SpeedSums(
            max(timed.sums.incarnation for timed in known),
            _merge(known, now),
        )

    def find_own_share(self, upstream: str, now: Millis) -> float:
        """Return the share of the weight that is this instance's, 0 to 1."""
        observers = self._observers_by_upstream.get(upstream, {})
        weights_by_observer = {
            name: timed.fade(now).times.weight
            for name, timed in observers.items()
        }
        total = sum(weights_by_observer.values())
        return weights_by_observer.get(OWN, 0) / total if total else 0

    def list_upstreams(self) -> Collection[str]:
        """Return the upstreams of which anything is known."""
        return self._observers_by_upstream.keys()

    def forget(self, upstream: str) -> None:
        """Drop all observations of an upstream that restarted or ended."""
        self._observers_by_upstream.pop(upstream, None)
        self._last_by_upstream.pop(upstream, None)
        self._changed.add(upstream)

    def expire(self, now: Millis) -> None:
        """Drop what was not told again for long."""
        for upstream, observers in tuple(self._observers_by_upstream.items()):
            old = [
                name
                for name, timed in observers.items()
                if now - timed.at > _KEPT
            ]
            if len(old) == len(observers):
                self.forget(upstream)
                continue
            for name in old:
                self._changed.add(upstream)
                observers.pop(name)


def _merge(observers: Iterable[_TimedSums], now: Millis) -> Observations:
    reports = Reports()
    for timed in observers:
        left = find_left(now - timed.at)
        reports.add(timed.sums.times, left, timed.instances)
    return merge(reports)


class FadingTimes:
    """Hold merged times by upstream, which count less as time passes."""

    def __init__(self) -> None:
        self._times_by_upstream: dict[str, tuple[Observations, Millis]] = {}

    def put(self, upstream: str, merged: Observations, now: Millis) -> None:
        """Replace the times of an upstream."""
        if merged.weight:
            self._times_by_upstream[upstream] = (merged, now)
        else:
            self.forget(upstream)

    def at(self, upstream: str, now: Millis) -> Observations:
        """Return the times of one upstream as they count now."""
        merged, at = self._times_by_upstream.get(
            upstream, (Observations(), now)
        )
        return fade_weight(merged, now - at)

    def list_all(self, now: Millis) -> dict[str, Observations]:
        """Return the times as they count now, by upstream."""
        return {
            upstream: fade_weight(merged, now - at)
            for upstream, (merged, at) in self._times_by_upstream.items()
        }

    def forget(self, upstream: str) -> None:
        """Drop the times of an upstream."""
        self._times_by_upstream.pop(upstream, None)


class ToldSums:
    """Select the sums that are worth telling.

    :param interval: minimum time between two selections.
    :param most: maximum number of upstreams in one.
    """

    def __init__(self, interval: Millis, most: int) -> None:
        self._interval = interval
        self._most = most
        self._selected_at: Millis | None = None
        self._told_by_upstream: dict[str, _TimedSums] = {}

    def is_due(self, now: Millis) -> bool:
        """Tell whether the interval has passed."""
        last = self._selected_at
        return last is None or now - last >= self._interval

    def select(
        self, sums_by_upstream: dict[str, SpeedSums], now: Millis
    ) -> dict[str, SpeedSums]:
        """Return the sums to tell now, with rounded figures.

        If there are too many, those that were not told for longest go first.
        """
        self._selected_at = now
        worth: list[tuple[Millis, str]] = []
        for upstream, sums in sums_by_upstream.items():
            told = self._told_by_upstream.get(upstream)
            known = sums.times.weight >= _MIN_WEIGHT
            if known and _is_worth(sums, told, now):
                worth.append((told.at if told else -1, upstream))
        if len(worth) > self._most:
            worth.sort()
        chosen: dict[str, SpeedSums] = {}
        for _, upstream in worth[: self._most]:
            chosen[upstream] = _round(sums_by_upstream[upstream])
            self._told_by_upstream[upstream] = _TimedSums(
                sums_by_upstream[upstream], now
            )
        return chosen

    def forget(self, upstream: str) -> None:
        """Forget what was told of an upstream that restarted or ended."""
        self._told_by_upstream.pop(upstream, None)


def _is_worth(sums: SpeedSums, told: _TimedSums | None, now: Millis) -> bool:
    """Tell whether sums differ enough from those that peers know."""
    if told is None or told.sums.incarnation != sums.incarnation:
        return True
    if now - told.at >= _TOLD_AGAIN:
        return True
    before = told.fade(now).times
    weight = abs(sums.times.weight - before.weight)
    mean = abs(sums.times.mean - before.mean)
    return (
        weight > _WEIGHT_CHANGE * before.weight
        or mean > _MEAN_CHANGE * before.mean
    )


def _round(sums: SpeedSums) -> SpeedSums:
    """Round the figures, which whole numbers keep short on the wire."""
    weight = max(round(sums.times.weight), 1)
    total = max(round(weight * sums.times.mean), 1)
    return SpeedSums(sums.incarnation, Observations(total, weight))
