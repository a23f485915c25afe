"""Check of a configuration before it is sent; changes nothing anywhere.

Both formats are checked with the code that control checks them with. What
control would accept is then looked at for probable mistakes and, on request,
compared with the version in force. Keys and digests are never shown.
"""

import json
import typing

from chervilspindle.config import findings
from chervilspindle.config import jsonc
from chervilspindle.config import lists
from chervilspindle.config import lists_findings
from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import settings as platform_settings
from chervilspindle.routing import document_findings
from chervilspindle.routing import documents

EXIT_CLEAN = 0
EXIT_UNREADABLE = 1  # settings, or what to compare with
EXIT_REFUSED = 2
EXIT_FINDINGS = 3

ROUTING = "routing document"
LISTS = "lists"
LIST_NAMES = ("customers", "plans")
# Paths at which the version in force is read.
PATH_BY_KIND = {ROUTING: "/api/config", LISTS: "/v1/config"}


class Parsed(typing.NamedTuple):
    """A configuration of either format.

    Parameters
    ----------
    kind : str
        `ROUTING` or `LISTS`.
    value : documents.Document or lists.ParsedLists or None
        None if control would refuse it.
    errors : tuple of str
        Why control would refuse it.
    """

    kind: str
    value: documents.Document | lists.ParsedLists | None
    errors: tuple[str, ...]


class Report(typing.NamedTuple):
    """Result of a check.

    Parameters
    ----------
    kind : str
    errors : tuple of str
    warnings : tuple of findings.Finding
    differences : tuple of findings.Difference or None
        None if nothing was compared.
    """

    kind: str
    errors: tuple[str, ...]
    warnings: tuple[findings.Finding, ...] = ()
    differences: tuple[findings.Difference, ...] | None = None

    def get_exit_code(self) -> int:
        """Return the exit code of the command."""
        if self.errors:
            return EXIT_REFUSED
        return EXIT_FINDINGS if self.warnings else EXIT_CLEAN


def parse(data: bytes, source: str) -> Parsed:
    """Parse a configuration of either format as control would.

    Parameters
    ----------
    data : bytes
    source : str
        Where it is from, for errors.
    """
    if find_kind(data) == LISTS:
        return _parse_lists(data, source)
    try:
        document = platform_documents.decode_new_document(data)
    except ValueError as error:
        return Parsed(ROUTING, None, (str(error),))
    mistakes = documents.check_document(document)
    errors = tuple(f"{m.place}: {m.message}" for m in mistakes)
    return Parsed(ROUTING, None if errors else document, errors)


def find_kind(data: bytes) -> str:
    """Return the format; lists may have comments, documents may not."""
    document = None
    try:
        # A parser that knows comments takes seconds for a large document.
        document = json.loads(data)
    except RecursionError:
        pass  # reported by the decoder of the format
    except ValueError:
        try:
            document, _ = jsonc.parse_text(data.decode(), "")
        except (UnicodeDecodeError, RecursionError):
            pass
    is_lists = isinstance(document, dict) and any(
        name in document for name in LIST_NAMES
    )
    return LISTS if is_lists else ROUTING


def _parse_lists(data, source):
    document, mistakes = jsonc.parse_text(data.decode(), source)
    parsed = None
    if not mistakes:
        parsed, mistakes = lists.build_lists(document, source)
    errors = tuple(f"{m.place}: {m.detail}" for m in mistakes)
    return Parsed(LISTS, parsed, errors)


def read_rules(path: str) -> document_findings.DeploymentRules:
    """Read what a settings file of the platform says about documents.

    Raises
    ------
    OSError, ValueError
    """
    with open(path, "rb") as handle:
        settings = platform_settings.decode_settings(handle.read())
    return document_findings.DeploymentRules(
        settings.quota_rule,
        settings.cold_rule,
        settings.grace_s,
        settings.memory_mb,
    )


def parse_in_force(data: bytes, kind: str, source: str):
    """Parse the version to compare with.

    What control has stored may have mistakes that this build refuses. Lists
    are also read as entries show them, with their revision.

    Raises
    ------
    ValueError
        If it cannot be read, or is of the other format.
    """
    if find_kind(data) != kind:
        raise ValueError(f"{source}: is not a {kind}")
    if kind == ROUTING:
        return platform_documents.decode_document(data)
    document, _ = jsonc.parse_text(data.decode(), source)
    parsed, mistakes = lists.build_lists(
        {k: v for k, v in document.items() if k != "revision"}, source
    )
    if mistakes:
        raise ValueError(jsonc.format_error(mistakes[0]))
    return parsed


def check(parsed: Parsed, in_force=None, rules=None) -> Report:
    """Check a configuration.

    Parameters
    ----------
    parsed : Parsed
    in_force : documents.Document or lists.ParsedLists or None
        Version to compare with.
    rules : document_findings.DeploymentRules or None
    """
    if parsed.errors:
        return Report(parsed.kind, parsed.errors)
    if parsed.kind == LISTS:
        warnings = list(lists_findings.list_findings(parsed.value))
        compare = lists_findings.compare
    else:
        warnings = list(document_findings.list_findings(parsed.value, rules))
        compare = document_findings.compare
    if in_force is None:
        return Report(parsed.kind, (), tuple(warnings))
    if parsed.kind == ROUTING and parsed.value.version <= in_force.version:
        text = (
            f"version {parsed.value.version} is not above {in_force.version}, "
            "which stays in force"
        )
        warnings.append(
            findings.Finding("version-not-higher", "version", text)
        )
    differences = tuple(compare(in_force, parsed.value))
    return Report(parsed.kind, (), tuple(warnings), differences)


def format_json(report: Report, source: str) -> str:
    """Return a report as JSON for scripts."""
    body = {
        "file": source,
        "kind": report.kind,
        "accepted": not report.errors,
        "errors": list(report.errors),
        "warnings": [w._asdict() for w in report.warnings],
    }
    if report.differences is not None:
        body["differences"] = [d._asdict() for d in report.differences]
    return json.dumps(body, indent=2)


def format_text(report: Report, source: str) -> str:
    """Return a report as lines of text."""
    lines = [f"{source}: error: {text}" for text in report.errors]
    lines += [
        f"{source}: warning: {w.place}: {w.message} ({w.code})"
        for w in report.warnings
    ]
    for one in report.differences or ():
        changes = "; ".join(
            f"{field}: {old} -> {new}"
            for field, (old, new) in one.fields.items()
        )
        text = f"{source}: {one.table}: {one.name}: {one.change}"
        lines.append(f"{text}: {changes}" if changes else text)
    if report.differences == ():
        lines.append(f"{source}: same as the version in force")
    if not report.errors and not report.warnings:
        lines.append(f"{source}: correct")
    return "\n".join(lines)
