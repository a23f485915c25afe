"""JSON-lines logging, with one line per routing or placement decision."""

import json
import logging
import sys
import time

MAX_HEADER_CHARACTERS = 40
LOGGER = logging.getLogger(__name__)
DECISION_LOGGER = logging.getLogger("chervilspindle.decision")

_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", (), None))
) | {"message", "asctime", "taskName"}


class JsonFormatter(logging.Formatter):
    """Formats a record and its extra fields as one JSON object."""

    def __init__(self, vm_id: str = ""):
        super().__init__()
        self.vm_id = vm_id

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one JSON line without a newline."""
        line = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "vm": self.vm_id,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(vm_id: str, level: str = "INFO", stream=None):
    """Write all log records of the process to `stream` as JSON lines."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(vm_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def log_decision(decision: str, **fields):
    """Log one routing or placement decision with its fields."""
    if DECISION_LOGGER.isEnabledFor(logging.INFO):
        DECISION_LOGGER.info(decision, extra=fields)


def log_end(code: int):
    """Record with which exit code this process ends."""
    LOGGER.info("process ends", extra={"code": code})


def clip_header(value: bytes) -> str:
    """Return the start of a header's value for a log line."""
    return value.decode("latin-1")[:MAX_HEADER_CHARACTERS]


def read_wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return int(time.time() * 1000)
