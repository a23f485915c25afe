"""Messages and durable records of the replicated log."""

import typing

import msgspec

from chervilspindle.wire import layouts
from chervilspindle.wire import versions


class Entry(typing.NamedTuple):
    """One entry of the log; `kind` is DATA, CONFIG or NOOP of `raft`."""

    index: int
    term: int
    kind: int
    data: bytes


class HardState(typing.NamedTuple):
    """Durable term and vote of a member, called hard state in Raft.

    Parameters
    ----------
    term : int
        Latest term that the member has seen.
    voted_for : str
        Member that got its vote in this term, '' if none.
    """

    term: int
    voted_for: str


class SnapshotMetadata(typing.NamedTuple):
    """Last index and term that a snapshot covers, and the members then."""

    index: int
    term: int
    members: tuple[tuple[str, str, bool], ...]


class PreVote(typing.NamedTuple):
    """Asks for a pre-vote: whether the member would vote for it in `term`."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(typing.NamedTuple):
    """Answers a PreVote.

    `term` repeats that of the request; `own_term` is that of the sender and
    lets a member with an older term catch up.
    """

    term: int
    granted: bool
    own_term: int


class RequestVote(typing.NamedTuple):
    """Asks for a vote in `term`."""

    term: int
    last_index: int
    last_term: int


class VoteReply(typing.NamedTuple):
    """Answers a RequestVote."""

    term: int
    granted: bool


class Append(typing.NamedTuple):
    """Replicates entries; without entries it is a heartbeat.

    `sent_ms` is a reading of the leader's clock, which the reply returns.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_ms: float


class AppendReply(typing.NamedTuple):
    """Answers an Append or an Install.

    After a rejection the leader continues with the entry after `hint_index`.
    """

    term: int
    success: bool
    match_index: int
    hint_index: int
    sent_ms: float


class Install(typing.NamedTuple):
    """Sends a snapshot to a member that needs entries no longer in the log."""

    term: int
    mark: SnapshotMetadata
    data: bytes
    sent_ms: float


class Join(typing.NamedTuple):
    """Asks the leader to add a member as a learner."""

    member_id: str
    address: str


class Leave(typing.NamedTuple):
    """Tells the leader that a member is about to end; repeated until then."""

    member_id: str


class LeaveReply(typing.NamedTuple):
    """Answers a Leave: whether the member may end now."""

    free: bool


class Envelope(typing.NamedTuple):
    """One message between members of a group."""

    group: str
    sender: str
    kind: str
    body: msgspec.Raw


MESSAGE_BY_NAME = {
    cls.__name__: cls
    for cls in (
        PreVote,
        PreVoteReply,
        RequestVote,
        VoteReply,
        Append,
        AppendReply,
        Install,
        Join,
        Leave,
        LeaveReply,
    )
}

# As in `wire.messages`; no row has been changed so far.
FIELD_COUNTS = {}
FIRST_VERSION_BY_KIND = {Leave: 5, LeaveReply: 5}

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in MESSAGE_BY_NAME.items()
}
_MEMBERS_DECODER = msgspec.msgpack.Decoder(tuple[tuple[str, str, bool], ...])


def is_known(kind, version: int) -> bool:
    """Tell whether builds of a version know a kind of message."""
    return FIRST_VERSION_BY_KIND.get(kind, versions.OLDEST) <= version


def encode_envelope(
    group: str, sender: str, message, version: int = versions.CURRENT
) -> bytes:
    """Encode one message in an envelope, for a peer that reads a version."""
    name = type(message).__name__
    if version < versions.CURRENT and FIELD_COUNTS:
        message = layouts.fit(message, FIELD_COUNTS, version)
    body = msgspec.Raw(_ENCODER.encode(message))
    envelope = Envelope(group, sender, name, body)
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes):
    """Decode an envelope and its message.

    Returns
    -------
    group, sender, message : str, str, typing.NamedTuple

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are not an envelope.
    KeyError
        If the kind of message is unknown.
    """
    envelope = layouts.decode(_ENVELOPE_DECODER, data)
    decoder = _DECODER_BY_NAME[envelope.kind]
    message = layouts.decode(decoder, envelope.body)
    return envelope.group, envelope.sender, message


def encode_members(members) -> bytes:
    """Encode the (member_id, address, voter) rows of a configuration entry."""
    return _ENCODER.encode(members)


def decode_members(data: bytes):
    """Decode the (member_id, address, voter) rows of a configuration entry."""
    return layouts.decode(_MEMBERS_DECODER, data)
