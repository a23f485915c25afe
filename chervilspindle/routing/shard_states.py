"""State of the shards of one query."""


class ShardState:
    """Progress of one shard of a request; mutable.

    Attributes
    ----------
    service : str
    group : relay_selection.ShardGroup or None
        None if it is sent from this process.
    open_dispatches : list
        `direct_dispatch.DirectDispatch` or `relayed_query.RelayedDispatch`
        in progress that include this shard.
    tried : list of str
        Ids of the endpoints it was sent to, as far as known.
    relays_tried : tuple of str
        Addresses.
    possible_runs : int
        Sends that an endpoint may have run.
    send_count : int
    unused_sends : int
        Sends that were allowed but did not leave a VM.
    failed : bool
        Whether no part can be obtained any more.
    reason : str
        Reason of the last failure.
    answered : bool
        Whether an endpoint has answered it, also after the request's end.
    crashed_processes : list of str
        That ended while they had it, and are not reported yet; see
        `quarantine.Quarantine.find_process`.
    awaits_trial : bool
        Whether control is asked if it may be sent.
    is_trial : bool
        Whether it is sent to one endpoint only, see `quarantine`.
    """

    __slots__ = (
        "service",
        "group",
        "open_dispatches",
        "tried",
        "relays_tried",
        "possible_runs",
        "send_count",
        "unused_sends",
        "failed",
        "reason",
        "answered",
        "crashed_processes",
        "awaits_trial",
        "is_trial",
    )

    def __init__(self, service):
        self.service = service
        self.group = None
        self.open_dispatches = []
        self.tried = []
        self.relays_tried = ()
        self.possible_runs = 0
        self.send_count = 0
        self.unused_sends = 0
        self.failed = False
        self.reason = ""
        self.answered = False
        self.crashed_processes = []
        self.awaits_trial = False
        self.is_trial = False


def has_no_sends(shard: ShardState) -> bool:
    """Tell whether a shard could be sent and has not been yet."""
    return not (shard.send_count or shard.failed)


def is_unsent(shard: ShardState) -> bool:
    """Tell whether a shard is to be sent now and has not been yet."""
    return has_no_sends(shard) and not shard.awaits_trial


def has_open_sends(shard: ShardState) -> bool:
    """Tell whether a send is in progress that is not presumed lost."""
    return any(
        not dispatch.presumed_lost for dispatch in shard.open_dispatches
    )
