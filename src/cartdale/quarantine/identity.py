"""Identify repeated submissions of the same request, and parts they share.

Each submission has its own id and may reach another instance. The identity is a
digest of the parts that stay the same: method, host, path with query, customer
and body. The customer is included so that requests of different customers are
never confused, and the digest is collision-resistant (BLAKE2b, 128 bits).

Different requests may share parts of their prompts. Each part has a digest too,
which never equals the one of a request.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from cartdale.codec import encode_binary

IDENTITY_BYTES = 16
#: Shorter than the digest of a request: a request has several parts.
PART_BYTES = 8
#: Maximum number of parts of a prompt in a fingerprint.
MAX_PARTS = 8

#: Separates the digests of parts from those of requests.
_PART_PERSON = b'cartdale.part'

#: Digest of the contents of a request, or of a part of its prompt.
Identity = bytes


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """Identify a request and the parts of its prompt that others may share.

    :param identity: digest shared by all submissions of the request.
    :param parts: digests of the shared parts, in prompt order, at most
        ``MAX_PARTS``. The last part of a prompt is the request's own and never
        included.
    """

    identity: Identity
    parts: tuple[Identity, ...] = ()

    def format_parts(self) -> str:
        """Return the digests of the parts in hexadecimal, for logs."""
        return ' '.join(part.hex() for part in self.parts)


def identify(
    method: str, host: str, target: bytes, customer: str, body: bytes
) -> Identity:
    """Return the digest shared by all submissions of the same request.

    :param target: path and query.
    :param customer: empty on routes without keys.
    """
    encoded = encode_binary((method, host.lower(), target, customer, body))
    return hashlib.blake2b(encoded, digest_size=IDENTITY_BYTES).digest()


def identify_part(name: str) -> Identity:
    """Return the digest of a part of a prompt.

    :param name: name or contents of the part, in normal form.
    """
    return hashlib.blake2b(
        name.encode(), digest_size=PART_BYTES, person=_PART_PERSON
    ).digest()


def identify_parts(names: Iterable[str]) -> tuple[Identity, ...]:
    """Return the digests of the shared parts of a prompt for a fingerprint.

    Each part counts once. Of more than ``MAX_PARTS`` the last are kept, since
    fewer requests share the later parts of a prompt.

    :param names: names of the parts in prompt order, without the request's own.
    """
    distinct = tuple(dict.fromkeys(names))
    return tuple(identify_part(name) for name in distinct[-MAX_PARTS:])
