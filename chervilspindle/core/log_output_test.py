"""Tests of non-blocking and rate-limited log output."""

import json
import logging
import os

from chervilspindle.core import log_output


def build_record(message, status=0):
    record = logging.LogRecord("n", logging.INFO, "", 0, message, (), None)
    record.status = status
    return record


def test_full_pipe_does_not_block_and_drops_are_counted():
    reader, writer = os.pipe()
    stream = log_output.NonBlockingStream(writer)
    for _ in range(5000):
        stream.write("x" * 199 + "\n")
    assert stream.dropped > 0
    assert stream.buffered_bytes <= log_output.BUFFER_BYTES
    dropped = stream.dropped
    os.set_blocking(reader, False)
    text = b""
    for _ in range(100):
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        stream.flush()
    last = json.loads(text.decode().splitlines()[-1])
    assert last["count"] == dropped
    os.close(reader)
    os.close(writer)


def test_write_to_closed_pipe_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    stream = log_output.NonBlockingStream(writer)
    stream.write("line\n")
    assert stream.dropped == 1 and not stream.buffered
    os.close(writer)


def test_successful_requests_do_not_displace_failed_ones():
    now = [0.0]
    limiter = log_output.VolumeLimiter(lambda: now[0])
    passed = sum(
        limiter.filter(build_record("request", 200)) for _ in range(1000)
    )
    assert passed == log_output.BURST_LINES
    assert limiter.filter(build_record("request", 503))
    now[0] += 1.0
    record = build_record("request", 200)
    assert limiter.filter(record)
    assert record.dropped_before == 1000 - log_output.BURST_LINES
