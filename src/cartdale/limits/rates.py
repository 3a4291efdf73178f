"""Derive accounts and their rates from the declarations."""

from cartdale.declarations.types import Declarations, Limits
from cartdale.limits.types import Rate

CUSTOMER_ACCOUNT = 'customer/'
SERVICE_ACCOUNT = 'service/'


def derive_rates(declared: Declarations) -> dict[str, Rate]:
    """Return the rate of every account that has a limit."""
    rates_by_account: dict[str, Rate] = {}
    for name, customer in declared.customers.items():
        _add_rate(
            rates_by_account, f'{CUSTOMER_ACCOUNT}{name}', customer.limits
        )
    for service_name, service in declared.services.items():
        account = f'{SERVICE_ACCOUNT}{service_name}'
        _add_rate(rates_by_account, account, service.limits)
    return rates_by_account


def _add_rate(
    rates_by_account: dict[str, Rate], account: str, limits: Limits
) -> None:
    if limits.requests_per_second:
        rates_by_account[account] = Rate(
            limits.requests_per_second, limits.burst
        )
