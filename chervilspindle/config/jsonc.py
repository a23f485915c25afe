"""Loads JSON with comments and reports the line of a syntax error."""

import re
import typing

import json5

_ERROR_POSITION = re.compile(r"<[^>]*>:(\d+)\s*(.*)", re.DOTALL)


class ConfigError(typing.NamedTuple):
    """One error: the file, the position in it, and a description."""

    source: str
    place: str
    detail: str


class ConfigErrors(ExceptionGroup):
    """All errors in one file, as a group of `ValueError`."""


def format_error(error: ConfigError) -> str:
    """Return the error as one human-readable line."""
    return f"{error.source}: {error.place}: {error.detail}"


def raise_errors(errors):
    """Raise the errors as one exception group, if there are any."""
    if errors:
        members = [ValueError(format_error(e)) for e in errors]
        raise ConfigErrors("invalid configuration", members)


def parse_text(text: str, source: str):
    """Parse JSON with comments.

    Returns
    -------
    value, errors : object, list of ConfigError
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False), []
    except ValueError as error:
        match = _ERROR_POSITION.match(str(error))
        place = f"line {match.group(1)}" if match else "document"
        detail = match.group(2) if match else str(error)
        return None, [ConfigError(source, place, detail)]


def load_file(path: str):
    """Read and parse one file; a failure to read it is returned as an error.

    The return value is that of `parse_text`.
    """
    try:
        with open(path, encoding="utf-8") as handle:
            text = handle.read()
    except (OSError, UnicodeDecodeError) as error:
        return None, [ConfigError(path, "file", str(error))]
    return parse_text(text, path)
