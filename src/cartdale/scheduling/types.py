"""Requests that need an upstream, and the inputs of a choice."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.fleet.types import Upstream
from cartdale.routes.types import ServiceSpec
from cartdale.scheduling.loads import Load
from cartdale.scheduling.pace import Pace
from cartdale.speeds.types import UpstreamSpeed
from cartdale.switches import Switches

#: Share of the expected growth of running generations that is kept free: they
#: are of different ages, so their peaks don't coincide.
GROWTH_RESERVED = 0.6
#: Share of an engine's memory that placement fills at most.
MAX_FILLED_SHARE = 0.95
#: Cost of another failure domain than one's own, in shares of capacity.
_FAR_COST = 0.05
#: Number of upstreams compared where peers publish loads without delay: all
#: upstreams of a small system.
CHOICES = 7
#: The same where loads are published per failure domain and are 0.1 to 0.3 s
#: old: the more choices, the more instances pick the same upstream in the
#: meantime, which reads their prompts one after another. In a model of 29
#: arrivals per second at 27 engines (tests/load/test_herd.py) 4.9% of the
#: prompts waited for more than 0.9 s with seven choices, 1.7% with three, 1.8%
#: with two (Mitzenmacher, How Useful Is Old Information?, 2000).
CHOICES_WITH_STALE_LOADS = 3
#: Speed of an upstream of which none is known.
USUAL_SPEED = UpstreamSpeed()


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """Describe the requirements of a request.

    :param prompt: memory that it takes at once, in tokens; 0 for a plain
        request.
    :param expected: tokens that it is expected to generate.
    :param reads: tokens of its prompt that the engine must read; 0 if they are
        copied there.
    :param read_within: maximum time until its prompt is read; 0 for no bound.
    :param target_gap: maximum pause between its events; 0 for no bound.
    :param excluded: upstreams that must not be chosen.
    :param domains: failure domains that may serve the request; ``None`` for
        all of them.
    :param far_cost: cost of another failure domain, in shares of capacity.
    :param filled: share of an engine's memory that may be filled.
    :param reserved: share of the expected growth that must fit as well.
    :param spare_slots: slots that must stay free.
    :param compare_all: compare all upstreams instead of a sample.
    :param short: whether it ends soon after its first event.
    :param sends: whether a request is sent to the chosen upstream.
    """

    service: str
    prompt: int = 0
    expected: int = 0
    reads: int = 0
    read_within: Millis = 0
    target_gap: Millis = 0
    excluded: frozenset[str] = frozenset()
    domains: frozenset[str] | None = None
    far_cost: float = _FAR_COST
    filled: float = MAX_FILLED_SHARE
    reserved: float = GROWTH_RESERVED
    spare_slots: int = 0
    compare_all: bool = False
    short: bool = False
    sends: bool = True


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """Hold the inputs of a choice.

    :param failure_domain: of this instance, or of the engine from which a
        generation is moved.
    :param pace: speed of the service's engines.
    :param reading_shares: share of the recent time in which each engine read
        prompts.
    :param choices: number of upstreams that are compared.
    :param speeds_by_upstream: speed of the service's upstreams, as far as they
        report it; empty if none does, and choices don't count time then.
    """

    spec: ServiceSpec
    loads_by_upstream: Mapping[str, Load]
    failure_domain: str
    now: Millis
    pace: Pace = Pace()
    reading_shares: Mapping[str, float] = field(default_factory=dict)
    switches: Switches = Switches()
    choices: int = CHOICES
    speeds_by_upstream: Mapping[str, UpstreamSpeed] = field(
        default_factory=dict
    )

    def find_speed(self, upstream: Upstream) -> UpstreamSpeed:
        """Return the known speed of an upstream, or the usual one."""
        return self.speeds_by_upstream.get(upstream.entry.upstream, USUAL_SPEED)
