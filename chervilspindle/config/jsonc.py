"""Loads JSON with comments and names the place of a syntax error."""

import re
import typing

import json5

_PLACE = re.compile(r"<[^>]*>:(\d+)\s*(.*)", re.DOTALL)


class ConfigError(typing.NamedTuple):
    """One mistake: the file, the place in it, and what is wrong."""

    source: str
    place: str
    detail: str


class ConfigErrors(ExceptionGroup):
    """All mistakes of one file, as `ValueError` members."""


def format_error(error: ConfigError) -> str:
    """Return one line for people."""
    return f"{error.source}: {error.place}: {error.detail}"


def raise_errors(errors):
    """Raise the mistakes as one exception group, if there are any."""
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
        match = _PLACE.match(str(error))
        place = f"line {match.group(1)}" if match else "document"
        detail = match.group(2) if match else str(error)
        return None, [ConfigError(source, place, detail)]


def load_file(path: str):
    """Read and parse one file; a file that can't be read is a mistake."""
    try:
        with open(path, encoding="utf-8") as handle:
            text = handle.read()
    except (OSError, UnicodeDecodeError) as error:
        return None, [ConfigError(path, "file", str(error))]
    return parse_text(text, path)
