"""Rows of other builds, which may have more or fewer fields at their end.

A field that is added to a row goes to its end and has a default, so that rows
of older builds can be read; surplus fields of newer builds are left out. To
older builds, which may refuse a surplus field, rows are written without it.
"""

import functools
import types
import typing

import msgspec

_ENCODER = msgspec.msgpack.Encoder()


def decode(decoder: msgspec.msgpack.Decoder, data):
    """Decode rows, without the surplus fields of newer builds.

    Raises
    ------
    msgspec.MsgspecError
    """
    try:
        return decoder.decode(data)
    except msgspec.ValidationError:
        value = _trim(msgspec.msgpack.decode(data), decoder.type)
        return decoder.decode(_ENCODER.encode(value))


def _trim(value, kind):
    """Return a decoded value without fields that a type does not have."""
    if not isinstance(value, (list, tuple)):
        return value
    if isinstance(kind, types.UnionType):
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) is tuple:
        args = typing.get_args(kind)
        if args[-1] is Ellipsis:
            return [_trim(item, args[0]) for item in value]
        return [_trim(item, arg) for item, arg in zip(value, args)]
    if is_row_type(kind):
        field_types = read_field_types(kind)
        return [_trim(item, one) for item, one in zip(value, field_types)]
    return value


def fit(value, field_counts, version: int):
    """Return rows with only the fields that they had in a version.

    Parameters
    ----------
    value : tuple
    field_counts : dict
        By type of row, the number of fields by the version that had so many
        first.
    version : int
    """
    if not isinstance(value, tuple):
        return value
    count = get_field_count(type(value), field_counts, version)
    return tuple(fit(item, field_counts, version) for item in value[:count])


def get_field_count(kind, field_counts, version: int) -> int | None:
    """Return how many fields a row has in a version; None if always all."""
    counts = field_counts.get(kind)
    if counts is None:
        return None
    return counts[max(v for v in counts if v <= version)]


def contains_any(kind, row_types) -> bool:
    """Tell whether a type is one of some types of rows, or has one in it."""
    if kind in row_types:
        return True
    inner = typing.get_args(kind)
    if is_row_type(kind):
        inner = read_field_types(kind)
    return any(contains_any(one, row_types) for one in inner)


def is_row_type(kind) -> bool:
    """Tell whether a type is a named tuple."""
    return isinstance(kind, type) and hasattr(kind, "_fields")


@functools.cache
def read_field_types(kind) -> tuple:
    """Return the types of a row's fields in order."""
    hints = typing.get_type_hints(kind)
    return tuple(hints[name] for name in kind._fields)
