"""Checks platform settings and configuration files before deployment."""

import msgspec

from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import settings
from chervilspindle.routing import documents

SETTINGS_KEY = "bind-addrs"
DOCUMENT_KEY = "routes"


def is_platform_file(document) -> bool:
    """Return whether a parsed file is platform settings or configuration."""
    if not isinstance(document, dict):
        return False
    return SETTINGS_KEY in document or DOCUMENT_KEY in document


def list_mistakes(document) -> list[str]:
    """Return the mistakes in a parsed file; empty if it is valid."""
    data = msgspec.json.encode(document)
    try:
        if SETTINGS_KEY in document:
            settings.decode_settings(data)
            return []
        decoded = platform_documents.decode_document(data)
    except ValueError as error:
        return [str(error)]
    mistakes = documents.check_document(decoded)
    return [f"{m.place}: {m.message}" for m in mistakes]
