"""Deterministic text: what a model with a seed answers to a prompt."""

import hashlib
import math
import re
from statistics import NormalDist

_LENGTH_MARK = re.compile(r'\[length=(\d+)\]')
_HASH_BITS = 64
_HASH_SPAN = 2**_HASH_BITS
_MEDIAN_TOKENS = 120
_SPREAD = 1.0
_LONGEST = 32000
_CHARACTERS_PER_TOKEN = 4


def _uniform(*parts: object) -> float:
    raw = '\x1f'.join(str(part) for part in parts).encode()
    hashed = hashlib.blake2b(raw, digest_size=8).digest()
    drawn: float = (int.from_bytes(hashed, 'big') + 1) / (_HASH_SPAN + 2)
    return drawn


def count_tokens(prompt: str) -> int:
    """Estimate the prompt's length in tokens."""
    return max(1, len(prompt) // _CHARACTERS_PER_TOKEN)


def choose_length(prompt: str, seed: int, limit: int) -> int:
    """Draw the output length in tokens; a ``[length=N]`` mark fixes it.

    :param limit: the caller's largest length; 0 for none.
    """
    mark = _LENGTH_MARK.search(prompt)
    if mark is None:
        normal = NormalDist().inv_cdf(_uniform('length', prompt, seed))
        length = int(_MEDIAN_TOKENS * math.exp(_SPREAD * normal))
    else:
        length = int(mark.group(1))
    return max(1, min(length, limit or _LONGEST, _LONGEST))


def make_token(prompt: str, seed: int, offset: int) -> str:
    """Return the token at an offset; equal arguments give equal text."""
    raw = f'{seed}\x1f{offset}\x1f{prompt}'.encode()
    return f'{hashlib.blake2b(raw, digest_size=3).hexdigest()} '
