"""Permits to send to endpoints that limit the requests of all VMs together.

For each such endpoint one entry, its issuer, paces the requests of all VMs:
a VM asks it for a permit before each send. The issuer is chosen by
rendezvous hashing among the entries in the endpoint's zone, from the list
that control sends to all entries. It gives out permits in the order of the
calls, for now or for a time that the caller can wait for.

A VM whose issuer does not answer, or does not consider itself the issuer,
keeps to a small part of the limit by itself. The sum over all VMs then stays
below the limit plus `FALLBACK_SHARE` of it, however many VMs are cut off
from the issuer.

The limit of an endpoint that is cold holds in each second, since the endpoint
crashes above it. An entry that becomes its issuer starts with a small part of
the limit, as the one before it may still give out permits to VMs that have the
old list; permits that come late are not used; and VMs without an issuer keep
to times of their own.
"""

import math
import typing

from chervilspindle.core import logs
from chervilspindle.policy import rendezvous
from chervilspindle.routing import permission
from chervilspindle.wire import messages

# An endpoint that names less is still asked now and then, since only an
# answer can end its limit.
MIN_LIMIT_PER_S = 0.25
BURST_S = 0.5  # sends that may be made up for after a pause, as time
CALL_TIMEOUT_S = 0.06  # several round trips within a region
ISSUER_SILENCE_S = 1.0  # before an issuer that failed is asked again
FALLBACK_SHARE = 0.25  # of the limit, for all VMs without an issuer together
PACER_IDLE_S = 30.0  # before an unused pacer is forgotten
# For endpoints that are cold. What the issuer gives out with its burst and the
# lifetime of a permit, a new issuer beside it, and VMs without an issuer add
# up to less than this many times the limit in any second.
COLD_OVERLOAD = 1.5
COLD_BURST_S = 0.05
COLD_PERMIT_LIFETIME_S = 0.1
COLD_FALLBACK_SHARE = 0.1
NEW_ISSUER_SHARE = 0.15
# VMs get a new list of entries within this time, with a margin.
NEW_ISSUER_S = 2.5


class Reservation(typing.NamedTuple):
    """Outcome of a request for a permit.

    Parameters
    ----------
    granted : bool
    wait_s : float
        When the permit starts to hold; if not granted, when one would have
        been available.
    """

    granted: bool
    wait_s: float


class Pacer:
    """Spaces the sends to one endpoint evenly; mutable.

    A generic cell rate algorithm: `next_s` advances by one interval for each
    permit and may be ahead of the clock by `burst_s`.

    Parameters
    ----------
    rate_per_s : float
    first_s : float
        Time of the first permit.
    burst_s : float
    """

    __slots__ = (
        "rate_per_s",
        "named_s",
        "next_s",
        "burst_s",
        "used_s",
        "started_s",
    )

    def __init__(self, rate_per_s: float, first_s: float, burst_s: float):
        self.rate_per_s = rate_per_s
        self.named_s = -math.inf
        self.next_s = first_s + burst_s
        self.burst_s = burst_s
        self.used_s = first_s
        self.started_s = first_s

    def set_rate(self, rate_per_s: float, named_s: float):
        """Set the rate named at a time, unless a later one is known."""
        if named_s >= self.named_s:
            self.rate_per_s = rate_per_s
            self.named_s = named_s

    def reserve(self, now: float, max_wait_s: float) -> Reservation:
        """Reserve the next permit unless it comes after `max_wait_s`."""
        self.used_s = now
        wait_s = max(0.0, self.next_s - self.burst_s - now)
        if wait_s > max_wait_s:
            return Reservation(False, wait_s)
        self.next_s = max(self.next_s, now) + 1.0 / self.rate_per_s
        return Reservation(True, wait_s)

    def compute_issuer_share(self, now: float) -> float:
        """Return the share of the limit of a cold endpoint to give out.

        `now` is the time of a call. Pacers that were not used for a while
        may belong to an entry that has become the issuer again.
        """
        if now - self.used_s > NEW_ISSUER_S:
            self.started_s = now
        is_new = now - self.started_s < NEW_ISSUER_S
        return NEW_ISSUER_SHARE if is_new else 1.0

    def skip_missed(self, now: float):
        """Give up permits for past times without changing those to come."""
        if self.next_s < now:
            missed = math.ceil((now - self.next_s) * self.rate_per_s)
            self.next_s += missed / self.rate_per_s


class PermitIssuer:
    """Gives out permits for the endpoints that this entry is the issuer of.

    Parameters
    ----------
    vm_id : str
    relay_table : relay_selection.RelayTable
        Has the list of all entries.
    read_clock : callable
        Monotonic seconds.
    """

    def __init__(self, vm_id, relay_table, read_clock):
        self.vm_id = vm_id
        self.relay_table = relay_table
        self.read_clock = read_clock
        self.pacer_by_endpoint = {}

    def issue(self, call: messages.PermitCall) -> messages.PermitReply:
        """Answer a request for a permit; see `messages.PermitReply`."""
        endpoint_id = call.endpoint_id
        issuer = choose_issuer(self.relay_table.relays, endpoint_id, call.zone)
        if issuer is None or issuer.vm_id != self.vm_id:
            return messages.PermitReply(False, False, 0.0)
        now = self.read_clock()
        rate = max(call.limit_per_s, MIN_LIMIT_PER_S)
        burst_s = COLD_BURST_S if call.is_cold else BURST_S
        pacer = self.pacer_by_endpoint.get(endpoint_id)
        if pacer is None:
            remove_idle(self.pacer_by_endpoint, now)
            pacer = Pacer(rate, now, burst_s)
            self.pacer_by_endpoint[endpoint_id] = pacer
            logs.log_decision(
                "permits-issued-here",
                endpoint=endpoint_id,
                limit_per_s=call.limit_per_s,
            )
        pacer.burst_s = burst_s
        if call.is_cold:
            rate *= pacer.compute_issuer_share(now)
        pacer.set_rate(rate, now - call.age_s)
        reservation = pacer.reserve(now, call.max_wait_s)
        return messages.PermitReply(True, *reservation)


class PermitClient:
    """Obtains permits for the sends of this VM.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    network : PeerNetwork
    issuer : PermitIssuer
        For the endpoints whose issuer this VM is.
    budget : retry_budget.RetryBudget
        Has the number of VMs.
    random : random.Random
    """

    def __init__(self, loop, network, issuer, budget, random):
        self.loop = loop
        self.network = network
        self.issuer = issuer
        self.budget = budget
        self.random = random
        self.fallback_by_endpoint = {}
        self.failed_s_by_address = {}

    def acquire(self, target, max_wait_s: float, on_result):
        """Obtain a permit to send to an endpoint.

        Parameters
        ----------
        target : endpoints.Target
            Its endpoint names a limit, or is cold.
        max_wait_s : float
            How long the send may wait.
        on_result : callable
            ``on_result(granted)``, called once: with True when the permit
            holds, or with False.
        """
        endpoint = target.endpoint
        now = self.loop.time()
        limit = permission.get_shared_limit(target.restrictions, now)
        call = messages.PermitCall(
            endpoint.endpoint_id,
            endpoint.zone,
            limit.per_s,
            limit.age_s,
            max_wait_s,
            limit.is_cold,
        )
        request = _PermitRequest(self, target, call, on_result)
        issuer = choose_issuer(
            self.issuer.relay_table.relays,
            endpoint.endpoint_id,
            endpoint.zone,
        )
        if issuer is None or not self._may_answer(issuer.address, now):
            request.fall_back("no issuer")
        elif issuer.vm_id == self.issuer.vm_id:
            request.handle_reply(self.issuer.issue(call))
        else:
            request.ask(issuer.address)

    def _may_answer(self, address, now) -> bool:
        failed_s = self.failed_s_by_address.get(address, -math.inf)
        return now - failed_s >= ISSUER_SILENCE_S

    def record_issuer_failure(self, address: str, reason: str):
        """Don't ask an issuer for `ISSUER_SILENCE_S`."""
        self.failed_s_by_address[address] = self.loop.time()
        logs.log_decision("permit-issuer-failed", address=address, why=reason)

    def reserve_alone(self, call: messages.PermitCall) -> Reservation:
        """Reserve a permit from this VM's part of the fallback share."""
        now = self.loop.time()
        limit = max(call.limit_per_s, MIN_LIMIT_PER_S)
        share = COLD_FALLBACK_SHARE if call.is_cold else FALLBACK_SHARE
        rate = share * limit / max(1, self.budget.vms)
        pacer = self.fallback_by_endpoint.get(call.endpoint_id)
        if pacer is None:
            remove_idle(self.fallback_by_endpoint, now)
            # At a random phase, so that VMs that lose an issuer together
            # don't send together.
            first_s = now + self.random.random() / rate
            pacer = Pacer(rate, first_s, 0.0)
            self.fallback_by_endpoint[call.endpoint_id] = pacer
        pacer.set_rate(rate, now)
        if call.is_cold:
            # Callers that come back together find most VMs without a permit.
            pacer.skip_missed(now)
        return pacer.reserve(now, call.max_wait_s)


class _PermitRequest:
    """One request for a permit in progress."""

    def __init__(self, client, target, call, on_result):
        self.client = client
        self.target = target
        self.call = call
        self.on_result = on_result
        self.timer = None
        self.asked_s = client.loop.time()
        self.address = ""
        self.answered = False

    def ask(self, address):
        """Ask another entry."""
        client = self.client
        self.address = address
        self.timer = client.loop.call_later(
            CALL_TIMEOUT_S, self._fail, "no answer in time"
        )
        deferred = client.network.call(address, self.call, CALL_TIMEOUT_S)
        deferred.addCallbacks(
            self._handle_remote_reply,
            lambda failure: self._fail(str(failure.value)),
        )

    def _handle_remote_reply(self, reply):
        if self.answered:
            return
        if self.call.is_cold:
            # This VM may have been stopped since it asked.
            waited_s = self.client.loop.time() - self.asked_s
            if waited_s > CALL_TIMEOUT_S:
                self._fail("late answer")
                return
        self.timer.cancel()
        self.handle_reply(reply)

    def _fail(self, reason):
        if self.answered:
            return
        self.timer.cancel()
        self.client.record_issuer_failure(self.address, reason)
        self.fall_back(reason)

    def handle_reply(self, reply: messages.PermitReply):
        """Use the answer of an issuer."""
        if reply.is_issuer:
            self._finish(Reservation(reply.granted, reply.wait_s))
        else:
            self.fall_back("not the issuer")

    def fall_back(self, reason):
        """Use this VM's part of the fallback share."""
        reservation = self.client.reserve_alone(self.call)
        logs.log_decision(
            "permit-fallback",
            endpoint=self.call.endpoint_id,
            why=reason,
            granted=reservation.granted,
            wait_ms=round(reservation.wait_s * 1000.0),
        )
        self._finish(reservation)

    def _finish(self, reservation):
        self.answered = True
        loop = self.client.loop
        if not reservation.granted:
            now = loop.time()
            self.target.restrictions.closed_until_s = now + reservation.wait_s
            self.on_result(False)
        elif reservation.wait_s > 0.0:
            due_s = loop.time() + reservation.wait_s
            loop.call_at(due_s, self._use, due_s)
        else:
            self.on_result(True)

    def _use(self, due_s):
        """Use a permit that holds from `due_s` on, unless it is late."""
        late_s = self.client.loop.time() - due_s
        is_late = self.call.is_cold and late_s > COLD_PERMIT_LIFETIME_S
        self.on_result(not is_late)


def remove_idle(pacer_by_endpoint, now: float):
    """Remove the pacers that were not used for `PACER_IDLE_S`."""
    for endpoint_id, pacer in list(pacer_by_endpoint.items()):
        if now - pacer.used_s > PACER_IDLE_S:
            del pacer_by_endpoint[endpoint_id]


def choose_issuer(
    relays, endpoint_id: str, zone: str
) -> messages.Relay | None:
    """Return the entry that paces the sends of all VMs to an endpoint.

    Parameters
    ----------
    relays : sequence of messages.Relay
        All entries.
    endpoint_id : str
    zone : str
        Of the endpoint; its entries are preferred.

    Returns
    -------
    messages.Relay or None
        None without entries.
    """
    candidates = [r for r in relays if r.zone == zone] or relays
    ranked = rendezvous.rank_entries(candidates, endpoint_id, 1)
    return ranked[0] if ranked else None
