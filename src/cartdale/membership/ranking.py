"""Rendezvous hashing: rank members for a key without coordination."""

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, the preferred one for the key first.

    When a name is removed, only the keys that preferred it move.
    """
    return sorted(names, key=lambda name: (_score(key, name), name))


def prefer_name(key: str, names: Iterable[str]) -> str | None:
    """Return the preferred name for the key, if there is any."""
    return min(names, key=lambda name: (_score(key, name), name), default=None)


def _score(key: str, name: str) -> bytes:
    raw = f'{key}\x1f{name}'.encode()
    return hashlib.blake2b(raw, digest_size=_SCORE_BYTES).digest()
