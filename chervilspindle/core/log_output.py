"""Log output that never blocks the event loop and is bounded in volume.

Lines that the reader of standard output has not read are buffered up to a
limit and then dropped. Each kind of decision has a rate limit of its own.
Dropped lines are counted, and the next line written reports the count.
"""

import collections
import json
import logging
import os
import time

BUFFER_BYTES = 256 * 1024
LINES_PER_S = 40.0  # per kind of line
BURST_LINES = 200.0
MIN_FAILURE_STATUS = 400


class NonBlockingStream:
    """Writes to a descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.buffered = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str):
        """Write or buffer a line; drop it if the buffer is full."""
        data = text.encode()
        if self.buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.buffered.append(data)
            self.buffered_bytes += len(data)
        self.flush()

    def flush(self):
        """Write buffered lines until the descriptor would block."""
        while self.buffered:
            data = self.buffered[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, so there is nowhere to report it.
                self.dropped += len(self.buffered)
                self.buffered.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(data):
                self.buffered[0] = data[written:]
                return
            self.buffered.popleft()
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.write(_build_drop_report("unread", dropped))


class VolumeLimiter(logging.Filter):
    """Log filter with a token bucket for each kind of line.

    Failed requests have a separate bucket, so that lines of successful
    requests never displace them. Errors are not limited.
    """

    def __init__(self, read_clock=time.monotonic):
        super().__init__()
        self.read_clock = read_clock
        # Mutable [tokens, time of last refill, dropped lines] by kind.
        self.buckets = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        if record.levelno >= logging.ERROR:
            return True
        now = self.read_clock()
        kind = record.msg
        if getattr(record, "status", 0) >= MIN_FAILURE_STATUS:
            kind = f"{kind} failed"
        bucket = self.buckets.setdefault(kind, [BURST_LINES, now, 0])
        refill = (now - bucket[1]) * LINES_PER_S
        bucket[0] = min(BURST_LINES, bucket[0] + refill)
        bucket[1] = now
        if bucket[0] < 1.0:
            bucket[2] += 1
            return False
        bucket[0] -= 1.0
        if bucket[2]:
            record.dropped_before = bucket[2]
            bucket[2] = 0
        return True


def _build_drop_report(reason, count):
    line = {
        "time": time.time(),
        "level": "warning",
        "message": "log lines dropped",
        "why": reason,
        "count": count,
    }
    return json.dumps(line) + "\n"
