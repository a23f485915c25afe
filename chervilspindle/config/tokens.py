"""Creates and verifies bearer tokens, stored only as salted digests.

A token is ``NAME.SECRET``. The secret has 192 random bits, so a fast salted
hash is sufficient. The name gives the row to compare with by one look-up.
"""

import hashlib
import hmac
import secrets
import typing

SECRET_BYTES = 24
SALT_BYTES = 12
_DUMMY_SALT = "00" * SALT_BYTES
_DUMMY_DIGEST = "0" * 64


class NewToken(typing.NamedTuple):
    """A token for its holder, with the salt and digest to store."""

    token: str
    token_salt: str
    token_digest: str


def create_token(name: str) -> NewToken:
    """Create a random token for a customer or an operator."""
    token = f"{name}.{secrets.token_urlsafe(SECRET_BYTES)}"
    salt = secrets.token_hex(SALT_BYTES)
    return NewToken(token, salt, compute_digest(token, salt))


def compute_digest(token: str, salt: str) -> str:
    """Return the salted digest of a token in hexadecimal."""
    data = f"{salt}:{token}".encode()
    return hashlib.blake2b(data, digest_size=32).hexdigest()


def verify_token(token: str, row_by_name):
    """Return the row to which the token belongs, or None.

    An unknown name takes as long to reject as a wrong secret.
    """
    name = token.partition(".")[0]
    row = row_by_name.get(name)
    salt = row.token_salt if row else _DUMMY_SALT
    expected = row.token_digest if row else _DUMMY_DIGEST
    digest = compute_digest(token, salt)
    matches = hmac.compare_digest(digest.encode(), expected.encode())
    return row if matches and row else None
