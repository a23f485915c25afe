"""Identity of a request's content, the same for each repeat of it."""

import hashlib

DIGEST_BYTES = 8
# Headers that identify the caller.
CALLER_HEADERS = (b"host", b"authorization")


def compute_digest(request) -> str:
    """Return a digest of the method, target, caller and body.

    Parameters
    ----------
    request : http_server.Request
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [request.method, request.target, request.body]
    parts += [request.get_header(name) or b"" for name in CALLER_HEADERS]
    if request.account:
        # In place of the key, which is removed from the headers by then.
        parts.append(request.account.encode())
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
