"""HTTP API of a control member: endpoint announcements, configuration."""

import functools
import logging
import urllib.parse

import msgspec

from chervilspindle.core import endpoint_checks
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import names
from chervilspindle.routing import documents
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

JSON_HEADERS = ((b"Content-Type", b"application/json"),)
RETRY_AFTER = (b"Retry-After", b"0.2")
MAX_ID_BYTES = 200
MAX_COLD_MS = 3_600_000.0  # a longer announced time is not believed
MAX_REASON_CHARACTERS = 500  # of a refusal, in the log and in the answer


class Announcement(msgspec.Struct):
    """An endpoint's announcement of its address, capacity and state."""

    service: str
    address: str
    zone: str
    slots: int = msgspec.field(name="concurrency-limit")
    state: str
    sequence: int
    # Time until the endpoint has warmed up after its start.
    cold_ms: float = msgspec.field(default=0.0, name="cold-left-ms")
    # Wall-clock time of the endpoint's start in ms; 0 if not announced.
    born: int = 0


_ANNOUNCEMENT_DECODER = msgspec.json.Decoder(Announcement)


def decode_announcement(endpoint_id: str, data: bytes) -> rows.Endpoint:
    """Decode an announcement.

    Raises
    ------
    ValueError
        If a field is missing, of another type or out of range.
    """
    try:
        announcement = _ANNOUNCEMENT_DECODER.decode(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    state = names.STATE_BY_PLATFORM_STATE.get(announcement.state)
    if state is None:
        raise ValueError(f"unknown state {announcement.state!r}")
    cold_ms = 0.0
    if state == "ready" and announcement.cold_ms > 0:
        state = "warming"
        cold_ms = min(announcement.cold_ms, MAX_COLD_MS)
    endpoint = rows.Endpoint(
        endpoint_id=endpoint_id,
        service=announcement.service,
        address=announcement.address,
        zone=announcement.zone,
        slots=announcement.slots,
        connections=0,
        state=state,
        holdings=(),
        incarnation=announcement.born,
        sequence=announcement.sequence,
        cold_left_ms=cold_ms,
    )
    mistake = endpoint_checks.find_mistake(endpoint)
    if mistake:
        raise ValueError(mistake)
    # Only a withdrawal may have the final sequence.
    if endpoint.sequence >= rows.FINAL_SEQUENCE:
        raise ValueError("sequence is out of range")
    return endpoint


class ControlApi:
    """Handles HTTP requests to the control address.

    Parameters
    ----------
    frontend : frontend.ControlFrontend
    """

    def __init__(self, frontend):
        self.frontend = frontend

    def handle(self, exchange):
        """Answer one request."""
        request = exchange.request
        path = request.target.partition(b"?")[0]
        if path == names.DOCUMENT_PATH:
            handler = {b"PUT": self._put_document, b"GET": self._get_document}
        elif path.startswith(names.ENDPOINT_PREFIX):
            handler = {b"PUT": self._announce, b"DELETE": self._withdraw}
        elif path == names.EVACUATION_LIST_PATH:
            handler = {b"GET": self._list_evacuations}
        elif path.startswith(names.EVACUATION_PREFIX):
            handler = {b"POST": self._evacuate, b"DELETE": self._return}
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
            document = platform_documents.decode_new_document(data)
        except ValueError as error:
            _respond_bad_request(exchange, "document", str(error))
            return
        mistakes = documents.check_document(document)
        if mistakes:
            text = "; ".join(f"{m.place}: {m.message}" for m in mistakes[:5])
            _respond_bad_request(exchange, "document", text)
            return
        stored = rows.StoredDocument(document.version, data)
        deferred = self.frontend.apply_document(stored)
        deferred.addCallback(self._confirm_document, exchange, stored)
        deferred.addErrback(_respond_unavailable, exchange, "document")

    def _confirm_document(self, reply, exchange, stored):
        logs.log_decision(
            "document-accepted",
            version=stored.version,
            held=reply.held_version,
        )
        exchange.respond(200, JSON_HEADERS, b"{}")

    def _get_document(self, exchange):
        deferred = self.frontend.read_document()
        deferred.addCallback(_respond_document, exchange)
        deferred.addErrback(_respond_unavailable, exchange, "read")

    def _announce(self, exchange):
        try:
            endpoint_id = _parse_endpoint_id(exchange)
            endpoint = decode_announcement(endpoint_id, exchange.request.body)
        except ValueError as error:
            _respond_bad_request(exchange, "announcement", str(error))
            return
        deferred = self.frontend.announce(endpoint)
        deferred.addCallback(self._confirm_announcement, exchange, endpoint)
        deferred.addErrback(_respond_unavailable, exchange, "announcement")

    def _confirm_announcement(self, _, exchange, endpoint):
        body = {}
        address = self.frontend.find_nearby_address(endpoint)
        if address:
            body[names.ANNOUNCEMENT_ADDRESS_FIELD] = f"http://{address}"
        exchange.respond(200, JSON_HEADERS, msgspec.json.encode(body))

    def _withdraw(self, exchange):
        try:
            endpoint_id = _parse_endpoint_id(exchange)
        except ValueError as error:
            _respond_bad_request(exchange, "withdrawal", str(error))
            return
        deferred = self.frontend.withdraw(endpoint_id)
        deferred.addCallback(_respond_ok, exchange)
        deferred.addErrback(_respond_unavailable, exchange, "withdrawal")

    def _evacuate(self, exchange):
        self._set_evacuated(exchange, True)

    def _return(self, exchange):
        self._set_evacuated(exchange, False)

    def _set_evacuated(self, exchange, evacuated):
        if exchange.request.body:
            reason = "a call for a zone has no body"
            _respond_bad_request(exchange, "evacuation", reason)
            return
        zone = _parse_zone(exchange)
        if not zone or len(zone) > endpoint_checks.MAX_NAME_CHARACTERS:
            reply = messages.EvacuationReply(not evacuated)
            _respond_evacuation(reply, exchange)
            return
        deferred = self.frontend.set_evacuated(zone, evacuated)
        deferred.addCallback(_respond_evacuation, exchange)
        deferred.addErrback(_respond_unavailable, exchange, "evacuation")

    def _list_evacuations(self, exchange):
        deferred = self.frontend.list_evacuations()
        deferred.addCallback(_respond_evacuations, exchange)
        deferred.addErrback(_respond_unavailable, exchange, "evacuations")


def build_handler(frontend):
    """Build the request handler of a control member's HTTP address."""
    return functools.partial(ControlApi.handle, ControlApi(frontend))


def _parse_endpoint_id(exchange) -> str:
    path = exchange.request.target.partition(b"?")[0]
    encoded = path[len(names.ENDPOINT_PREFIX) :]
    if not encoded or len(encoded) > MAX_ID_BYTES:
        raise ValueError(
            f"encoded endpoint id must have 1 to {MAX_ID_BYTES} bytes"
        )
    endpoint_id = urllib.parse.unquote(encoded.decode("ascii"))
    if not endpoint_checks.is_header_token(endpoint_id):
        raise ValueError("endpoint id must have visible ASCII characters")
    return endpoint_id


def _parse_zone(exchange) -> str:
    path = exchange.request.target.partition(b"?")[0]
    encoded = path[len(names.EVACUATION_PREFIX) :]
    return urllib.parse.unquote(encoded.decode("utf-8", "replace"))


def _respond_evacuation(reply, exchange):
    if reply.known:
        exchange.respond(200, JSON_HEADERS, b"{}")
    else:
        _respond_refused(exchange, 404, "evacuation", "unknown zone")


def _respond_evacuations(reply, exchange):
    content = {
        "evacuated": [
            {"zone": e.zone, "since-ms": e.since_ms} for e in reply.evacuations
        ],
        "zones": reply.zones,
    }
    exchange.respond(200, JSON_HEADERS, msgspec.json.encode(content))


def _respond_ok(_, exchange):
    exchange.respond(200, JSON_HEADERS, b"{}")


def _respond_document(stored, exchange):
    if stored.version < 0:
        exchange.respond(404, JSON_HEADERS, b"{}")
        return
    exchange.respond(200, JSON_HEADERS, stored.data)


def _respond_bad_request(exchange, call, reason):
    _respond_refused(exchange, 400, call, reason)


def _respond_refused(exchange, status, call, reason):
    logs.log_decision(
        "call-refused",
        call=call,
        target=exchange.request.target.decode("latin-1")[:MAX_ID_BYTES],
        status=status,
        why=reason[:MAX_REASON_CHARACTERS],
    )
    body = msgspec.json.encode({"error": reason[:MAX_REASON_CHARACTERS]})
    exchange.respond(status, JSON_HEADERS, body)


def _respond_unavailable(failure, exchange, call):
    if failure.check(errors.ProblemError):
        reason = failure.value.problem.detail
    else:
        LOGGER.error("control API request failed: %s", failure.getTraceback())
        reason = "internal error"
    logs.log_decision("call-failed", call=call, status=503, why=reason)
    body = msgspec.json.encode({"error": reason})
    exchange.respond(503, JSON_HEADERS + (RETRY_AFTER,), body)
