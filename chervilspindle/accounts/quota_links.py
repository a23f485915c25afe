"""Opens links to the issuers of quotas ahead of the requests that ask them.

A request waits for its admission. A new link adds a connection, a handshake
and the CPU time of both, which a query with a short objective can't afford.
"""

from chervilspindle.accounts import quota_permits
from chervilspindle.policy import quotas

TIMER = "quota-links"
CHECK_INTERVAL_S = 3.0
# All entries get a changed list or document at about the same time.
SPREAD_S = 1.0
MAX_OPENED = 2  # at a time; a link costs an issuer CPU time as well
OPEN_INTERVAL_S = 0.15


class IssuerLinks:
    """Keeps links open to all issuers and substitutes.

    Parameters
    ----------
    client : quota_permits.QuotaClient
    timers : TimerService
    """

    def __init__(self, client, timers):
        self.client = client
        self.issuer = client.issuer
        self.timers = timers
        self.random = client.random
        self.listed_relays = None
        self.addresses = ()  # by `listed_relays`
        self.waiting = []  # addresses that this check is to open
        timers.subscribe(TIMER, CHECK_INTERVAL_S, self.open_missing)

    def check_soon(self):
        """Open missing links within `SPREAD_S`, as a list has changed."""
        self.waiting = []
        delay_s = self.random.uniform(0.0, SPREAD_S)
        self.timers.schedule_within(TIMER, delay_s)

    def open_missing(self):
        """Open a few of the missing links, and schedule the others.

        An address that can't be reached is tried once in each check.
        """
        if self.issuer.draining or not self.issuer.has_limits():
            self.waiting = []
            return
        network = self.client.network
        if not self.waiting:
            self.waiting = self._list_addresses()
            self.random.shuffle(self.waiting)
        missing = [a for a in self.waiting if not network.has_link(a)]
        self.waiting = missing[MAX_OPENED:]
        for address in missing[:MAX_OPENED]:
            network.open(address)
        if self.waiting:
            self.timers.schedule_within(TIMER, OPEN_INTERVAL_S)

    def _list_addresses(self):
        relays = self.issuer.relay_table.relays
        if relays is not self.listed_relays:
            self.listed_relays = relays
            self.addresses = tuple(
                relay.address
                for relay in quotas.list_issuers(
                    relays, quota_permits.CANDIDATES
                )
                if relay.vm_id != self.issuer.vm_id
            )
        return list(self.addresses)
