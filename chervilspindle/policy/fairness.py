"""Fair queueing of requests at one endpoint.

Customers share an endpoint's slot time by weight with start-time fair
queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996): the
customer that has received the least service relative to its weight is next,
and a share that a customer does not use goes to the others. Within a
customer, requests are ordered by priority, then by arrival.
"""

import heapq
import itertools
import typing


class Item(typing.NamedTuple):
    """One queued request; the heap orders by rank, then by arrival.

    Parameters
    ----------
    rank : int
        Rank of the priority; the lowest is the most urgent.
    sequence : int
        Order of arrival.
    payload : object
    """

    rank: int
    sequence: int
    payload: object


class CustomerQueue:
    """Queued requests of one customer and the service it has received.

    Parameters
    ----------
    weight : float
    virtual_ms : float
        Virtual start time of the customer's next request: slot time received
        so far, divided by the weight.

    Attributes
    ----------
    items : list of Item
        Heap, which still contains cancelled requests.
    live_count : int
        Queued requests that are not cancelled.
    """

    __slots__ = ("weight", "virtual_ms", "items", "live_count")

    def __init__(self, weight: float, virtual_ms: float):
        self.weight = weight
        self.virtual_ms = virtual_ms
        self.items = []
        self.live_count = 0


class FairQueue:
    """Queues of all customers at one endpoint.

    Cancelled payloads stay in the heaps and are skipped when they reach the
    top.

    Parameters
    ----------
    is_live : callable
        Tells whether a payload is still queued, not cancelled.
    """

    def __init__(self, is_live):
        self.is_live = is_live
        self.queue_by_customer = {}
        self.virtual_ms = 0.0
        self.sequences = itertools.count()
        self.size = 0

    def push(self, customer: str, weight: float, rank: int, payload):
        """Add a request of a customer.

        A customer that was idle starts at the current virtual time, so that
        it does not accumulate credit while it has no requests.
        """
        queue = self.queue_by_customer.get(customer)
        if queue is None:
            queue = CustomerQueue(weight, self.virtual_ms)
            self.queue_by_customer[customer] = queue
        if not queue.live_count:
            queue.virtual_ms = max(queue.virtual_ms, self.virtual_ms)
        queue.weight = weight
        queue.live_count += 1
        self.size += 1
        heapq.heappush(queue.items, Item(rank, next(self.sequences), payload))

    def pop(self, cost_ms: float):
        """Remove the next payload and charge its customer the expected cost.

        Parameters
        ----------
        cost_ms : float
            Expected slot time; `charge` corrects it later.

        Returns
        -------
        customer, payload : str, object
            (None, None) if nothing is queued.
        """
        while True:
            customer = self._find_next()
            if customer is None:
                return None, None
            queue = self.queue_by_customer[customer]
            item = heapq.heappop(queue.items)
            if not self.is_live(item.payload):
                continue
            self.count_removed(customer)
            self.virtual_ms = max(self.virtual_ms, queue.virtual_ms)
            queue.virtual_ms += cost_ms / queue.weight
            return customer, item.payload

    def count_removed(self, customer: str):
        """Update the counts after a payload was removed or cancelled."""
        queue = self.queue_by_customer[customer]
        queue.live_count -= 1
        self.size -= 1
        if not queue.live_count:
            queue.items.clear()

    def charge(self, customer: str, cost_ms: float):
        """Charge a customer the difference of actual and expected cost."""
        queue = self.queue_by_customer.get(customer)
        if queue is not None:
            queue.virtual_ms += cost_ms / queue.weight

    def evict_idle(self):
        """Remove idle customers whose virtual time has passed.

        If such a customer returns, `push` starts it at the same virtual
        time as if it had been kept.
        """
        for customer, queue in list(self.queue_by_customer.items()):
            if not queue.live_count and queue.virtual_ms <= self.virtual_ms:
                del self.queue_by_customer[customer]

    def count_ahead(self, customer: str, rank: int) -> int:
        """Count a customer's queued requests ahead of a new one."""
        queue = self.queue_by_customer.get(customer)
        if queue is None:
            return 0
        return sum(
            1
            for item in queue.items
            if item.rank <= rank and self.is_live(item.payload)
        )

    def get_share(self, customer: str, weight: float) -> float:
        """Return the guaranteed share of a customer, in (0, 1].

        It is the customer's weight divided by the sum of its weight and
        those of the other customers with queued requests.
        """
        total = sum(
            q.weight
            for name, q in self.queue_by_customer.items()
            if q.live_count and name != customer
        )
        return weight / (weight + total)

    def list_least_urgent(self):
        """Return (customer, payload) pairs, the least urgent first."""
        rows = []
        for customer, queue in self.queue_by_customer.items():
            for item in queue.items:
                if self.is_live(item.payload):
                    rows.append((item.rank, item.sequence, customer, item))
        rows.sort(key=lambda row: (-row[0], -row[1]))
        return [(customer, item.payload) for *_, customer, item in rows]

    def _find_next(self):
        best = None
        for customer, queue in self.queue_by_customer.items():
            if not queue.live_count:
                continue
            if best is None or queue.virtual_ms < best[0]:
                best = (queue.virtual_ms, customer)
        return best[1] if best else None
