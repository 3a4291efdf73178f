"""Deployments for the models of load: engines, work, and the age of news."""

from dataclasses import dataclass

#: Answers that may get longer than this are long generations.
LONG_TOKENS = 106


@dataclass(frozen=True)
class Kind:
    """Describe a kind of request; lengths are lognormal, in tokens.

    :param target: time until the first event that is in time, in ms.
    :param credit: of an answer in time.
    :param hint_spread: of the caller's estimate around the true length.
    """

    rate: float
    prompt: float
    prompt_spread: float
    output: float
    output_spread: float
    most: int
    target: int
    priority: int
    credit: float
    hint_spread: float = 1.2


@dataclass(frozen=True)
class Deployment:
    """Describe engines, work and news.

    :param own_age: of the news of one's own failure domain, least and most.
    :param far_age: of those of the others.
    """

    engines: int
    memory: int
    slots: int
    kinds: tuple[Kind, ...]
    domains: int = 3
    own_age: tuple[float, float] = (20, 60)
    far_age: tuple[float, float] = (100, 260)
    choices: int = 3
    step_ms: float = 7.0
    step_per_slot_ms: float = 0.12
    tokens_per_ms: float = 14.0
    chunk: int = 112
    #: Every third engine is so much slower than the others.
    slowness: float = 1.3
    #: Whether engines admit the urgent first, and push others aside for them.
    urgent_first: bool = False
    seconds: int = 30


def draft(rate: float, target: int = 1800, output: float = 400) -> Kind:
    """Return long generations of three thousand tokens of prompt."""
    return Kind(rate, 2900, 0.35, output, 1.344, 1756, target, 0, 180)


def check(rate: float, target: int = 1500) -> Kind:
    """Return short answers to long prompts."""
    return Kind(rate, 1900, 0.6, 8, 0.3, 34, target, 1, 24)


#: Engines of little memory, checks twice as often as drafts, of which a quarter
#: is away or about to leave; lengths are known at the median only.
CROWDED = Deployment(22, 21878, 24, (draft(14.2), check(27.3)))
#: As many engines of more memory and less work, before more instances.
WIDE = Deployment(
    27, 34330, 24, (draft(11.9, output=600), check(16.9)), domains=5
)
#: A few large engines before a handful of instances that tell all at once.
SMALL = Deployment(
    4,
    34545,
    64,
    (draft(1.72, output=600), check(2.43)),
    far_age=(20, 60),
    choices=7,
)
