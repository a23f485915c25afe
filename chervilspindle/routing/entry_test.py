"""Tests of callers' requests at the entry: any header, any target."""

import asyncio
import json
import logging

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.core import logs
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import entry as entry_module
from chervilspindle.wire import http_server

NAMES = platform_names.HEADERS
READ_S = 2.0


@pytest.fixture
def run_test():
    def run(test):
        data_path_test.run_in_world(data_path_test.World, test, 30)

    return run


async def send_raw(world, data):
    """Send bytes; return the status of the answer."""
    host, port = world.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), READ_S)
    finally:
        writer.close()
    return int(head.split()[1])


def build_request(lines=(), target=b"/one/x", method=b"GET"):
    return b"\r\n".join(
        (
            method + b" " + target + b" HTTP/1.1",
            NAMES.request_id.encode() + b": id-1",
            *lines,
            b"\r\n",
        )
    )


@pytest.mark.parametrize(
    "lines",
    (
        (),
        (b"Host: h.example", b"Host: i.example"),
        (b"Host: h.example", b"Host: h.example"),
    ),
)
def test_a_request_without_exactly_one_host_is_refused(run_test, lines):
    """It could be routed by one host and run for another."""

    async def test(world):
        assert await send_raw(world, build_request(lines)) == 400
        assert not world.list_runs("desk")
        whole = build_request((b"Host: h.example",))
        assert await send_raw(world, whole) == 200

    run_test(test)
