"""Checks files of the platform before they are put in place."""

import msgspec

from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import settings
from chervilspindle.routing import documents

SETTINGS_KEY = "bind-addrs"
DOCUMENT_KEY = "routes"


def is_platform_file(document) -> bool:
    """Tell whether a parsed file is settings or a document of the platform."""
    if not isinstance(document, dict):
        return False
    return SETTINGS_KEY in document or DOCUMENT_KEY in document


def list_mistakes(document) -> list[str]:
    """Return what is wrong with a parsed file, nothing if it is correct."""
    data = msgspec.json.encode(document)
    try:
        if SETTINGS_KEY in document:
            settings.decode_settings(data)
            return []
        decoded = platform_documents.decode_document(data)
    except ValueError as error:
        return [str(error)]
    found = documents.check_document(decoded)
    return [f"{error.place}: {error.message}" for error in found]
