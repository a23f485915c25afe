"""Budget of extra sends (hedges and retries), shared by all VMs.

In each window, the whole system may send a service extra requests up to a
share of its regular requests plus a base amount. Each VM keeps to that share
of its own requests and to an even part of the base, so that the sum stays
within the budget without coordination for each send.

With many VMs, the even parts of the base are too small to be useful. While
the total of requests in a window, as counted by control, is so small that
one extra send for each request stays within the budget, each VM may make
one extra send for each of its own requests.
"""

import collections
import math
import typing

# Share of the budget that is used; control may learn of new VMs late.
USABLE_SHARE = 0.8
SLICES_PER_WINDOW = 20  # resolution of the sliding window
GROWTH_MARGIN = 1.25  # requests may grow before control has counted them
ASSUMED_VMS = 64  # until control has counted them
TOTALS_MAX_AGE_S = 3.0  # older totals don't bound the current requests


class Rule(typing.NamedTuple):
    """Limit on the extra sends of all VMs to a service in each window.

    Parameters
    ----------
    ratio : float
        Extra sends for each request to the service.
    base : float
        Extra sends in addition to that.
    window_s : float
    """

    ratio: float
    base: float
    window_s: float


class RetryBudget:
    """Extra sends of one VM, by service.

    Parameters
    ----------
    rule : Rule
    read_clock : callable
        Monotonic seconds.
    """

    def __init__(self, rule: Rule, read_clock):
        self.rule = rule
        self.read_clock = read_clock
        self.vms = ASSUMED_VMS
        self.total_requests = 0  # of all VMs; 0 while unknown
        self.totals_s = -math.inf
        # Lists of [slice number, requests, extra sends], oldest first.
        self.slices_by_service = {}

    def update_totals(self, vms: int, requests: int):
        """Set the totals over all VMs as counted by control.

        Parameters
        ----------
        vms : int
        requests : int
            Requests in a window; 0 if control can't tell.
        """
        self.vms = vms
        self.total_requests = requests
        self.totals_s = self.read_clock()

    def count_requests(self, services):
        """Count one request for each of the services."""
        number = self._get_slice_number()
        for service in services:
            current = self._open_slice(service, number)
            current[1] += 1

    def try_withdraw(self, service: str) -> bool:
        """Charge one extra send if the budget allows it.

        Returns
        -------
        bool
            Whether it was charged.
        """
        number = self._get_slice_number()
        slices = self.slices_by_service.get(service, ())
        requests = extra = 0
        for slice_number, slice_requests, slice_extra in slices:
            # The oldest slice may be partly outside the window: count its
            # extra sends, but not its requests.
            if slice_number >= number - SLICES_PER_WINDOW:
                extra += slice_extra
            if slice_number > number - SLICES_PER_WINDOW:
                requests += slice_requests
        rule = self.rule
        if self._covers_one_extra_each() and extra + 1 <= requests:
            self._open_slice(service, number)[2] += 1
            return True
        allowance = rule.ratio * requests + rule.base / max(1, self.vms)
        if extra + 1 > USABLE_SHARE * allowance:
            return False
        self._open_slice(service, number)[2] += 1
        return True

    def read_peak_requests(self) -> int:
        """Return the requests in the last window to the busiest service."""
        oldest = self._get_slice_number() - SLICES_PER_WINDOW
        return max(
            (
                sum(
                    slice_requests
                    for slice_number, slice_requests, _ in slices
                    if slice_number > oldest
                )
                for slices in self.slices_by_service.values()
            ),
            default=0,
        )

    def _covers_one_extra_each(self) -> bool:
        if self.read_clock() - self.totals_s > TOTALS_MAX_AGE_S:
            return False
        total = GROWTH_MARGIN * self.total_requests
        rule = self.rule
        allowance = rule.ratio * self.total_requests + rule.base
        return 0 < total <= USABLE_SHARE * allowance

    def _get_slice_number(self) -> int:
        return int(self.read_clock() * SLICES_PER_WINDOW / self.rule.window_s)

    def _open_slice(self, service, number):
        slices = self.slices_by_service.get(service)
        if slices is None:
            slices = collections.deque()
            self.slices_by_service[service] = slices
        if not slices or slices[-1][0] != number:
            slices.append([number, 0, 0])
            while slices[0][0] < number - SLICES_PER_WINDOW:
                slices.popleft()
        return slices[-1]
