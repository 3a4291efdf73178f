"""Index the customers of a configuration.

Requests name their customer in a header. A customer whose name no header can
carry is not served; all others are.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from cartdale.platform.carried import NO_HEADER, fits_header
from cartdale.ranges import SmallInteger
from cartdale.routes.types import Customer, TableFault


class Tenant(msgspec.Struct, rename='camel'):
    """A customer as the configuration names it."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: SmallInteger | None = None
    allowed_regions: frozenset[str] | None | msgspec.UnsetType = msgspec.UNSET


#: What is wrong with an empty key: requests without a key would match it.
_EMPTY_KEY: Final = 'an empty key'


@dataclass(frozen=True, slots=True)
class CustomerIndex:
    """Hold the customers of a configuration, as in its routing table."""

    customers_by_name: dict[str, Customer]
    customers_by_key: dict[str, Customer]
    faults: tuple[TableFault, ...]


def index_customers(tenants: Sequence[Tenant]) -> CustomerIndex:
    """Index customers by name and by key.

    Customers whose names can't be used lose their keys; empty keys are left
    out.
    """
    customers_by_name: dict[str, Customer] = {}
    customers_by_key: dict[str, Customer] = {}
    faults: list[TableFault] = []
    for number, tenant in enumerate(tenants):
        customer = Customer(
            tenant.name, tenant.priority, read_regions(tenant.allowed_regions)
        )
        customers_by_name[tenant.name] = customer
        if not fits_header(tenant.name):
            faults.append(TableFault(f'$.tenants[{number}].name', NO_HEADER))
            continue
        for index, key in enumerate(tenant.api_keys):
            if key:
                customers_by_key[key] = customer
                continue
            field = f'$.tenants[{number}].apiKeys[{index}]'
            faults.append(TableFault(field, _EMPTY_KEY))
    return CustomerIndex(customers_by_name, customers_by_key, tuple(faults))


def read_regions(
    stored: frozenset[str] | None | msgspec.UnsetType,
) -> frozenset[str] | None:
    """Return the regions that a stored value allows; ``None`` for all.

    Only a value that is absent allows all regions; ``null`` allows none.
    """
    if isinstance(stored, msgspec.UnsetType):
        return None
    return stored or frozenset()
