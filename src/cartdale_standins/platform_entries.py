"""Entries as the platform's upstreams write them into the store."""

from typing import Any


def describe_upstream(
    service: str,
    address: str,
    zone: str = 'west',
    slots: int = 64,
    state: str = 'ready',
    born: int = 0,
) -> dict[str, Any]:
    """Return an upstream's entry, with every field that one has.

    :param address: ``IP:PORT``.
    :param state: ``ready`` or ``draining``.
    :param born: Unix milliseconds of its start.
    """
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': slots,
        'state': state,
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': born,
    }
