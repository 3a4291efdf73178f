"""Identify repeated submissions of the same request.

Each submission has its own id and may reach another instance. The identity is a
digest of the parts that stay the same: method, host, path with query, customer
and body. The customer is included so that requests of different customers are
never confused, and the digest is collision-resistant (BLAKE2b, 128 bits).
"""

import hashlib

from cartdale.codec import encode_binary

IDENTITY_BYTES = 16

#: Digest of the contents of a request.
Identity = bytes


def identify(
    method: str, host: str, target: bytes, customer: str, body: bytes
) -> Identity:
    """Return the digest shared by all submissions of the same request.

    :param target: path and query.
    :param customer: empty on routes without keys.
    """
    encoded = encode_binary((method, host.lower(), target, customer, body))
    return hashlib.blake2b(encoded, digest_size=IDENTITY_BYTES).digest()
