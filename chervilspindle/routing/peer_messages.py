"""Handling of the messages that entries send each other."""

import functools

from twisted.internet import defer

from chervilspindle.accounts import quota_permits
from chervilspindle.core import errors
from chervilspindle.routing import relayed_query
from chervilspindle.wire import messages


class EntryPeer:
    """What an entry does for other entries.

    Parameters
    ----------
    context : endpoint_calls.Context
    """

    def __init__(self, context):
        self.context = context
        self.relay = relayed_query.RelayServer(context)

    def handle(self, link, message):
        """Handle a message of another entry and return the answer, if any."""
        return _handle_message(message, self, link)

    def end_requests(self):
        """Report what is in progress on behalf of others as lost."""
        self.relay.end_requests()

    def count_busy(self) -> int:
        """Return the number of calls in progress on behalf of others."""
        return self.relay.count_busy()


@functools.singledispatch
def _handle_message(message, entry_peer: EntryPeer, link):
    raise errors.build_error(
        errors.ErrorKind.NO_LEADER, "this process is not a control member"
    )


@_handle_message.register
def _handle_refusal(
    message: messages.RelayRefusal, entry_peer: EntryPeer, link
):
    client = entry_peer.context.relays
    client.handle_refusal(link.dialled_address, message)


@_handle_message.register(messages.RelayReport)
@_handle_message.register(messages.ForwardReport)
def _handle_report(message, entry_peer: EntryPeer, link):
    client = entry_peer.context.relays
    client.handle_report(link.dialled_address, message)


@_handle_message.register(messages.RelayCall)
@_handle_message.register(messages.ForwardCall)
@_handle_message.register(messages.RelayCancel)
def _handle_relayed(message, entry_peer: EntryPeer, link):
    entry_peer.relay.handle(link, message)


@_handle_message.register
def _handle_probe(message: messages.ProbeCall, entry_peer: EntryPeer, link):
    context = entry_peer.context
    observing = context.quarantine.observe(message.endpoint_id)
    deferred = defer.Deferred.fromFuture(context.loop.create_task(observing))
    return deferred.addCallback(messages.ProbeReply)


@_handle_message.register
def _handle_permit(message: messages.PermitCall, entry_peer: EntryPeer, link):
    return entry_peer.context.permits.issuer.issue(message)


@_handle_message.register
def _handle_quota(message: messages.QuotaCall, entry_peer: EntryPeer, link):
    quotas = entry_peer.context.quotas
    if quotas is None:
        return quota_permits.NOT_ISSUER
    return quotas.issuer.decide(message)


@_handle_message.register
def _handle_quota_handover(
    message: messages.QuotaHandover, entry_peer: EntryPeer, link
):
    quotas = entry_peer.context.quotas
    if quotas is not None:
        quotas.issuer.take_over(message)
