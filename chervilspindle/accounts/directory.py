"""Lookup of the client account that holds the key of a request.

Keys are found by an index of their digests, under a random secret: how long
a lookup takes says nothing about the keys that exist. The index is built once
for each document.
"""

import hashlib
import re
import secrets
import typing

from chervilspindle.routing import documents

AUTHORIZATION = b"authorization"
SCHEME = b"bearer"
SECRET_BYTES = 32
DIGEST_BYTES = 16
VISIBLE_PATTERN = re.compile(rb"[!-~]+")
SEPARATOR_PATTERN = re.compile(rb"[\s,]+")
# A header with more words is not searched for keys but dropped: no scheme of
# authentication has as many.
MAX_WORDS = 64


class Verdict(typing.NamedTuple):
    """Whether a request may run.

    Parameters
    ----------
    allowed : bool
    account : documents.Account or None
        The account that holds the key; None where none is needed.
    reason : str
        Why it is not allowed; empty if it is.
    """

    allowed: bool
    account: documents.Account | None = None
    reason: str = ""


ALLOWED = Verdict(True)


class AccountDirectory:
    """The client accounts of one document, by key; immutable.

    An account without a usable name is left out, and a key that two accounts
    have belongs to the first: only a build that did not check accounts has
    stored such a document.

    Parameters
    ----------
    document : documents.Document
    previous : AccountDirectory, optional
        Of the document before; its index is kept if the accounts are the
        same.

    Attributes
    ----------
    in_force : bool
        Whether the document has accounts.
    unusable_names : tuple of str
        Accounts that are left out.
    """

    def __init__(
        self,
        document: documents.Document,
        previous: "AccountDirectory | None" = None,
    ):
        self.accounts = document.accounts
        self.in_force = bool(document.accounts)
        if previous is not None and previous.accounts == document.accounts:
            self.secret = previous.secret
            self.account_by_digest = previous.account_by_digest
            self.unusable_names = previous.unusable_names
            return
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.unusable_names = tuple(
            a.name
            for a in self.accounts
            if not documents.is_account_name(a.name)
        )
        self.account_by_digest = self._build_index()

    def _build_index(self):
        account_by_digest = {}
        unusable_names = set(self.unusable_names)
        for account in self.accounts:
            if account.name in unusable_names:
                continue
            for key in filter(None, account.keys):
                # JSON may have half of a surrogate pair.
                encoded = key.encode("utf-8", "surrogatepass")
                digest = self._compute_digest(encoded)
                account_by_digest.setdefault(digest, account)
        return account_by_digest

    def _compute_digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, key=self.secret, digest_size=DIGEST_BYTES
        ).digest()

    def find(self, key: bytes) -> documents.Account | None:
        """Return the account that holds a key, None if there is none."""
        return self.account_by_digest.get(self._compute_digest(key))

    def authenticate(self, headers, route: documents.Route) -> Verdict:
        """Decide whether a request of a route may run.

        Parameters
        ----------
        headers : iterable of (name, value)
            Names are in lower case.
        route : documents.Route
        """
        if not self.in_force or not route.needs_key:
            return ALLOWED
        values = [value for name, value in headers if name == AUTHORIZATION]
        if not values:
            return Verdict(False, reason="no_key")
        if len(values) > 1:
            return Verdict(False, reason="several_keys")
        key = parse_key(values[0])
        if key is None:
            return Verdict(False, reason="malformed_key")
        account = self.find(key)
        if account is not None:
            return Verdict(True, account)
        is_visible = VISIBLE_PATTERN.fullmatch(key) is not None
        reason = "unknown_key" if is_visible else "malformed_key"
        return Verdict(False, reason=reason)

    def select_headers(
        self,
        headers,
        account: documents.Account | None,
        account_header: bytes,
    ):
        """Return the headers of a request that may run, without the key.

        Parameters
        ----------
        headers : iterable of (name, value)
        account : documents.Account or None
            Of the request; without one, only a key that some account holds
            is removed.
        account_header : bytes
            Lower-case name of the header that names the account.
        """
        return tuple(
            (name, value)
            for name, value in headers
            if name != account_header
            and not (
                name == AUTHORIZATION
                and (account is not None or self._has_known_key(value))
            )
        )

    def _has_known_key(self, value: bytes) -> bool:
        """Tell whether a header has a key of any account in any form."""
        words = SEPARATOR_PATTERN.split(value, MAX_WORDS)
        if len(words) > MAX_WORDS:
            return True
        candidates = {value.strip(), parse_key(value), *words}
        return any(self.find(key) is not None for key in candidates if key)


def parse_key(value: bytes) -> bytes | None:
    """Return the key in an ``Authorization`` header; None if malformed."""
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    return key if key and scheme.lower() == SCHEME else None
