"""Check what the types cannot: references, duplicates, contradictions."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from cartdale.declarations.types import (
    Customer,
    Declarations,
    Limits,
    Service,
    Upstream,
    UpstreamKind,
)
from cartdale.documents import Document
from cartdale.exceptions import InputFault, SourceLocation

_KEY_HASH = re.compile('[0-9a-f]{64}')
_ADDRESS = re.compile(r'https?://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+')
_HIGHEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class SourceMap:
    """Remember which document declares each ``kind.name`` key."""

    documents_by_key: dict[str, Document] = field(default_factory=dict)

    def fault(self, key: str, inner: str, expected: str) -> InputFault:
        """Make a fault at a field of a declared object."""
        path = f'{key}.{inner}'
        document = self.documents_by_key.get(key)
        if document is None:
            return InputFault(SourceLocation('(confirmed)', 0, path), expected)
        return InputFault(document.locate(path), expected)


def check_references(
    declared: Declarations, source_map: SourceMap
) -> Iterator[InputFault]:
    """Yield every dangling reference and contradiction.

    :param declared: all objects, merged over files.
    :param source_map: where each was declared.
    """
    for name, upstream in declared.upstreams.items():
        key = f'upstreams.{name}'
        for inner, expected in _check_upstream(upstream, declared):
            yield source_map.fault(key, inner, expected)
    for name, service in declared.services.items():
        key = f'services.{name}'
        for inner, expected in _check_service(service, declared):
            yield source_map.fault(key, inner, expected)
    for name, customer in declared.customers.items():
        key = f'customers.{name}'
        for inner, expected in _check_customer(customer, declared):
            yield source_map.fault(key, inner, expected)
    yield from _check_shared_keys(declared, source_map)


_Complaints = Iterator[tuple[str, str]]


def _check_upstream(upstream: Upstream, declared: Declarations) -> _Complaints:
    if not _ADDRESS.fullmatch(upstream.address):
        yield 'address', 'http(s)://IP:port'
    if upstream.failure_domain not in declared.failure_domains:
        yield 'failure_domain', 'the name of a declared failure domain'
    if upstream.kind is UpstreamKind.PLAIN:
        return
    if upstream.model not in declared.models:
        yield 'model', 'the name of a declared model'
    if upstream.memory_tokens <= 0:
        yield 'memory_tokens', 'more than 0 tokens for an engine'


def _check_service(service: Service, declared: Declarations) -> _Complaints:
    yield from _check_limits(service.limits)
    if service.queue < 0:
        yield 'queue', '0 or more'
    if service.deadline_ms <= 0:
        yield 'deadline_ms', 'more than 0'
    if not 0 < service.objectives.good_share < 1:
        yield 'objectives.good_share', 'between 0 and 1, both excluded'
    if len(set(service.upstreams)) != len(service.upstreams):
        yield 'upstreams', 'each upstream once'
    for index, name in enumerate(service.upstreams):
        upstream = declared.upstreams.get(name)
        if upstream is None:
            yield f'upstreams.{index}', 'the name of a declared upstream'
            continue
        if upstream.kind is not service.kind:
            yield f'upstreams.{index}', f'an upstream of kind {service.kind}'
        elif upstream.model != service.model:
            yield f'upstreams.{index}', f'an upstream of model {service.model}'


def _check_customer(customer: Customer, declared: Declarations) -> _Complaints:
    yield from _check_limits(customer.limits)
    if not 0 <= customer.priority <= _HIGHEST_PRIORITY:
        yield 'priority', f'0 to {_HIGHEST_PRIORITY}'
    if customer.share <= 0:
        yield 'share', 'more than 0'
    for index, hashed in enumerate(customer.key_hashes):
        if not _KEY_HASH.fullmatch(hashed):
            yield f'key_hashes.{index}', 'SHA-256 in 64 hexadecimal digits'
    for position, name in enumerate(customer.services):
        if name not in declared.services:
            yield f'services.{position}', 'the name of a declared service'


def _check_limits(limits: Limits) -> _Complaints:
    if limits.requests_per_second < 0:
        yield 'limits.requests_per_second', '0 or more; 0 means no limit'
    if limits.requests_per_second > 0 and limits.burst < 1:
        yield 'limits.burst', 'at least 1 where a rate is set'
    if limits.burst > 0 and limits.requests_per_second <= 0:
        yield 'limits.burst', 'a rate beside it; a burst alone never refills'


def _check_shared_keys(
    declared: Declarations, source_map: SourceMap
) -> Iterator[InputFault]:
    owners_by_hash: dict[str, str] = {}
    for name, customer in declared.customers.items():
        for index, hashed in enumerate(customer.key_hashes):
            owner = owners_by_hash.setdefault(hashed, name)
            if owner == name:
                continue
            yield source_map.fault(
                f'customers.{name}',
                f'key_hashes.{index}',
                f'a key that customer {owner} does not use',
            )
