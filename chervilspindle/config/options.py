"""Declarations of all settings of a process.

The loader, the validation and the settings reference in docs/OPERATIONS.md
are all based on this table.
"""

import typing


class Option(typing.NamedTuple):
    """Declaration of one setting.

    Parameters
    ----------
    name : str
    kind : type
        JSON type: str, int, float, list or dict.
    default : object
        `REQUIRED` for a setting without a default.
    unit : str
        Unit or format of the value.
    meaning : str
        Description for operators, one sentence.
    """

    name: str
    kind: type
    default: object
    unit: str
    meaning: str


REQUIRED = object()

OPTIONS = (
    Option("vm_id", str, REQUIRED, "name", "Name of this VM, unique."),
    Option("zone", str, REQUIRED, "name", "Availability zone of this VM."),
    Option(
        "roles",
        list,
        REQUIRED,
        '"entry", "control"',
        "Roles that this process runs.",
    ),
    Option(
        "http_address",
        str,
        "",
        "IP:PORT",
        "Where callers, endpoints and operators reach an entry.",
    ),
    Option(
        "peer_address",
        str,
        REQUIRED,
        "IP:PORT",
        "Where other VMs reach this process.",
    ),
    Option(
        "raft_address",
        str,
        "",
        "IP:PORT",
        "Where control members reach this one.",
    ),
    Option(
        "data_folder",
        str,
        "",
        "path",
        "Folder on the VM's disk for the control state.",
    ),
    Option(
        "control_vms",
        list,
        REQUIRED,
        "list of {vm_id, peer_address, raft_address}",
        "All control VMs; their number is the number of voters.",
    ),
    Option("group", str, "main", "name", "Name of this deployment."),
    Option(
        "shared_key",
        str,
        REQUIRED,
        "at least 16 characters",
        "Key that the VMs of a deployment share.",
    ),
    Option(
        "operators",
        list,
        [],
        "list of {name, token_salt, token_digest}",
        "Operators and the salted digests of their tokens.",
    ),
    Option(
        "endpoint_tokens",
        list,
        [],
        "list of {name, token_salt, token_digest}",
        "Tokens for announcements; without any, announcements are open.",
    ),
    Option("log_level", str, "INFO", "level name", "Least level to log."),
    Option(
        "drain_seconds",
        float,
        30.0,
        "s",
        "Longest wait for requests in flight at shutdown.",
    ),
    Option(
        "baselines",
        list,
        [],
        '"no-hedge", "random-replica", "fifo", "no-ownership"',
        "Mechanisms to switch off in experiments; empty in production.",
    ),
    Option(
        "extra_load_share",
        float,
        0.05,
        "fraction",
        "Hedges allowed, as a share of all sends; as much again for "
        "parts that are truly late.",
    ),
    Option(
        "memory_mb",
        float,
        256.0,
        "MB",
        "Memory that the process may use; an eighth of it may hold answers "
        "that endpoints have not finished.",
    ),
    Option(
        "caller_memory_mb",
        float,
        None,
        "MB",
        "Memory for requests that are received, wait or run, and for answers "
        "that callers do not read; by default a sixth of memory_mb, 16 MiB "
        "at least, if the process leaves twice as much.",
    ),
    Option(
        "caller_connections",
        int,
        None,
        "connections",
        "Connections of callers; by default six tenths of the descriptors "
        "that the process may open.",
    ),
)

OPTION_BY_NAME = {option.name: option for option in OPTIONS}

BASELINES = ("no-hedge", "random-replica", "fifo", "no-ownership")
CONTROL_VM_FIELDS = ("vm_id", "peer_address", "raft_address")
TOKEN_FIELDS = ("name", "token_salt", "token_digest")


def render_reference() -> str:
    """Return the settings reference as a Markdown table."""
    lines = [
        "| setting | form | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for option in OPTIONS:
        default = "required"
        if option.default is not REQUIRED:
            default = f"`{option.default!r}`"
        lines.append(
            f"| `{option.name}` | {option.kind.__name__}, {option.unit} "
            f"| {default} | {option.meaning} |"
        )
    return "\n".join(lines)
