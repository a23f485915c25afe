"""Limits that hold for the sum over all VMs.

Both are bounds on counts in a sliding window; the deployment's settings state
them where they are in force.
"""

import typing


class QuotaRule(typing.NamedTuple):
    """Bound on the requests of one client account that are sent.

    In each window, at most ``(rate * window_s + burst) * (1 + overage) +
    slack`` requests of an account may reach endpoints.

    Parameters
    ----------
    window_s : float
    overage : float
        Share of the limit that imprecise accounting may exceed it by.
    slack : float
        Requests that it may exceed it by, besides.
    """

    window_s: float
    overage: float
    slack: float


class ColdRule(typing.NamedTuple):
    """Bound on the requests in one second to an endpoint that is cold.

    At most ``rate * overload + slack`` may arrive there, with the rate that
    the document states for its service.

    Parameters
    ----------
    overload : float
    slack : float
    """

    overload: float
    slack: float
