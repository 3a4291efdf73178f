"""Declared objects: models, failure domains, upstreams, services, customers."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import MINUTE_MS, Millis

DEFAULT_QUEUE = 256
DEFAULT_DEADLINE: Millis = MINUTE_MS


class UpstreamKind(StrEnum):
    """Tell a model engine from a plain service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Repeat(StrEnum):
    """Say whether a request may be sent a second time."""

    ALLOWED = 'allowed'
    NEVER = 'never'


class PolicyName(StrEnum):
    """Name a routing policy that a service can ask for."""

    MEMORY_AWARE = 'memory_aware'
    POWER_OF_TWO = 'power_of_two'
    LEAST_REQUESTS = 'least_requests'
    ROUND_ROBIN = 'round_robin'
    RANDOM = 'random'


@dataclass(frozen=True, slots=True)
class Model:
    """Declare a model.

    :param version: weights version, part of every order to an engine.
    :param memory_tokens: context limit of one sequence, in tokens.
    """

    version: str
    memory_tokens: int = 32768


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Declare a place whose machines can fail together."""

    region: str


@dataclass(frozen=True, slots=True)
class Upstream:
    """Declare an engine or a plain service instance.

    :param address: base URL, by IP number.
    :param failure_domain: name of a declared failure domain.
    :param model: name of a declared model; empty for a plain service.
    :param memory_tokens: cache memory of the engine, in tokens.
    :param checks_fence: whether orders with an old fence are refused.
    :param draining: whether new work stops while running work ends.
    """

    kind: UpstreamKind
    address: str
    failure_domain: str
    model: str = ''
    memory_tokens: int = 0
    checks_fence: bool = False
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Weights:
    """Weigh the three measures against each other; 0 to 1 each."""

    stall_time: float = 0.5
    preemptions: float = 0.5
    tail_time: float = 0.5


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound a customer or a service.

    :param requests_per_second: sustained rate over all instances.
    :param burst: requests that may come at once.
    """

    requests_per_second: float = 0
    burst: int = 0


@dataclass(frozen=True, slots=True)
class Objectives:
    """State service-level objectives.

    :param good_share: share of requests that must be good, 0 to 1.
    :param stall_ms: longest stall of a good answer, in milliseconds.
    :param between_tokens_ms: p95 between tokens of a good answer.
    :param first_token_ms: longest wait for the first token.
    """

    good_share: float = 0.99
    stall_ms: Millis = 2000
    between_tokens_ms: Millis = 100
    first_token_ms: Millis = 5000


@dataclass(frozen=True, slots=True)
class Service:
    """Declare a service that callers address by name.

    :param upstreams: names of declared upstreams.
    :param repeat: whether a request may run a second time.
    :param queue: requests that may wait on one instance.
    :param deadline_ms: longest wait for an upstream, in milliseconds.
    """

    kind: UpstreamKind
    upstreams: tuple[str, ...]
    model: str = ''
    repeat: Repeat = Repeat.ALLOWED
    policy: PolicyName = PolicyName.MEMORY_AWARE
    weights: Weights = field(default_factory=Weights)
    limits: Limits = field(default_factory=Limits)
    objectives: Objectives = field(default_factory=Objectives)
    queue: int = DEFAULT_QUEUE
    deadline_ms: Millis = DEFAULT_DEADLINE


@dataclass(frozen=True, slots=True)
class Customer:
    """Declare a customer.

    :param key_hashes: SHA-256 of each accepted key, in hexadecimal.
    :param services: names of the services the customer may call.
    :param priority: 0 to 9, larger goes first.
    """

    key_hashes: tuple[str, ...]
    services: tuple[str, ...]
    share: float = 1
    priority: int = 5
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class Declarations:
    """Hold everything declared, each kind by name."""

    models: dict[str, Model] = field(default_factory=dict)
    failure_domains: dict[str, FailureDomain] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)


#: The kinds of declared objects, in the order in which they depend.
KINDS = ('models', 'failure_domains', 'upstreams', 'services', 'customers')
