"""Plays callers that do not keep to the limits against the HTTP API.

The deployment is one of the product's own: a control process, an entry, and
stand-in endpoints. The entry is restarted for each kind of crowd, whose
connections stay open while it is checked. The checks depend on no speed: the
process lives, its memory and its descriptors stay under a bound, and one
ordinary query is answered afterwards.

The crowds and the bounds are fixed.
"""

import asyncio
import resource
import sys

import pytest
import uvloop

from chervilspindle.wire import versions
from features import crowds
from features import processes

pytestmark = pytest.mark.xdist_group("processes")

MEMORY_MB = 100.0  # of the settings; also the bound of resident memory
DESCRIPTORS = 256  # which the entry may open
MAX_CALLER_DESCRIPTORS = 224  # leaves some for endpoints and peers
ENTRY = "entry-1"
CUSTOMER = "desk-negombo"
HEADER_BYTES = 16 * 1024
BODY_BYTES = 4 * 1024 * 1024
BODY_CROWD = 30
PEER_CROWD = 20
SILENT_CROWD = 300
START_S = 30.0
TOKEN = b"%TOKEN%"  # replaced by the one of a customer
HEAD = b"POST /v1/query HTTP/1.1\r\nHost: h\r\n"
KNOWN_HEAD = HEAD + b"Authorization: Bearer " + TOKEN + b"\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ANNOUNCED = HEAD + b"Content-Length: %d\r\n\r\n"
LARGE_CHUNKS = CHUNKED + crowds.build_chunks(65535, BODY_BYTES)
SMALL_CHUNKS = CHUNKED + crowds.build_chunks(16, BODY_BYTES // 16)
BYTE_CHUNKS = CHUNKED + crowds.build_chunks(1, 150_000)
SHORT_LINES = crowds.fill(HEAD, b"a:b\r\n", HEADER_BYTES - 512)
ODD_LINES = crowds.fill(
    HEAD, b"a:\r\nb: \r\nc:\t  d \r\ne:f\r\n", HEADER_BYTES - 512
)
NONCE = versions.NONCE_BYTES.to_bytes(4, "big") + bytes(versions.NONCE_BYTES)


def build_complete(start: bytes, filler: bytes, end: bytes, head=KNOWN_HEAD):
    """Return a request whose body is as long as the limit allows."""
    body = crowds.fill(start, filler, BODY_BYTES - len(end)) + end
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


QUERY = b'{"services": ["booking-desk-*", "hotel-partner-*"], "query": '
COMMAND = b'{"service": "waiver-desk", "key": "waiver-desk/0001", "command": '
CROWD_BY_NAME = {
    "short_lines_open": crowds.Crowd((SHORT_LINES,)),
    "short_lines_complete": crowds.Crowd((SHORT_LINES, b"\r\n")),
    "odd_lines_open": crowds.Crowd((ODD_LINES,)),
    "odd_lines_complete": crowds.Crowd((ODD_LINES, b"\r\n")),
    "large_chunks_open": crowds.Crowd((LARGE_CHUNKS,), BODY_CROWD),
    "large_chunks_complete": crowds.Crowd(
        (LARGE_CHUNKS, b"0\r\n\r\n"), BODY_CROWD
    ),
    "chunks_open": crowds.Crowd((CHUNKED + b"1\r\nb\r\n",), 2 * crowds.CROWD),
    "small_chunks_open": crowds.Crowd((SMALL_CHUNKS,)),
    "byte_chunks_open": crowds.Crowd((BYTE_CHUNKS,)),
    "byte_chunks_complete": crowds.Crowd((BYTE_CHUNKS, b"0\r\n\r\n")),
    "announced_but_one_byte": crowds.Crowd(
        (crowds.fill(ANNOUNCED % BODY_BYTES, b"b", BODY_BYTES - 1),),
        BODY_CROWD,
    ),
    "announced_far_over": crowds.Crowd(
        (crowds.fill(ANNOUNCED % 10**9, b"b", BODY_BYTES),), BODY_CROWD
    ),
    "sent_far_over": crowds.Crowd(
        (CHUNKED + crowds.build_chunks(65535, 2 * BODY_BYTES),), BODY_CROWD
    ),
    "trailers_without_end": crowds.Crowd(
        (crowds.fill(CHUNKED + b"1\r\nb\r\n0\r\n", b"t:u\r\n", BODY_BYTES),),
        BODY_CROWD,
    ),
    "chunk_extension_without_end": crowds.Crowd(
        (crowds.fill(CHUNKED + b"1;e=", b"e", BODY_BYTES),), BODY_CROWD
    ),
    "form_fields": crowds.Crowd(
        (
            build_complete(
                b"",
                b"a&b=c&",
                b"",
                HEAD + b"Content-Type: application/x-www-form-urlencoded\r\n",
            ),
        ),
        BODY_CROWD,
    ),
    "large_queries": crowds.Crowd(
        (build_complete(QUERY + b'{"text": "', b"t", b'"}}'),), BODY_CROWD
    ),
    "queries_of_many_values": crowds.Crowd(
        (build_complete(QUERY + b'{"x": [1', b",[]", b"]}}"),), BODY_CROWD
    ),
    "commands_of_many_values": crowds.Crowd(
        (
            build_complete(
                COMMAND + b'{"x": [1',
                b",[]",
                b"]}}",
                KNOWN_HEAD.replace(b"query", b"command")
                + b"Idempotency-Key: many-values\r\n",
            ),
        ),
        BODY_CROWD,
    ),
    "pipelined_unread": crowds.Crowd(
        (crowds.build_pipelined(BODY_BYTES // 4),), reads=False
    ),
    "silent": crowds.Crowd((b"",), SILENT_CROWD),
    "half_a_line": crowds.Crowd((b"GET / HT",), SILENT_CROWD),
    "peer_frame_without_end": crowds.Crowd(
        (crowds.fill(NONCE + b"\x03\xff\xff\xff", b"p", BODY_BYTES),),
        PEER_CROWD,
        "peer",
    ),
    "peer_silent": crowds.Crowd((b"",), SILENT_CROWD, "peer"),
}


class LimitedDeployment(processes.Deployment):
    """A deployment whose entry has little memory and few descriptors."""

    def __init__(self, folder):
        super().__init__(folder, controls=1, entries=1)
        (entry,) = self.documents.entry_settings
        entry["memory_mb"] = MEMORY_MB
        self.write()
        self.address_by_port = {
            "front": entry["http_address"],
            "peer": entry["peer_address"],
        }

    def spawn(self, name, *arguments):
        """Start one process; the entry may open few descriptors."""
        super().spawn(name, *arguments)
        if name == ENTRY:
            limits = (DESCRIPTORS, DESCRIPTORS)
            pid = self.process_by_name[name].pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)

    def restart_entry(self):
        """Start the entry anew, and wait until it serves."""
        self.kill(ENTRY)
        self.start_vm(ENTRY)
        self.wait_until(self.is_complete, START_S)

    def lives(self):
        """Tell whether the entry runs."""
        return self.process_by_name[ENTRY].poll() is None

    def is_answered(self):
        """Tell whether an ordinary query is answered."""
        return self.query(deadline_ms=5000)[0] == 200


@pytest.fixture(name="deployment", scope="module")
def build_deployment(tmp_path_factory):
    """Start a deployment that the tests share."""
    deployment = LimitedDeployment(tmp_path_factory.mktemp("deployment"))
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.stop()


@pytest.mark.parametrize("name", sorted(CROWD_BY_NAME))
def test_a_crowd_beyond_the_limits_ends_no_entry(name, deployment):
    """Guards against growth without bound on behalf of callers."""
    crowd = CROWD_BY_NAME[name]
    token = deployment.documents.token_by_name[CUSTOMER].encode()
    stages = tuple(s.replace(TOKEN, token) for s in crowd.stages)
    crowd = crowd._replace(stages=stages)
    deployment.restart_entry()
    pid = deployment.process_by_name[ENTRY].pid
    host, port = deployment.address_by_port[crowd.port].rsplit(":", 1)
    loop = uvloop.new_event_loop()

    async def gather():
        connections = await crowds.connect(loop, crowd, host, int(port))

        async def wait():
            await crowds.wait_until_quiet(pid, deployment.lives)

        await crowds.send(crowd, connections, wait)
        return connections

    try:
        connections = loop.run_until_complete(gather())
        assert deployment.lives()
        descriptors = crowds.count_descriptors(pid)
        peak_mb = crowds.read_peak_mb(pid)
        still_open = sum(not c.closed for c in connections)
        sys.stdout.write(
            f"{name}: peak {peak_mb:.0f} MB, {descriptors} descriptors, "
            f"{still_open} of {crowd.count} connections open\n"
        )
        deployment.wait_until(deployment.is_answered, crowds.SAFETY_S)
        assert deployment.lives()
        peak_mb = crowds.read_peak_mb(pid)
        assert peak_mb <= MEMORY_MB, f"{peak_mb:.0f} MB"
        assert descriptors <= MAX_CALLER_DESCRIPTORS
    finally:
        for connection in connections:
            if not connection.closed:
                connection.transport.abort()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
