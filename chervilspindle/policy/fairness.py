"""Fair order of work at one endpoint.

Customers share an endpoint's slot time by weight with start-time fair
queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996): the
customer that has received least for its weight goes next, and share that a
customer does not use is lent to the others. Within a customer the more
urgent priority goes first, then the older request.
"""

import heapq
import itertools
import typing


class Item(typing.NamedTuple):
    """One queued request; the heap orders by rank, then by arrival."""

    rank: int
    number: int
    payload: object


class CustomerQueue:
    """Queued work of one customer and the service it has received."""

    __slots__ = ("weight", "virtual_ms", "items", "live")

    def __init__(self, weight: float, virtual_ms: float):
        self.weight = weight
        self.virtual_ms = virtual_ms
        self.items = []
        self.live = 0


class FairQueue:
    """Queues of all customers at one endpoint.

    Cancelled payloads stay in the heaps until they come up and are then
    skipped; `is_live` tells whether a payload still counts.
    """

    def __init__(self, is_live):
        self.is_live = is_live
        self.queue_by_customer = {}
        self.virtual_ms = 0.0
        self.numbers = itertools.count()
        self.size = 0

    def push(self, customer: str, weight: float, rank: int, payload):
        """Add work of a customer.

        A customer that was idle starts at the present virtual time, so
        that it can't save up service while it asks for nothing.
        """
        queue = self.queue_by_customer.get(customer)
        if queue is None:
            queue = CustomerQueue(weight, self.virtual_ms)
            self.queue_by_customer[customer] = queue
        if not queue.live:
            queue.virtual_ms = max(queue.virtual_ms, self.virtual_ms)
        queue.weight = weight
        queue.live += 1
        self.size += 1
        heapq.heappush(queue.items, Item(rank, next(self.numbers), payload))

    def pop(self, cost_ms: float):
        """Take the next payload and charge its customer `cost_ms`.

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
        """Count out one payload that was taken or cancelled."""
        queue = self.queue_by_customer[customer]
        queue.live -= 1
        self.size -= 1
        if not queue.live:
            queue.items.clear()

    def charge(self, customer: str, cost_ms: float):
        """Correct a customer's account once the true cost is known."""
        queue = self.queue_by_customer.get(customer)
        if queue is not None:
            queue.virtual_ms += cost_ms / queue.weight

    def evict_idle(self):
        """Drop accounts of customers that have no claim to lag behind."""
        for customer, queue in list(self.queue_by_customer.items()):
            if not queue.live and queue.virtual_ms <= self.virtual_ms:
                del self.queue_by_customer[customer]

    def count_ahead(self, customer: str, rank: int) -> int:
        """Count a customer's own work that goes before a new request."""
        queue = self.queue_by_customer.get(customer)
        if queue is None:
            return 0
        return sum(
            1
            for item in queue.items
            if item.rank <= rank and self.is_live(item.payload)
        )

    def get_share(self, customer: str, weight: float) -> float:
        """Return the part of the slot time that a customer can count on.

        It is the weight against those of all customers with queued work.
        """
        total = sum(
            q.weight
            for name, q in self.queue_by_customer.items()
            if q.live and name != customer
        )
        return weight / (weight + total)

    def list_least_urgent(self):
        """Return (customer, payload) pairs, the least urgent first."""
        found = []
        for customer, queue in self.queue_by_customer.items():
            for item in queue.items:
                if self.is_live(item.payload):
                    found.append((item.rank, item.number, customer, item))
        found.sort(key=lambda row: (-row[0], -row[1]))
        return [(customer, item.payload) for *_, customer, item in found]

    def _find_next(self):
        best = None
        for customer, queue in self.queue_by_customer.items():
            if not queue.live:
                continue
            if best is None or queue.virtual_ms < best[0]:
                best = (queue.virtual_ms, customer)
        return best[1] if best else None
