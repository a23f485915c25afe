"""Accounts for the credit that a day's requests lost, by cause.

Reads the JSON lines of the entries, as the processes write them or with the
time and the VM before each line, and lists for each of the worst windows
what was lost and why. A fan-out answer earns the square of the share of its
shards if it is sent in time; any other answer earns one or nothing. Requests
whose entry was killed leave no line; `sum_windows` takes the number that
callers sent.

Usage: python -m bench.ledger LOG [--window_s 2] [--worst 2]
"""

import collections
import json
import re
import statistics
import typing

import defopt

MAX_LOGGED_RESENDS = 8  # rows of `again` in one line
LATE_HEDGE_SHARE = 0.5  # of the answer time, after which a send is too late
CALLER_LEFT_STATUS = 499
# Causes for which an entry had no better choice.
UNAVOIDABLE = ("no endpoint answered in time", "all endpoints down")
CAUSE_BY_REFUSAL = {
    "no_document": "entry had no routes yet",
    "no_endpoint": "all endpoints down",
    "overload": "refused by load",
}
CAUSE_BY_REASON = {
    "no_endpoint": "all endpoints down",
    "broken": "connection lost",
    "relay_lost": "connection lost",
    "not_sent": "no connection",
    "withdrawn": "no connection",
    "timed_out": "no endpoint answered in time",
}
_PREFIXED_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")


class Line(typing.NamedTuple):
    """One request line of an entry.

    Parameters
    ----------
    at_s : float
        When the request ended.
    vm_id : str
    fields : dict
    """

    at_s: float
    vm_id: str
    fields: dict


class Loss(typing.NamedTuple):
    """Credit that one request lost for one cause.

    Parameters
    ----------
    at_s : float
    request_id : str
    cause : str
    credit : float
        In (0, 1].
    detail : str
        Shards, or the reason of the answer.
    """

    at_s: float
    request_id: str
    cause: str
    credit: float
    detail: str


class Window(typing.NamedTuple):
    """Sums of one window of time.

    Parameters
    ----------
    start_s : float
    requests : int
    credit_by_cause : dict of str to float
        Lost credit.
    """

    start_s: float
    requests: int
    credit_by_cause: dict[str, float]

    def compute_share(self) -> float:
        """Return the share of the credit that was earned."""
        return 1.0 - sum(self.credit_by_cause.values()) / self.requests

    def compute_bound(self) -> float:
        """Return the share that was in reach, had each choice been right."""
        unavoidable = sum(
            credit
            for cause, credit in self.credit_by_cause.items()
            if cause in UNAVOIDABLE
        )
        return 1.0 - unavoidable / self.requests


def read_lines(source):
    """Read the request lines of a log.

    Parameters
    ----------
    source : iterable of str

    Returns
    -------
    lines, errors : list of Line, list of str
        Errors name lines that look like JSON and are not.
    """
    lines, errors = [], []
    for number, text in enumerate(source, 1):
        match = _PREFIXED_LINE.match(text)
        payload = match.group(3) if match else text.strip()
        if not payload.startswith("{"):
            continue
        try:
            fields = json.loads(payload)
        except ValueError as error:
            errors.append(f"line {number}: {error}")
            continue
        if fields.get("message") != "request" or "status" not in fields:
            continue
        at_s = float(match.group(1)) if match else fields.get("time", 0.0)
        vm_id = match.group(2) if match else fields.get("vm", "")
        lines.append(Line(at_s, vm_id, fields))
    return lines, errors


def estimate_answer_ms(lines) -> dict[str, float]:
    """Return when answers of each fan-out route are due, in ms.

    That is the median time of the answers that were sent at that time, with
    the parts received so far.
    """
    times_by_route = collections.defaultdict(list)
    for line in lines:
        if line.fields.get("why") == "objective":
            times_by_route[line.fields["route"]].append(line.fields["ms"])
    return {r: statistics.median(t) for r, t in times_by_route.items()}


def keep_routes(lines, names) -> list[Line]:
    """Leave out requests on other routes than those named.

    Requests that an entry refused before it had a route are kept.
    """
    return [
        line
        for line in lines
        if line.fields.get("route") in names
        or line.fields.get("why") == "no_document"
    ]


def count_routes(lines) -> list[tuple[str, int, int]]:
    """Return name, requests and successes of each route, most first."""
    requests = collections.Counter()
    served = collections.Counter()
    for line in lines:
        name = line.fields.get("route")
        if name is not None:
            requests[name] += 1
            served[name] += line.fields["status"] == 200
    return [(name, n, served[name]) for name, n in requests.most_common()]


def list_losses(line: Line, answer_ms: float) -> list[Loss]:
    """Return what one request lost, by cause.

    Parameters
    ----------
    line : Line
    answer_ms : float
        When an answer of its route is due; infinite if not known.
    """
    fields = line.fields
    status = fields["status"]
    shards = fields.get("shards", 0)
    if status == CALLER_LEFT_STATUS:
        return []
    lost = 1.0
    if status == 200:
        in_time = fields["ms"] <= 1.1 * answer_ms
        if in_time and not shards:
            return []
        if in_time:
            lost = 1.0 - (fields["answered"] / shards) ** 2
    if not lost:
        return []
    causes = collections.Counter()
    again = {row[0]: row[3] for row in fields.get("again", ())}
    for item in fields.get("missing", ()):
        service, _, reason = item.partition(":")
        causes[_find_shard_cause(service, reason, again, answer_ms)] += 1
    if not causes:
        causes[_find_answer_cause(status, fields.get("why", ""))] += 1
    total = sum(causes.values())
    detail = ", ".join(fields.get("missing", ())) or fields.get("why", "")
    request_id = fields.get("request_id", "")
    return [
        Loss(line.at_s, request_id, cause, lost * count / total, detail)
        for cause, count in sorted(causes.items())
    ]


def sum_windows(lines, losses, window_s: float, asked=None) -> list[Window]:
    """Sum requests and losses by window, in the order of time.

    Parameters
    ----------
    lines : list of Line
    losses : list of Loss
    window_s : float
    asked : dict of float to int, optional
        Requests of callers by the start of their window. What has no line
        ended with the process of its entry, or found none.
    """
    requests = collections.Counter()
    credit = collections.defaultdict(collections.Counter)
    for line in lines:
        if line.fields["status"] != CALLER_LEFT_STATUS:
            requests[line.at_s // window_s * window_s] += 1
    for loss in losses:
        credit[loss.at_s // window_s * window_s][loss.cause] += loss.credit
    for start_s, count in (asked or {}).items():
        unlogged = count - requests[start_s]
        if unlogged > 0:
            requests[start_s] = count
            credit[start_s]["no entry, or killed with it"] += unlogged
    return [
        Window(start_s, count, dict(credit[start_s]))
        for start_s, count in sorted(requests.items())
        if count
    ]


def render(windows, worst: int) -> str:
    """Return the worst windows and the sums of all as text."""
    rows = []
    ranked = sorted(windows, key=Window.compute_share)[:worst]
    for window in ranked:
        rows.append(
            f"from {window.start_s:g} s: {window.requests} requests, "
            f"{window.compute_share():.3f} earned, "
            f"{window.compute_bound():.3f} in reach"
        )
        rows += _render_causes(window.credit_by_cause, window.requests)
    requests = sum(w.requests for w in windows)
    total = collections.Counter()
    for window in windows:
        total.update(window.credit_by_cause)
    rows.append(f"all: {requests} requests")
    rows += _render_causes(total, requests)
    return "\n".join(rows)


def _render_causes(credit_by_cause, requests):
    ranked = sorted(credit_by_cause.items(), key=lambda item: -item[1])
    return [
        f"  {credit / requests:7.4f}  {cause}"
        + ("" if cause not in UNAVOIDABLE else " (not avoidable)")
        for cause, credit in ranked
    ]


def _find_shard_cause(service, reason, again, answer_ms):
    if reason == "late":
        if service in again:
            if again[service] > LATE_HEDGE_SHARE * answer_ms:
                return "second send came late"
            return "no endpoint answered in time"
        if len(again) >= MAX_LOGGED_RESENDS:
            return "late, second send not in the log"
        return "no second send"
    if reason in CAUSE_BY_REASON:
        return CAUSE_BY_REASON[reason]
    if reason.startswith("refused"):
        return "endpoints refused"
    return "endpoints failed"


def _find_answer_cause(status, why):
    if status == 503:
        return CAUSE_BY_REFUSAL.get(why, "endpoints refused")
    if status == 504:
        return "no endpoint answered in time"
    if status == 200:
        return "queue, processor or link"
    return CAUSE_BY_REASON.get(why, "endpoints failed")


def main(log: str, *, window_s: float = 2.0, worst: int = 2, routes: str = ""):
    """Print the account of a log.

    :param log: log of one day, of all entries
    :param window_s: length of a window, in s
    :param worst: number of worst windows to list
    :param routes: routes that callers use, separated by commas; without, the
        routes are listed, and those that served at least once are counted
    """
    with open(log, encoding="utf-8", errors="replace") as source:
        lines, errors = read_lines(source)
    for error in errors:
        print(f"cannot read {error}")
    if not lines:
        raise SystemExit(f"{log}: no request lines")
    names = {name for name in routes.split(",") if name}
    if not names:
        for name, requests, served in count_routes(lines):
            print(f"route {name}: {requests} requests, {served} served")
            if served:
                names.add(name)
    lines = keep_routes(lines, names)
    answer_ms_by_route = estimate_answer_ms(lines)
    losses = [
        loss
        for line in lines
        for loss in list_losses(
            line,
            answer_ms_by_route.get(line.fields.get("route"), float("inf")),
        )
    ]
    print(render(sum_windows(lines, losses, window_s), worst))


if __name__ == "__main__":
    defopt.run(main, cli_options="kwonly")
