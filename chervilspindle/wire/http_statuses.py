"""Which statuses are those of an HTTP response."""

LOWEST = 100
HIGHEST = 599


def is_valid(status: int) -> bool:
    """Tell whether a status is one of HTTP.

    What has another status is not a response: the send failed, and the
    request may have run whatever the headers and the body say.
    """
    return LOWEST <= status <= HIGHEST
