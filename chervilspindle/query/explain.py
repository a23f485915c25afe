"""Record of the decisions on recent requests, for /v1/explain."""

import collections
import json

from chervilspindle.core import logs

MAX_REQUESTS = 5000


class Explainer:
    """Logs decisions and keeps those on the latest `MAX_REQUESTS` requests."""

    def __init__(self):
        self.decisions_by_id = collections.OrderedDict()

    def record(self, request_id: str, decision: str, **fields):
        """Log a decision and keep it."""
        logs.log_decision(decision, request_id=request_id, **fields)
        decisions = self.decisions_by_id.get(request_id)
        if decisions is None:
            decisions = self.decisions_by_id[request_id] = []
            if len(self.decisions_by_id) > MAX_REQUESTS:
                self.decisions_by_id.popitem(last=False)
        decisions.append({"decision": decision, **fields})

    def describe(self, request_id: str) -> bytes:
        """Return the decisions on a request as JSON, empty if none."""
        decisions = self.decisions_by_id.get(request_id)
        if decisions is None:
            return b""
        body = {"request_id": request_id, "decisions": decisions}
        return json.dumps(body, default=str).encode()
