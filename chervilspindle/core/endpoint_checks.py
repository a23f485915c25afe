"""Checks of endpoint rows that come from outside the process.

Control checks what endpoints announce; entries and the leader check the rows
again, since a build without these checks may have stored them.
"""

import ipaddress
import typing

from chervilspindle.core import json_limits
from chervilspindle.core import rows

MAX_PORT = 65535
MAX_NAME_CHARACTERS = 200
MAX_SLOTS = 1 << 20


class Address(typing.NamedTuple):
    """Host and port of an ``IP:PORT`` address."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT`` with an IPv4 address of one host.

    Raises
    ------
    ValueError
        If it is anything else.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > 5:
        raise ValueError("address is not IP:PORT")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"port {number} is out of range")
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"address {host} is not of one host")
    return Address(host, number)


def find_mistake(endpoint: rows.Endpoint) -> str:
    """Return why no request can be sent to an endpoint, '' if one can."""
    if not is_header_token(endpoint.endpoint_id):
        return f"id must have 1 to {MAX_NAME_CHARACTERS} visible characters"
    if not endpoint.service or not _is_name(endpoint.service):
        return "service is not a name"
    if not _is_name(endpoint.zone):
        return "zone is not a name"
    if not 1 <= endpoint.slots <= MAX_SLOTS:
        return f"slots must be 1 to {MAX_SLOTS}"
    if not 0 <= endpoint.incarnation <= json_limits.MAX_EXACT_INTEGER:
        return "start time is out of range"
    if not 0 <= endpoint.sequence <= rows.FINAL_SEQUENCE:
        return "sequence is out of range"
    try:
        parse_address(endpoint.address)
    except ValueError as error:
        return str(error)[:MAX_NAME_CHARACTERS]
    return ""


def is_header_token(text: str) -> bool:
    """Tell whether a text may stand as it is in a header of a request."""
    is_visible = text.isascii() and text.isprintable() and " " not in text
    return is_visible and 1 <= len(text) <= MAX_NAME_CHARACTERS


def _is_name(text):
    return text.isprintable() and len(text) <= MAX_NAME_CHARACTERS
