"""Budget of sends beyond the first of each request, shared by all VMs.

The whole system may send a service, in each window, a share of its requests
plus a base amount again. Each VM keeps to the share of its own requests and
to an even part of the base, so that the sum stays within the whole without a
message for each send.

Even parts of many VMs are too small to be of use to any. While all requests
of a window, as control sums them up, are so few that one extra send for each
of them stays within the budget, each VM may spend one for each of its own.
"""

import collections
import math
import typing

SAFETY = 0.8  # part of the budget that is used; VMs may be counted late
SLICES = 20  # slices of a window, rounds its edge
FREE_MARGIN = 1.25  # requests may grow before control has counted them
UNKNOWN_VMS = 64  # VMs assumed until control has counted them
COUNT_FRESH_S = 3.0  # requests may have grown by any factor after this


class Rule(typing.NamedTuple):
    """Extra sends that a service may get in each window, from all VMs.

    Parameters
    ----------
    ratio : float
        Share of the requests for the service.
    base : float
        Amount besides.
    window_s : float
    """

    ratio: float
    base: float
    window_s: float


class RetryBudget:
    """Account of one VM, by service.

    Parameters
    ----------
    rule : Rule
    read_clock : callable
        Monotonic seconds.
    """

    def __init__(self, rule: Rule, read_clock):
        self.rule = rule
        self.read_clock = read_clock
        self.vms = UNKNOWN_VMS
        self.total_requests = 0  # 0 while control has not told
        self.counted_s = -math.inf
        # Mutable rows [slice number, requests, extra sends], oldest first.
        self.slices_by_service = {}

    def update_totals(self, vms: int, requests: int):
        """Take over what control counts over all VMs, 0 if it can't tell."""
        self.vms = vms
        self.total_requests = requests
        self.counted_s = self.read_clock()

    def count_requests(self, services):
        """Count one request for each of the services."""
        number = self._read_slice()
        for service in services:
            current = self._open_slice(service, number)
            current[1] += 1

    def spend(self, service: str) -> bool:
        """Take room for one extra send, if there is any."""
        number = self._read_slice()
        slices = self.slices_by_service.get(service, ())
        requests = extra = 0
        for first, asked, sent in slices:
            # The oldest slice may lie half outside: its sends still count,
            # its requests do not.
            if first >= number - SLICES:
                extra += sent
            if first > number - SLICES:
                requests += asked
        rule = self.rule
        if self._is_free() and extra + 1 <= requests:
            self._open_slice(service, number)[2] += 1
            return True
        room = rule.ratio * requests + rule.base / max(1, self.vms)
        if extra + 1 > SAFETY * room:
            return False
        self._open_slice(service, number)[2] += 1
        return True

    def read_peak_requests(self) -> int:
        """Return the most requests for one service within a window."""
        oldest = self._read_slice() - SLICES
        return max(
            (
                sum(asked for first, asked, _ in slices if first > oldest)
                for slices in self.slices_by_service.values()
            ),
            default=0,
        )

    def _is_free(self) -> bool:
        if self.read_clock() - self.counted_s > COUNT_FRESH_S:
            return False
        total = FREE_MARGIN * self.total_requests
        rule = self.rule
        room = rule.ratio * self.total_requests + rule.base
        return 0 < total <= SAFETY * room

    def _read_slice(self) -> int:
        return int(self.read_clock() * SLICES / self.rule.window_s)

    def _open_slice(self, service, number):
        slices = self.slices_by_service.get(service)
        if slices is None:
            slices = collections.deque()
            self.slices_by_service[service] = slices
        if not slices or slices[-1][0] != number:
            slices.append([number, 0, 0])
            while slices[0][0] < number - SLICES:
                slices.popleft()
        return slices[-1]
