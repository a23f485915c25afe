"""Whether an endpoint may be sent to now, by what it has said of itself.

An endpoint in need names the rate that it takes from all VMs together, in
each of its answers for as long as that holds. A send to it needs a permit;
see `rate_permits`. One that turns a request away may ask for a pause, and one
that is leaving says so; neither is sent anything by this VM from then on, the
one until the pause ends, the other for good. Nothing is sent to an endpoint in
an evacuated zone either, whatever it has said, and to one whose answers were
none again and again while such answers take too much of this process's time.

An endpoint that is cold takes little from all VMs together. Where the document
states a rate for its service and the rule is in force, sends to it need a
permit as well. How long it stays cold comes from its announcement, from its
answers, or else from the document.
"""

import collections
import email.utils
import math
import re
import typing

from chervilspindle.core import logs

SENDS_LOG_PERIOD_S = 1.0  # summary of the sends to a limited endpoint
MAX_PAUSE_S = 600.0
# Pauses end later by up to this share, so that VMs don't return together.
PAUSE_SPREAD = 0.1
# Reasons of verdicts that hold until further notice.
LEAVING = "leaving"
ZONE_OUT = "zone_out"
PAUSE = "pause"  # reason of verdicts
# A longer time that an endpoint states to stay cold is not believed.
MAX_COLD_S = 3600.0
# Within this time control has heard of an endpoint that has started, and all
# VMs of it.
SUSPECTED_S = 2.0
COLD_LEFT_PATTERN = re.compile(rb"\s*(\d{1,9})(?:\.\d{1,9})?\s*")
COLD = "cold"  # reason of verdicts


class Restrictions:
    """Restrictions of one endpoint; mutable.

    Attributes
    ----------
    endpoint_id : str
    limit_per_s : float or None
        Requests per second that the endpoint takes from all VMs together;
        None without a limit.
    named_s : float
        Loop time of the last answer that named the limit.
    closed_until_s : float
        Loop time before which no permit is available.
    paused_until_s : float
        Loop time until which the endpoint is sent nothing.
    leaving : bool
        Whether the endpoint said that it is leaving.
    zone_out : bool
        Whether the endpoint's zone is evacuated.
    closed_reason : str
        `LEAVING`, else `ZONE_OUT` or empty; kept up to date with the two, so
        that one test covers both.
    sends_by_cause : collections.Counter
        Sends since `logged_s`, while there is a limit.
    logged_s : float
        Loop time of the last summary of sends.
    cold_from_s : float
        Loop time at which this VM learned that the endpoint is cold.
    cold_until_s : float
        Loop time until which the endpoint is cold; infinite if not known.
    cold_per_s : float or None
        Requests per second that it takes from all VMs together while it is
        cold; None if there is no such limit.
    """

    __slots__ = (
        "endpoint_id",
        "limit_per_s",
        "named_s",
        "closed_until_s",
        "paused_until_s",
        "_leaving",
        "_zone_out",
        "closed_reason",
        "sends_by_cause",
        "logged_s",
        "cold_from_s",
        "cold_until_s",
        "cold_per_s",
    )

    def __init__(self, endpoint_id: str):
        self.endpoint_id = endpoint_id
        self.limit_per_s = None
        self.named_s = -math.inf
        self.closed_until_s = -math.inf
        self.paused_until_s = -math.inf
        self._leaving = False
        self._zone_out = False
        self.closed_reason = ""
        self.sends_by_cause = collections.Counter()
        self.logged_s = -math.inf
        self.cold_from_s = -math.inf
        self.cold_until_s = -math.inf
        self.cold_per_s = None

    @property
    def leaving(self) -> bool:
        return self._leaving

    @leaving.setter
    def leaving(self, leaving: bool):
        self._leaving = leaving
        self._update_closed_reason()

    @property
    def zone_out(self) -> bool:
        return self._zone_out

    @zone_out.setter
    def zone_out(self, zone_out: bool):
        self._zone_out = zone_out
        self._update_closed_reason()

    def _update_closed_reason(self):
        if self._leaving:
            self.closed_reason = LEAVING
        else:
            self.closed_reason = ZONE_OUT if self._zone_out else ""


class Verdict(typing.NamedTuple):
    """Whether an endpoint may be sent to.

    Parameters
    ----------
    allowed : bool
        Whether it may be sent to now, with a permit if one is needed.
    needs_permit : bool
    retry_s : float
        If not allowed, the loop time from which it may be, infinite if never;
        otherwise now.
    reason : str
        For metrics: what the endpoint said, or `ZONE_OUT`; empty without
        restrictions.
    """

    allowed: bool
    needs_permit: bool
    retry_s: float
    reason: str = ""


def evaluate(restrictions: Restrictions, now: float) -> Verdict:
    """Decide whether an endpoint may be sent to at a loop time."""
    if restrictions.closed_reason:
        return Verdict(False, False, math.inf, restrictions.closed_reason)
    if restrictions.paused_until_s > now:
        return Verdict(False, False, restrictions.paused_until_s, PAUSE)
    if restrictions.limit_per_s is not None:
        reason = "limit"
    elif restrictions.cold_per_s and restrictions.cold_until_s > now:
        reason = COLD
    else:
        return Verdict(True, False, now)
    if restrictions.closed_until_s > now:
        return Verdict(False, True, restrictions.closed_until_s, reason)
    return Verdict(True, True, now, reason)


class SharedLimit(typing.NamedTuple):
    """A limit on the sends of all VMs to an endpoint.

    Parameters
    ----------
    per_s : float
    age_s : float
        Time since it was named.
    is_cold : bool
        Whether the endpoint is cold, so that the limit is a hard one.
    """

    per_s: float
    age_s: float
    is_cold: bool


def get_shared_limit(restrictions: Restrictions, now: float) -> SharedLimit:
    """Return the limit that a permit is needed for.

    The endpoint has a limit, or had one when the permit was found to be
    needed.
    """
    named = restrictions.limit_per_s
    cold = restrictions.cold_per_s
    if named is None or is_limited_by_cold(restrictions, now):
        per_s = cold or 0.0
        return SharedLimit(
            per_s if named is None else min(per_s, named), 0.0, True
        )
    return SharedLimit(named, now - restrictions.named_s, False)


def is_limited_by_cold(restrictions: Restrictions, now: float) -> bool:
    """Tell whether an endpoint is cold and has a limit for that."""
    return restrictions.cold_until_s > now and bool(restrictions.cold_per_s)


def is_cold(restrictions: Restrictions, now: float) -> bool:
    """Tell whether an endpoint is cold at a loop time."""
    return restrictions.cold_until_s > now


def parse_cold_left_s(value: bytes) -> float | None:
    """Parse a time in ms that an endpoint stays cold; return s.

    None if malformed.
    """
    match = COLD_LEFT_PATTERN.fullmatch(value)
    if match is None:
        return None
    return min(float(value) / 1000.0, MAX_COLD_S)


def record_cold(
    restrictions: Restrictions, left_s: float | None, now: float
) -> bool:
    """Record how long an endpoint stays cold from now on.

    Parameters
    ----------
    restrictions : Restrictions
    left_s : float or None
        0 if it is not cold; None if it is, for a time that is not known.
    now : float
        Loop time.

    Returns
    -------
    bool
        Whether sends have to stop that were allowed without a permit.
    """
    was_cold = is_cold(restrictions, now)
    has_limit = bool(restrictions.cold_per_s)
    if left_s is not None and left_s <= 0.0:
        if was_cold:
            restrictions.cold_until_s = now
            if has_limit:
                logs.log_decision(
                    "endpoint-warm", endpoint=restrictions.endpoint_id
                )
        return False
    restrictions.cold_from_s = now
    restrictions.cold_until_s = math.inf if left_s is None else now + left_s
    if was_cold or not has_limit:
        return False
    logs.log_decision(
        "endpoint-cold",
        endpoint=restrictions.endpoint_id,
        left_ms=None if left_s is None else round(left_s * 1000.0),
        limit_per_s=restrictions.cold_per_s,
    )
    return True


def suspect_cold(restrictions: Restrictions, unreached_s: float, now: float):
    """Take an endpoint for cold that could not be reached just before.

    It may have been started again, before control has heard of it. Endpoints
    that refuse some of this VM's connections are not suspected: at their
    limit of connections they do.

    Parameters
    ----------
    unreached_s : float
        Loop time at which it could not be reached at all.
    """
    until_s = unreached_s + SUSPECTED_S
    if restrictions.cold_per_s and until_s > now:
        if restrictions.cold_until_s < until_s:
            restrictions.cold_until_s = until_s


def set_cold_limit(
    restrictions: Restrictions, per_s: float | None, longest_s: float
):
    """Set what the document states of endpoints that are cold.

    Parameters
    ----------
    restrictions : Restrictions
    per_s : float or None
        Rate while the endpoint is cold; None if there is no limit.
    longest_s : float
        How long endpoints stay cold, where it is not known from the endpoint;
        0 if not stated.
    """
    restrictions.cold_per_s = per_s
    if longest_s and restrictions.cold_until_s == math.inf:
        until_s = restrictions.cold_from_s + longest_s
        restrictions.cold_until_s = until_s


def parse_limit(value: bytes) -> float | None:
    """Parse a rate in requests per second; None if malformed."""
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0.0 else None


def record_limit(
    restrictions: Restrictions,
    value: bytes | None,
    sent_s: float,
    now: float,
):
    """Update the limit from the header of an answer.

    Parameters
    ----------
    restrictions : Restrictions
    value : bytes or None
        None if the answer names no limit, which ends the one in force
        unless the answer may be older than the one that named it.
    sent_s : float
        Loop time at which the answered request was sent.
    now : float
        Loop time.
    """
    if value is None:
        if restrictions.limit_per_s is not None:
            if sent_s > restrictions.named_s:
                _log_sends(restrictions, now)
                restrictions.limit_per_s = None
                logs.log_decision(
                    "endpoint-limit-ended", endpoint=restrictions.endpoint_id
                )
        return
    limit = parse_limit(value)
    if limit is None:
        logs.log_decision(
            "endpoint-limit-malformed",
            endpoint=restrictions.endpoint_id,
            value=logs.clip_header(value),
        )
        return
    if limit != restrictions.limit_per_s:
        logs.log_decision(
            "endpoint-limit",
            endpoint=restrictions.endpoint_id,
            limit_per_s=limit,
            previous_per_s=restrictions.limit_per_s,
        )
    if restrictions.limit_per_s is None:
        restrictions.logged_s = now
    restrictions.limit_per_s = limit
    restrictions.named_s = now


def record_leaving(restrictions: Restrictions, value: bytes | None):
    """Record whether an answer says that its endpoint is leaving."""
    if value is None or value.strip() != b"1" or restrictions.leaving:
        return
    restrictions.leaving = True
    logs.log_decision("endpoint-leaving", endpoint=restrictions.endpoint_id)


def parse_pause_s(value: bytes, wall_s: float) -> float | None:
    """Parse a Retry-After header: seconds or an HTTP date.

    Parameters
    ----------
    value : bytes
    wall_s : float
        Seconds since the epoch.

    Returns
    -------
    float or None
        Seconds above 0, at most `MAX_PAUSE_S`; None if malformed or not in
        the future.
    """
    text = value.decode("latin-1").strip()
    try:
        pause_s = float(text)
    except ValueError:
        try:
            date = email.utils.parsedate_to_datetime(text)
            pause_s = date.timestamp() - wall_s
        except (ValueError, OverflowError):
            return None
    if not pause_s > 0.0:
        return None
    return min(pause_s, MAX_PAUSE_S)


def record_pause(
    restrictions: Restrictions, value: bytes | None, now: float, random
) -> bool:
    """Record the pause that a refusal asks for, if it does.

    Parameters
    ----------
    restrictions : Restrictions
    value : bytes or None
        Retry-After of an answer with status 503.
    now : float
        Loop time.
    random : random.Random

    Returns
    -------
    bool
        False if the header cannot be used.
    """
    if value is None:
        return True
    pause_s = parse_pause_s(value, logs.read_wall_ms() / 1000.0)
    if pause_s is None:
        logs.log_decision(
            "endpoint-pause-ignored",
            endpoint=restrictions.endpoint_id,
            value=logs.clip_header(value),
        )
        return False
    pause(restrictions, pause_s, "asked", now, random)
    return True


def pause(
    restrictions: Restrictions, pause_s: float, why: str, now: float, random
):
    """Send an endpoint nothing for some time.

    Parameters
    ----------
    restrictions : Restrictions
    pause_s : float
    why : str
        For logs.
    now : float
        Loop time.
    random : random.Random
    """
    until_s = now + pause_s * (1.0 + PAUSE_SPREAD * random.random())
    if restrictions.paused_until_s <= now:
        logs.log_decision(
            "endpoint-pause",
            endpoint=restrictions.endpoint_id,
            pause_ms=round(pause_s * 1000.0),
            why=why,
        )
    restrictions.paused_until_s = max(restrictions.paused_until_s, until_s)


def record_send(restrictions: Restrictions, cause: str, now: float):
    """Count a send to an endpoint that has named a limit, or is cold."""
    limit = restrictions.limit_per_s
    if limit is None and not restrictions.cold_per_s:
        return
    restrictions.sends_by_cause[cause] += 1
    if now - restrictions.logged_s >= SENDS_LOG_PERIOD_S:
        _log_sends(restrictions, now)


def _log_sends(restrictions, now):
    logs.log_decision(
        "endpoint-limited-sends",
        endpoint=restrictions.endpoint_id,
        limit_per_s=get_shared_limit(restrictions, now).per_s,
        sends=dict(restrictions.sends_by_cause),
        period_s=round(now - restrictions.logged_s, 3),
    )
    restrictions.sends_by_cause.clear()
    restrictions.logged_s = now
