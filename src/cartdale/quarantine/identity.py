"""Recognise a request that a caller sends again.

Each submission has an id of its own and may come to another instance. What it
asks for stays: method, host, path with query, customer and body. The customer
is part of it, so that nobody's requests can be taken for another's, and the
digest is one for which nobody finds a second body (BLAKE2b, 128 bits).
"""

import hashlib

from cartdale.codec import encode_binary

IDENTITY_BYTES = 16

#: Digest of what a request asks for.
Identity = bytes


def identify(
    method: str, host: str, target: bytes, customer: str, body: bytes
) -> Identity:
    """Return what two submissions of the same request have in common.

    :param target: path and query.
    :param customer: empty on routes without keys.
    """
    asked = encode_binary((method, host.lower(), target, customer, body))
    return hashlib.blake2b(asked, digest_size=IDENTITY_BYTES).digest()
