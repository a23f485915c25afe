"""Admission of the requests of client accounts that have a quota.

For each account one entry, its issuer, admits the requests of all VMs: an
entry asks it once for each request, before the request is sent. The issuer is
chosen by rendezvous hashing of one of a few keys, from the list of all entries
that control sends to each. The second entry of that order is the substitute
while the issuer does not reply. `policy.quotas` has the decisions, and
`docs/design/quotas.md` why they hold the limit.
"""

import functools
import math
import typing

from chervilspindle.core import logs
from chervilspindle.policy import quotas
from chervilspindle.wire import messages

CANDIDATES = 2  # the issuer of an account, and its substitute
REPLY_TIMEOUT_S = 0.02  # several round trips within a region
# A timer that is later than this was held up with the whole process, so that
# the reply may be waiting to be read.
TIMER_LAG_S = 0.005
SILENCE_S = 1.0  # before an entry that did not reply is asked again
# Asked again after a pause of this process that outlasted an admission.
MAX_ASKS = 2
# An account without a call for so long is forgotten. Its issuer hands over
# nothing then, so that a successor is a substitute at first.
IDLE_S = 600.0
CLEANUP_PERIOD_S = 10.0

# Before an issuer that has refused is asked again, as its document may have
# changed later than that of the entry that asks.
MAX_CLOSURE_S = 1.0

REFUSED = "quota"
UNDECIDED = "quota_undecided"
NOT_ISSUER = messages.QuotaReply(False)


class EntryList(typing.NamedTuple):
    """A list of entries, and the time since which it was in use here."""

    since_s: float
    relays: tuple[messages.Relay, ...]


class Handover(typing.NamedTuple):
    """A handover that this entry received.

    Parameters
    ----------
    vm_id : str
        The entry that was the issuer.
    received_s : float
    complete_s : float
        Time since which the log is complete.
    """

    vm_id: str
    received_s: float
    complete_s: float


class IssuedAccount:
    """What an entry knows of an account that it admits requests of; mutable.

    Attributes
    ----------
    log : quotas.AdmissionLog
    ranked : list of messages.Relay
        The first entries of the account by the list in use.
    first_s, second_s : float
        Times since which this entry is the first, and one of the first two;
        infinite if it is not.
    handover : Handover or None
    successor : messages.Relay or None
        To whom this entry has handed over the account.
    used_s : float
        Time of the last call.
    mode : str
        As it was logged last.
    """

    __slots__ = (
        "log",
        "ranked",
        "first_s",
        "second_s",
        "handover",
        "successor",
        "used_s",
        "mode",
    )

    def __init__(self, now: float):
        self.log = quotas.AdmissionLog()
        self.ranked = []
        self.first_s = math.inf
        self.second_s = math.inf
        self.handover = None
        self.successor = None
        self.used_s = now
        self.mode = ""


class QuotaIssuer:
    """Admits requests of the accounts that this entry is responsible for.

    Parameters
    ----------
    vm_id : str
    rule : shared_limits.QuotaRule
    relay_table : relay_selection.RelayTable
        Has the list of all entries.
    read_clock : callable
        Monotonic seconds that include suspended time. Must not be a time
        that the event loop keeps, which may be from before a freeze.
    send : callable
        ``send(address, message)`` sends to another entry.

    Attributes
    ----------
    contact_s : float
        When the latest call that control has replied to was sent.
    draining : bool
        Whether this entry stops and is no issuer any more.
    """

    def __init__(self, vm_id, rule, relay_table, read_clock, send):
        self.vm_id = vm_id
        self.rule = rule
        self.relay_table = relay_table
        self.read_clock = read_clock
        self.send = send
        self.span_s = quotas.compute_span_s(rule)
        self.settle_s = quotas.compute_settle_s(rule)
        self.account_by_name = None  # of the document in force
        self.issued_by_name = {}
        self.lists = []  # those of the last `settle_s`, the newest last
        self.ranked_by_key = {}  # by `ranked_relays`
        self.ranked_relays = None
        self.contact_s = -math.inf
        self.draining = False
        self.cleaned_s = read_clock()

    def update_document(self, document):
        """Use the limits of a document."""
        self.account_by_name = {a.name: a for a in document.accounts}

    def decide(self, call: messages.QuotaCall) -> messages.QuotaReply:
        """Reply to a request for admission; see `messages.QuotaReply`."""
        if self.account_by_name is None:
            return NOT_ISSUER
        self.update_entries()
        now = self.read_clock()
        self._remove_idle(now)
        issued = self._get_issued(call.account, now)
        issued.used_s = now
        standing = self._get_standing(issued, now)
        places = CANDIDATES if call.as_substitute else 1
        if self.draining or standing.rank >= places:
            return NOT_ISSUER._replace(successor=issued.successor)
        account = self.account_by_name.get(call.account)
        if account is None or account.rate_per_s <= 0.0:
            return self._decide_without_limit(standing)
        limit = quotas.compute_limit(
            self.rule, account.rate_per_s, account.burst
        )
        is_full = quotas.is_full(standing, self.rule, now)
        self._log_mode(call.account, issued, standing, is_full, now)
        if is_full:
            decision = quotas.decide_full(issued.log, limit, self.rule, now)
        else:
            share = quotas.compute_share(standing, self.rule, now)
            decision = quotas.decide_as_substitute(
                issued.log, limit, share, self.rule, now
            )
            if standing.rank == 0 and not decision.granted:
                # The previous issuer may not have the list yet, and the
                # substitute has a share too.
                return NOT_ISSUER
        return messages.QuotaReply(True, is_full, *decision)

    def _decide_without_limit(self, standing):
        """Reply for an account without a limit in this entry's document.

        The caller's document has one, so one of the two is about to change.
        """
        is_current = standing.contact_age_s < quotas.MAX_CONTACT_AGE_S
        if standing.rank == 0 and is_current:
            return messages.QuotaReply(True, True, True)
        return NOT_ISSUER

    def record_contact(self, sent_s: float):
        """Record that control replied to a call that was sent at a time.

        After a longer silence another entry may have become the issuer of
        any account and ceased to be it, so nothing is complete.
        """
        silence_s = sent_s - self.contact_s
        self.contact_s = max(self.contact_s, sent_s)
        is_lapsed = quotas.CONTROL_SILENCE_S <= silence_s < math.inf
        if not is_lapsed or not self.lists:
            return
        now = self.read_clock()
        logs.log_decision(
            "quota-logs-incomplete", silence_ms=round(silence_s * 1000.0)
        )
        self.lists = [EntryList(now, self.lists[-1].relays)]
        for name, issued in self.issued_by_name.items():
            issued.handover = issued.successor = None
            self._rank(name, issued)

    def update_entries(self):
        """Use the list of entries that control sent last, if it changed.

        Accounts that have another issuer by it are handed over.
        """
        relays = self.relay_table.relays
        known = self.lists[-1].relays if self.lists else ()
        if relays is known or self.draining or not (relays or known):
            return
        now = self.read_clock()
        self.lists.append(EntryList(now, relays))
        while (
            len(self.lists) > 1
            and self.lists[1].since_s <= now - self.settle_s
        ):
            del self.lists[0]
        for name, issued in self.issued_by_name.items():
            self._follow_list(name, issued, now)

    def _follow_list(self, name, issued, now):
        was_first = issued.first_s < math.inf
        was_issuer = self._is_issuer(issued, now)
        handover = self._get_handover(issued, now)
        complete_s = self._get_complete_s(issued, now)
        issued.successor = None
        issued.ranked = self.rank_entries(name, self.relay_table.relays)
        rank = self._find_rank(issued.ranked)
        if rank >= CANDIDATES:
            issued.second_s = math.inf
        elif issued.second_s == math.inf:
            issued.second_s = now
        if rank == 0:
            if not was_first:
                issued.first_s = now
                # May have come before the list that it is due to.
                issued.handover = handover
            return
        issued.first_s = math.inf
        if was_first or was_issuer and not self._is_issuer(issued, now):
            self._hand_over(name, issued, complete_s, now)

    def start_draining(self):
        """Hand over all accounts, and admit nothing from now on."""
        self.update_entries()
        now = self.read_clock()
        self.draining = True
        for name, issued in self.issued_by_name.items():
            if self._is_issuer(issued, now):
                complete_s = self._get_complete_s(issued, now)
                self._hand_over(name, issued, complete_s, now)

    def _hand_over(self, name, issued, complete_s, now):
        others = [r for r in issued.ranked if r.vm_id != self.vm_id]
        log = issued.log
        log.expire(now - self.span_s)
        ages_s = tuple(now - t for t in log.times)
        log.forget_all()
        issued.handover = None
        issued.mode = ""
        is_lapsed = now - self.contact_s >= quotas.CONTROL_SILENCE_S
        if not others or is_lapsed:
            return
        logs.log_decision(
            "quota-handed-over",
            account=name,
            to=others[0].vm_id,
            count=len(ages_s),
            complete_age_s=_round_age(now - complete_s),
        )
        issued.successor = others[0]
        self.send(
            others[0].address,
            messages.QuotaHandover(
                name,
                self.vm_id,
                ages_s,
                now - complete_s,
            ),
        )

    def take_over(self, message: messages.QuotaHandover):
        """Become the issuer of an account in place of another entry.

        Nothing is taken over while control is silent: a message that was
        read late, after a freeze, would be counted from now. Before the
        first reply of control this process is new, and so are its links.
        """
        now = self.read_clock()
        is_lapsed = quotas.CONTROL_SILENCE_S <= now - self.contact_s < math.inf
        if self.draining or is_lapsed:
            return
        self.update_entries()
        issued = self._get_issued(message.account, now)
        issued.used_s = now
        issued.log.expire(now - self.span_s)
        issued.log.merge(now - max(0.0, age_s) for age_s in message.ages_s)
        complete_s = now - message.complete_age_s
        known = self._get_handover(issued, now)
        if known is not None:
            complete_s = min(complete_s, known.complete_s)
        issued.handover = Handover(message.vm_id, now, complete_s)
        logs.log_decision(
            "quota-taken-over",
            account=message.account,
            giver=message.vm_id,
            count=len(issued.log.times),
            complete_age_s=_round_age(now - complete_s),
        )

    def _get_handover(self, issued, now) -> Handover | None:
        """Return the handover that is in force.

        While the list in use has another issuer, that is bounded: the entry
        that gave it may have started again, and admits the full limit some
        time after that.
        """
        handover = issued.handover
        if handover is None or issued.first_s < math.inf:
            return handover
        if now - handover.received_s >= quotas.MAX_CONTACT_AGE_S:
            return None
        return handover

    def _is_issuer(self, issued, now) -> bool:
        if issued.first_s < math.inf:
            return True
        handover = self._get_handover(issued, now)
        if handover is None or not issued.ranked:
            return False
        return issued.ranked[0].vm_id == handover.vm_id

    def _get_complete_s(self, issued, now) -> float:
        """Return the time since which the log of an account is complete.

        An entry that became the issuer without a handover assumes that the
        previous one went on for as long as it may without control.
        """
        complete_s = issued.first_s + quotas.CONTROL_SILENCE_S
        handover = self._get_handover(issued, now)
        if handover is not None:
            return min(complete_s, handover.complete_s)
        return complete_s

    def _get_standing(self, issued, now) -> quotas.Standing:
        if self._is_issuer(issued, now):
            rank = 0
        elif issued.second_s < math.inf:
            rank = 1
        else:
            rank = CANDIDATES
        return quotas.Standing(
            rank,
            self._get_complete_s(issued, now),
            issued.second_s,
            now - self.contact_s,
        )

    def _get_issued(self, name, now) -> IssuedAccount:
        issued = self.issued_by_name.get(name)
        if issued is None:
            issued = self.issued_by_name[name] = IssuedAccount(now)
            self._rank(name, issued)
        return issued

    def _rank(self, name, issued):
        """Find the place of this entry by the lists of `settle_s`."""
        issued.ranked = []
        issued.first_s = issued.second_s = math.inf
        is_first = True
        for used in reversed(self.lists):
            ranked = self.rank_entries(name, used.relays)
            issued.ranked = issued.ranked or ranked
            rank = self._find_rank(ranked)
            if rank >= CANDIDATES:
                return
            issued.second_s = used.since_s
            is_first = is_first and rank == 0
            if is_first:
                issued.first_s = used.since_s

    def rank_entries(self, name: str, relays) -> list:
        """Return the first entries of an account by a list.

        Those by the list in use are computed once for each key.
        """
        if relays is not self.relay_table.relays:
            return quotas.rank_issuers(relays, name, CANDIDATES)
        if relays is not self.ranked_relays:
            self.ranked_relays = relays
            self.ranked_by_key = {}
        key = quotas.find_issuer_key(name)
        ranked = self.ranked_by_key.get(key)
        if ranked is None:
            ranked = quotas.rank_issuers(relays, name, CANDIDATES)
            self.ranked_by_key[key] = ranked
        return ranked

    def has_limits(self) -> bool:
        """Tell whether any account of the document in force has a limit."""
        accounts = (self.account_by_name or {}).values()
        return any(account.rate_per_s > 0.0 for account in accounts)

    def _find_rank(self, ranked) -> int:
        """Return the place of this entry, `CANDIDATES` without one."""
        for rank, relay in enumerate(ranked):
            if relay.vm_id == self.vm_id:
                return rank
        return CANDIDATES

    def _remove_idle(self, now):
        if now - self.cleaned_s < CLEANUP_PERIOD_S:
            return
        self.cleaned_s = now
        for name, issued in list(self.issued_by_name.items()):
            if now - issued.used_s >= IDLE_S:
                del self.issued_by_name[name]

    def _log_mode(self, name, issued, standing, is_full, now):
        mode = "substitute"
        if is_full:
            mode = "complete"
        elif standing.rank == 0:
            mode = "incomplete"
        if mode == issued.mode:
            return
        issued.mode = mode
        logs.log_decision(
            "quota-issued-here",
            account=name,
            mode=mode,
            complete_age_s=_round_age(now - standing.complete_s),
            contact_age_s=_round_age(standing.contact_age_s),
        )


def _round_age(age_s) -> float | None:
    """Return an age for a log line; None if it is not known."""
    return round(age_s, 3) if math.isfinite(age_s) else None


class Outcome(typing.NamedTuple):
    """What became of a request for admission.

    Parameters
    ----------
    granted : bool
    reason : str
        `REFUSED` if the account is at its limit; `UNDECIDED` if that is not
        known.
    wait_s : float
        If not granted, when the caller may come back.
    fields : dict
        For the log line of the request.
    """

    granted: bool
    reason: str
    wait_s: float
    fields: dict


class Closure(typing.NamedTuple):
    """A refusal by the whole limit, which holds for later requests too.

    Parameters
    ----------
    reply : messages.QuotaReply
    until_s : float
        Time until which the issuer is not asked.
    room_s : float
        Time at which there is room.
    """

    reply: messages.QuotaReply
    until_s: float
    room_s: float


class QuotaClient:
    """Obtains the admissions of this VM's requests.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Of timers only.
    network : PeerNetwork
    issuer : QuotaIssuer
        Of this entry.
    random : random.Random
    count : callable
        ``count(account, result)`` counts a request for metrics.
    """

    def __init__(self, loop, network, issuer, random, count):
        self.loop = loop
        self.network = network
        self.issuer = issuer
        self.random = random
        self.count = count
        self.read_clock = issuer.read_clock
        self.failed_s_by_address = {}
        self.closure_by_account = {}

    def update_document(self, document):
        """Use the limits of a document, here and as issuer."""
        self.issuer.update_document(document)
        self.closure_by_account.clear()

    def ask(self, account_name: str, on_outcome):
        """Ask for the admission of one request.

        Parameters
        ----------
        account_name : str
        on_outcome : callable
            ``on_outcome(outcome)`` is called once, unless cancelled; before
            this returns if no other entry has to be asked.

        Returns
        -------
        Admission
        """
        admission = Admission(self, account_name, on_outcome)
        closure = self.closure_by_account.get(account_name)
        if closure is not None:
            now = self.read_clock()
            if now < closure.until_s:
                admission.refuse(closure.reply, closure.room_s - now)
                return admission
            del self.closure_by_account[account_name]
        admission.start()
        return admission

    def close(self, account_name: str, reply: messages.QuotaReply):
        """Refuse further requests until the issuer has room again."""
        now = self.read_clock()
        room_s = now + reply.wait_s
        until_s = min(room_s, now + MAX_CLOSURE_S)
        self.closure_by_account[account_name] = Closure(reply, until_s, room_s)

    def list_candidates(self, account_name: str) -> list:
        """Return who may be asked: (entry, whether as a substitute)."""
        relays = self.issuer.relay_table.relays
        ranked = self.issuer.rank_entries(account_name, relays)
        return [
            (relay, place > 0)
            for place, relay in enumerate(ranked)
            if self._may_reply(relay)
        ]

    def _may_reply(self, relay) -> bool:
        if relay.vm_id == self.issuer.vm_id:
            return True
        if not self.network.knows(relay.address, messages.QuotaCall):
            return False
        failed_s = self.failed_s_by_address.get(relay.address)
        return failed_s is None or self.read_clock() - failed_s >= SILENCE_S

    def record_failure(self, address: str, reason: str):
        """Don't ask an entry for `SILENCE_S`."""
        now = self.read_clock()
        for failed, failed_s in list(self.failed_s_by_address.items()):
            if now - failed_s >= SILENCE_S:
                del self.failed_s_by_address[failed]
        self.failed_s_by_address[address] = now
        logs.log_decision("quota-issuer-failed", address=address, why=reason)


class Admission:
    """One request for admission in progress.

    Parameters
    ----------
    client : QuotaClient
    account_name : str
    on_outcome : callable
    """

    __slots__ = (
        "client",
        "account_name",
        "on_outcome",
        "candidates",
        "asks",
        "asked_s",
        "call_number",
        "address",
        "timer",
        "redirected",
        "ended",
    )

    def __init__(self, client, account_name, on_outcome):
        self.client = client
        self.account_name = account_name
        self.on_outcome = on_outcome
        self.candidates = []
        self.asks = 0
        self.asked_s = 0.0
        self.call_number = 0
        self.address = ""
        self.timer = None
        self.redirected = False
        self.ended = False

    def start(self):
        """Ask the issuer, then the substitute."""
        self.asks += 1
        self.candidates = self.client.list_candidates(self.account_name)
        self._ask_next()

    def cancel(self):
        """Call `on_outcome` no more."""
        self.ended = True
        self._stop_timer()

    def refuse(self, reply: messages.QuotaReply, wait_s: float):
        """End without an admission, as an entry has replied."""
        fields = {
            "account": self.account_name,
            "limit": round(reply.limit, 2),
            "count": reply.count,
            "age_ms": round(reply.age_s * 1000.0),
        }
        reason = REFUSED if reply.is_full else UNDECIDED
        self._end(reason, wait_s, fields)

    def _ask_next(self):
        client = self.client
        while self.candidates:
            relay, as_substitute = self.candidates.pop(0)
            call = messages.QuotaCall(self.account_name, as_substitute)
            if relay.vm_id != client.issuer.vm_id:
                self._call(relay.address, call)
                return
            reply = client.issuer.decide(call)
            if reply.is_issuer:
                self._finish(reply)
                return
            self._follow(reply.successor)
        self._end(UNDECIDED, SILENCE_S, {"account": self.account_name})

    def _follow(self, successor):
        """Ask the entry to which the issuer has handed over next."""
        if successor is not None and not self.redirected:
            self.redirected = True
            rest = [c for c in self.candidates if c[0] != successor]
            self.candidates = [(successor, True), *rest]

    def _call(self, address, call):
        client = self.client
        self.address = address
        self.call_number += 1
        self.asked_s = client.read_clock()
        self.timer = client.loop.call_later(
            REPLY_TIMEOUT_S, self._handle_timer, self.call_number
        )
        number = self.call_number
        deferred = client.network.call(address, call, quotas.USE_S)
        deferred.addCallbacks(
            functools.partial(self._handle_reply, number),
            functools.partial(self._handle_failure, number),
        )

    def _handle_timer(self, number):
        late_s = self.client.read_clock() - self.asked_s - REPLY_TIMEOUT_S
        if late_s <= TIMER_LAG_S:
            self._fail(number, "no reply in time")
            return
        # What has arrived meanwhile is read before this timer runs.
        self.timer = self.client.loop.call_later(
            TIMER_LAG_S, self._fail, number, "no reply in time"
        )

    def _handle_failure(self, number, failure):
        self._fail(number, str(failure.value))

    def _fail(self, number, reason):
        if self.ended or number != self.call_number:
            return
        self._stop_timer()
        self.call_number += 1
        self.client.record_failure(self.address, reason)
        self._ask_next()

    def _handle_reply(self, number, reply):
        if self.ended or number != self.call_number:
            return
        self._stop_timer()
        self.call_number += 1
        if not reply.is_issuer:
            self._follow(reply.successor)
            self._ask_next()
            return
        age_s = self.client.read_clock() - self.asked_s
        if reply.granted and age_s > quotas.USE_S:
            if self.asks < MAX_ASKS:
                self.start()
            else:
                fields = {"account": self.account_name}
                self._end(UNDECIDED, 0.0, fields)
            return
        self._finish(reply)

    def _finish(self, reply):
        if reply.granted:
            self._end("", 0.0, {})
            return
        if reply.is_full:
            self.client.close(self.account_name, reply)
        self.refuse(reply, reply.wait_s)

    def _end(self, reason, wait_s, fields):
        self.ended = True
        client = self.client
        client.count(self.account_name, reason or "admitted")
        if reason:
            wait_s = quotas.spread_wait_s(wait_s, client.random)
        self.on_outcome(Outcome(not reason, reason, wait_s, fields))

    def _stop_timer(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
