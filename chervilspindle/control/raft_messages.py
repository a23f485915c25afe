"""Messages and durable records of the replicated log."""

import typing

import msgspec


class Entry(typing.NamedTuple):
    """One entry of the log; `kind` is DATA, CONFIG or NOOP of `raft`."""

    index: int
    term: int
    kind: int
    data: bytes


class HardState(typing.NamedTuple):
    """What a member has promised: its term and its vote in that term."""

    term: int
    voted_for: str


class SnapshotMetadata(typing.NamedTuple):
    """Position of a snapshot, and the group's members at it."""

    index: int
    term: int
    members: tuple[tuple[str, str, bool], ...]


class PreVote(typing.NamedTuple):
    """Asks whether an election at `term` could be won."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(typing.NamedTuple):
    """Answers a PreVote; `own_term` lets a late member catch up."""

    term: int
    granted: bool
    own_term: int


class RequestVote(typing.NamedTuple):
    """Asks for a vote."""

    term: int
    last_index: int
    last_term: int


class VoteReply(typing.NamedTuple):
    """Answers a RequestVote."""

    term: int
    granted: bool


class Append(typing.NamedTuple):
    """Replicates entries; without entries it is a heartbeat.

    `sent_ms` is the leader's own clock and comes back in the reply.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_ms: float


class AppendReply(typing.NamedTuple):
    """Answers an Append; `hint_index` is where to continue on refusal."""

    term: int
    success: bool
    match_index: int
    hint_index: int
    sent_ms: float


class Install(typing.NamedTuple):
    """Carries a whole snapshot to a member that is too far behind."""

    term: int
    mark: SnapshotMetadata
    data: bytes
    sent_ms: float


class Join(typing.NamedTuple):
    """Asks the leader to replicate to a member with a new disk."""

    member_id: str
    address: str


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
    )
}

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in MESSAGE_BY_NAME.items()
}
_MEMBERS = msgspec.msgpack.Decoder(tuple[tuple[str, str, bool], ...])


def encode_envelope(group: str, sender: str, message) -> bytes:
    """Encode one message with its sender."""
    body = msgspec.Raw(_ENCODER.encode(message))
    envelope = Envelope(group, sender, type(message).__name__, body)
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes):
    """Decode a message.

    Returns
    -------
    group, sender, message : str, str, typing.NamedTuple

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not an envelope.
    KeyError
        If the kind of message is unknown.
    """
    envelope = _ENVELOPE.decode(data)
    message = _DECODER_BY_NAME[envelope.kind].decode(envelope.body)
    return envelope.group, envelope.sender, message


def encode_members(members) -> bytes:
    """Encode rows (member_id, address, voter) of a configuration entry."""
    return _ENCODER.encode(members)


def decode_members(data: bytes):
    """Decode the rows of a configuration entry."""
    return _MEMBERS.decode(data)
