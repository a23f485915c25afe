"""What endpoints and operators call: announcements and the configuration."""

import functools
import logging
import urllib.parse

import msgspec

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import names
from chervilspindle.routing import documents

LOGGER = logging.getLogger(__name__)

JSON_HEADERS = ((b"Content-Type", b"application/json"),)
RETRY_AFTER = (b"Retry-After", b"0.2")
MAX_ID_BYTES = 200


class Announcement(msgspec.Struct):
    """What an endpoint says of itself."""

    service: str
    address: str
    zone: str
    slots: int = msgspec.field(name="concurrency-limit")
    state: str
    sequence: int
    # How much longer the endpoint is slow after its start.
    cold_ms: float = msgspec.field(default=0.0, name="cold-left-ms")
    # Wall time of the endpoint's start in ms; 0 if it does not say.
    born: int = 0


_ANNOUNCEMENT = msgspec.json.Decoder(Announcement)


def decode_announcement(endpoint_id: str, data: bytes) -> rows.Endpoint:
    """Decode an announcement.

    Raises
    ------
    ValueError
        Says what can't be used.
    """
    found = _ANNOUNCEMENT.decode(data)
    state = names.STATE_BY_WORD.get(found.state)
    if state is None:
        raise ValueError(f"unknown state {found.state!r}")
    host, colon, port = found.address.rpartition(":")
    if not (host and colon and port.isdigit()):
        raise ValueError(f"address {found.address!r} is not IP:PORT")
    if found.slots < 1 or not found.service:
        raise ValueError("no slots or no service")
    if state == "ready" and found.cold_ms > 0:
        state = "warming"
    return rows.Endpoint(
        endpoint_id=endpoint_id,
        service=found.service,
        address=found.address,
        zone=found.zone,
        slots=found.slots,
        connections=0,
        state=state,
        holdings=(),
        incarnation=found.born,
        sequence=found.sequence,
    )


class ControlApi:
    """Handler of the control address.

    Parameters
    ----------
    desk : desk.Desk
    """

    def __init__(self, frontend):
        self.frontend = frontend

    def handle(self, exchange):
        """Answer one call."""
        request = exchange.request
        path = request.target.partition(b"?")[0]
        if path == names.DOCUMENT_PATH:
            handler = {b"PUT": self._put_document, b"GET": self._get_document}
        elif path.startswith(names.ENDPOINT_PREFIX):
            handler = {b"PUT": self._announce, b"DELETE": self._withdraw}
        else:
            exchange.respond(404)
            return
        if request.method not in handler:
            exchange.respond(405)
            return
        handler[request.method](exchange)

    def _put_document(self, exchange):
        data = exchange.request.body
        try:
            document = platform_documents.decode_document(data)
        except ValueError as error:
            _refuse(exchange, "document", str(error))
            return
        found = documents.check_document(document)
        if found:
            text = "; ".join(f"{e.place}: {e.message}" for e in found[:5])
            _refuse(exchange, "document", text)
            return
        stored = rows.StoredDocument(document.version, data)
        deferred = self.frontend.apply_document(stored)
        deferred.addCallback(self._accept_document, exchange, stored)
        deferred.addErrback(_fail, exchange, "document")

    def _accept_document(self, reply, exchange, stored):
        logs.log_decision(
            "document-accepted",
            version=stored.version,
            held=reply.held_version,
        )
        exchange.respond(200, JSON_HEADERS, b"{}")

    def _get_document(self, exchange):
        deferred = self.frontend.read_document()
        deferred.addCallback(_send_document, exchange)
        deferred.addErrback(_fail, exchange, "read")

    def _announce(self, exchange):
        try:
            endpoint_id = _read_id(exchange)
            endpoint = decode_announcement(endpoint_id, exchange.request.body)
        except ValueError as error:
            _refuse(exchange, "announcement", str(error))
            return
        deferred = self.frontend.announce(endpoint)
        deferred.addCallback(_acknowledge, exchange)
        deferred.addErrback(_fail, exchange, "announcement")

    def _withdraw(self, exchange):
        try:
            endpoint_id = _read_id(exchange)
        except ValueError as error:
            _refuse(exchange, "withdrawal", str(error))
            return
        deferred = self.frontend.withdraw(endpoint_id)
        deferred.addCallback(_acknowledge, exchange)
        deferred.addErrback(_fail, exchange, "withdrawal")


def build_handler(frontend):
    """Build the handler of a control member's address."""
    return functools.partial(ControlApi.handle, ControlApi(frontend))


def _read_id(exchange) -> str:
    path = exchange.request.target.partition(b"?")[0]
    encoded = path[len(names.ENDPOINT_PREFIX) :]
    if not encoded or len(encoded) > MAX_ID_BYTES:
        raise ValueError("no id, or one that is too long")
    return urllib.parse.unquote(encoded.decode("ascii"))


def _acknowledge(_, exchange):
    exchange.respond(200, JSON_HEADERS, b"{}")


def _send_document(stored, exchange):
    if stored.version < 0:
        exchange.respond(404, JSON_HEADERS, b"{}")
        return
    exchange.respond(200, JSON_HEADERS, stored.data)


def _refuse(exchange, what, reason):
    logs.log_decision("call-refused", call=what, status=400, why=reason)
    body = msgspec.json.encode({"error": reason})
    exchange.respond(400, JSON_HEADERS, body)


def _fail(failure, exchange, what):
    if failure.check(errors.ProblemError):
        reason = failure.value.problem.detail
    else:
        LOGGER.error("call failed: %s", failure.getTraceback())
        reason = "internal error"
    logs.log_decision("call-failed", call=what, status=503, why=reason)
    body = msgspec.json.encode({"error": reason})
    exchange.respond(503, JSON_HEADERS + (RETRY_AFTER,), body)
