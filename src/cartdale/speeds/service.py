"""Hold what is known of the speeds of the upstreams of one service."""

from collections.abc import Mapping
from typing import Any

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.speeds.decide import (
    LOAD_FRESH,
    ServiceTraits,
    TakenSample,
    believe,
    is_notable,
)
from cartdale.speeds.lasting import (
    ORDINARY,
    bound_change,
    bound_observation,
    find_factors,
    find_mean,
)
from cartdale.speeds.moments import MIN_LAG, MomentStatistics, MomentTraits
from cartdale.speeds.sums import FadingTimes, SumsTable
from cartdale.speeds.types import Observations, UpstreamSpeed

#: Time after its last report of a slowness for which a service counts as one
#: that reports it. Services that are in use report it many times a second.
_TOLD_KEPT: Millis = MINUTE_MS // 2
#: Time for which factors are reused, while little and while enough is known.
_FIRST_FACTORS_KEPT: Millis = SECOND_MS // 2
_FACTORS_KEPT: Millis = 2 * SECOND_MS
#: A belief is composed anew when its sample has aged by this share, and not
#: sooner than after this time.
_AGED_SHARE = 0.1
_MIN_BELIEF_KEPT: Millis = 20
#: Weight at an upstream from which enough is known.
_ENOUGH = 10 * ORDINARY
#: A sample is fresh while more than this share of its meaning is left.
_FRESH_SHARE = 0.5
#: Maximum number of changes that are logged at once.
_MAX_LOGGED = 5
_EXPIRY_INTERVAL: Millis = 10 * SECOND_MS
_ROUND_DIGITS = 2
#: Number of responses of a plain upstream for whose time its load counts.
_ANSWERS_KEPT = 2


class ServiceSpeeds:
    """Learn the speeds of the upstreams of one service."""

    def __init__(self) -> None:
        #: Whether the upstreams are known to be no engines.
        self.plain = False
        self.sums = SumsTable()
        self._samples_by_upstream: dict[str, TakenSample] = {}
        self._statistics = MomentStatistics()
        self._traits = MomentTraits()
        self._told_at: Millis | None = None
        self._times = FadingTimes()
        #: Mean of the times of the service; 0 while unknown.
        self._mean: float = 0
        self._factors_by_upstream: dict[str, float] = {}
        #: Until when the factors and the traits are reused.
        self._learnt_until: Millis | None = None
        self._beliefs_by_upstream: dict[str, UpstreamSpeed] = {}
        #: Until when each belief is reused.
        self._until_by_upstream: dict[str, Millis] = {}
        self._logged_by_upstream: dict[str, float] = {}
        self._expired_at: Millis | None = None

    def is_told(self, now: Millis) -> bool:
        """Tell whether upstreams report their slowness."""
        told_at = self._told_at
        return told_at is not None and now - told_at <= _TOLD_KEPT

    def take(self, upstream: str, sample: TakenSample, now: Millis) -> bool:
        """Record a sample; return whether it is newer than the known one."""
        before = self._samples_by_upstream.get(upstream)
        lag = sample.at - before.at if before else None
        if lag is not None and lag <= 0:
            return False
        self._samples_by_upstream[upstream] = sample
        self._until_by_upstream[upstream] = now
        self._told_at = max(sample.at, self._told_at or sample.at)
        if before is None or lag is None:
            self._statistics.add(sample.slowness, now)
        elif lag >= MIN_LAG:
            self._statistics.add(sample.slowness, now)
            self._statistics.add_pair(
                before.slowness, sample.slowness, lag, now
            )
        return True

    def find_sample(self, upstream: str) -> TakenSample | None:
        """Return the last sample of an upstream."""
        return self._samples_by_upstream.get(upstream)

    def is_fresh(self, upstream: str, now: Millis) -> bool:
        """Tell whether the last sample still says something of now."""
        sample = self._samples_by_upstream.get(upstream)
        if sample is None:
            return False
        age = abs(now - sample.at)
        return age <= LOAD_FRESH and self._traits.fading.at(age) > _FRESH_SHARE

    def has_queue(self, upstream: str) -> bool:
        """Tell whether requests waited at an upstream when it last told."""
        sample = self._samples_by_upstream.get(upstream)
        return bool(sample and sample.waiting)

    def normalize(self, upstream: str, took: float, at: Millis) -> float:
        """Return an observed time as it would be under usual conditions.

        Without a fresh sample conditions count as usual: they mostly are. What
        is far from what is known of the upstream is bounded.

        :param at: when it took so long.
        """
        sample = self._samples_by_upstream.get(upstream)
        if sample is not None and self.is_fresh(upstream, at):
            took /= sample.slowness
        known = self._times.at(upstream, at)
        bounded = bound_observation(took, self._mean)
        return bound_change(bounded, known)

    def list_beliefs(self, now: Millis) -> Mapping[str, UpstreamSpeed]:
        """Return the belief on each upstream of which anything is known."""
        until = self._learnt_until
        if until is None or not until - _FACTORS_KEPT <= now < until:
            self._learn(now)
        due = [
            name
            for name, kept_until in self._until_by_upstream.items()
            if kept_until <= now
        ]
        for name in due:
            self._compose(name, now)
        return self._beliefs_by_upstream

    def forget(self, upstream: str) -> None:
        """Drop all that is known of an upstream."""
        self.sums.forget(upstream)
        self._samples_by_upstream.pop(upstream, None)
        self._logged_by_upstream.pop(upstream, None)
        self._factors_by_upstream.pop(upstream, None)
        self._beliefs_by_upstream.pop(upstream, None)
        self._until_by_upstream.pop(upstream, None)
        self._times.forget(upstream)
        self._learnt_until = None

    def expire(self, now: Millis) -> None:
        """Drop what no longer counts, now and then."""
        last = self._expired_at
        if last is not None and now - last < _EXPIRY_INTERVAL:
            return
        self._expired_at = now
        self.sums.expire(now)
        for name, sample in tuple(self._samples_by_upstream.items()):
            if now - sample.at > _TOLD_KEPT:
                self._samples_by_upstream.pop(name)

    def list_changes(self, now: Millis) -> list[dict[str, Any]]:
        """Return the notable changes of factors, as fields of log lines."""
        changes: list[dict[str, Any]] = []
        beliefs = self.list_beliefs(now) if self.is_told(now) else {}
        for name, belief in beliefs.items():
            observed = self._times.at(name, now)
            logged = self._logged_by_upstream.get(name)
            if not is_notable(belief.factor, logged, observed):
                continue
            self._logged_by_upstream[name] = belief.factor
            changes.append(self._describe(name, belief, observed, now))
            if len(changes) == _MAX_LOGGED:
                break
        return changes

    def _compose(self, name: str, now: Millis) -> None:
        """Compose the belief on an upstream anew."""
        sample = self._samples_by_upstream.get(name)
        factor = self._factors_by_upstream.get(name, 1)
        self._beliefs_by_upstream[name] = believe(
            factor, sample, self._make_traits(), now
        )
        age = now - sample.at if sample else _FACTORS_KEPT
        kept = max(int(age * _AGED_SHARE), _MIN_BELIEF_KEPT)
        self._until_by_upstream[name] = now + kept

    def _make_traits(self) -> ServiceTraits:
        if not self.plain:
            return ServiceTraits(self._traits, self._mean)
        # What ran at a plain upstream has ended soon after.
        load_life = min(int(_ANSWERS_KEPT * self._mean), LOAD_FRESH)
        return ServiceTraits(self._traits, load_life=load_life)

    def _describe(
        self,
        name: str,
        belief: UpstreamSpeed,
        observed: Observations,
        now: Millis,
    ) -> dict[str, Any]:
        sample = self._samples_by_upstream.get(name)
        own = self.sums.find_own_share(name, now)
        return {
            'upstream': name,
            'factor': round(belief.factor, _ROUND_DIGITS),
            'slowness': round(belief.slowness, _ROUND_DIGITS),
            'peak': round(belief.peak, _ROUND_DIGITS),
            'weight': round(observed.weight),
            'age': now - sample.at if sample else None,
            'own_share': round(own, _ROUND_DIGITS),
        }

    def _learn(self, now: Millis) -> None:
        """Merge what changed, and compose all beliefs anew."""
        for name in self.sums.take_changed():
            self._times.put(name, self.sums.merge(name, now), now)
        times = self._times.list_all(now)
        self._mean = find_mean(times)
        self._factors_by_upstream = find_factors(times, self._mean)
        self._traits = self._statistics.describe(now)
        weights = [each.weight for each in times.values()]
        enough = bool(weights) and min(weights) >= _ENOUGH
        kept = _FACTORS_KEPT if enough else _FIRST_FACTORS_KEPT
        self._learnt_until = now + kept
        self._beliefs_by_upstream = {}
        self._until_by_upstream = dict.fromkeys(
            (*self._samples_by_upstream, *times), now
        )
