"""Builds settings, configurations and announcements in platform format.

Tests and simulated endpoints use them in place of the platform; each function
is the inverse of a decoder in this folder.
"""

import json

NESTING = 20000  # deeper than a decoder that recurses can go


def build_settings(
    name,
    ip,
    addresses,
    ports,
    seeds,
    first_start,
    data_folder,
    lost,
    grace_s,
    memory_mb,
) -> dict:
    """Return the content of a process's settings file.

    Parameters
    ----------
    name, ip : str
    addresses : dict
        ``control``, or ``front`` and ``ready``, each ``IP:PORT``.
    ports : list of int
        First and last port for connections between processes.
    seeds : list of str
        Control addresses.
    first_start : bool
    data_folder : str or None
    lost : int
        Number of control VMs that may fail at the same time.
    grace_s : float
    memory_mb : float
        Memory that the process may use.
    """
    names = {"front": "front", "ready": "readiness-addr", "control": "control"}
    return {
        "node-name": name,
        "ip-address": ip,
        "zone": "z1",
        "bind-addrs": {names[k]: v for k, v in addresses.items()},
        "internal-ports": ports,
        "seed-nodes": seeds,
        "bootstrap": first_start,
        "data-dir": data_folder,
        "limits": {"memory-mb": memory_mb},
        "fault-tolerance": {"machines": lost},
        "policy-values": {
            "grace-s": grace_s,
            "retry-budget-ratio": 0.2,
            "retry-budget-base": 100,
            "budget-window-s": 10,
        },
    }


def build_route(name, host, prefix, idempotent, **service) -> dict:
    """Return a route.

    Parameters
    ----------
    name, host, prefix : str
    idempotent : bool
    service
        Fields from `build_service_target` or `build_fanout_target`.
    """
    return {
        "name": name,
        "hostname": host,
        "path-prefix": prefix,
        "route-type": "safe" if idempotent else "unsafe",
        "timeout-ms": 1500,
        "slo-ms": 150,
        "priority": 1,
        "max-attempts": 2,
        **service,
    }


def build_service_target(service) -> dict:
    """Return the fields of a route that forwards to one service."""
    return {"service": service}


def build_fanout_target(shards, top_k, min_coverage) -> dict:
    """Return the fields of a route that queries all shards."""
    return {
        "fanout-services": shards,
        "top-k": top_k,
        "min-coverage": min_coverage,
    }


def build_configuration(version, routes, services, connections) -> dict:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": connections,
            }
            for name in services
        ],
    }


def build_announcement(
    service, address, zone, state, sequence, born_ms
) -> dict:
    """Return an endpoint's announcement."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "concurrency-limit": 2,
        "state": state,
        "cold-left-ms": 0,
        "sequence": sequence,
        "born": born_ms,
    }


def build_unusable_announcements(announcement: dict) -> dict[str, bytes]:
    """Return bodies that name no endpoint to use, by what is wrong with them.

    Parameters
    ----------
    announcement : dict
        A sound announcement, which each body differs from in one place.
    """
    host = announcement["address"].rpartition(":")[0]
    changes = {
        "port_of_5000_digits": {"address": f"{host}:{'9' * 5000}"},
        "port_out_of_range": {"address": f"{host}:65536"},
        "port_zero": {"address": f"{host}:0"},
        "port_not_ascii": {"address": f"{host}:\u00b2"},
        "port_missing": {"address": host},
        "host_name": {"address": "backend.example:80"},
        "host_of_every_address": {"address": "0.0.0.0:80"},
        "host_with_line_break": {"address": f"{host}\r\nX-Header: 1:80"},
        "address_is_a_number": {"address": 80},
        "state_unknown": {"state": "resting"},
        "state_is_a_list": {"state": ["ready"]},
        "service_empty": {"service": ""},
        "service_missing": {"service": None},
        "service_with_line_break": {"service": "a\r\nb"},
        "zone_is_a_table": {"zone": {}},
        "slots_zero": {"concurrency-limit": 0},
        "slots_too_many": {"concurrency-limit": 10**12},
        "sequence_beyond_64_bits": {"sequence": 10**30},
        "sequence_above_all_others": {"sequence": 2**64 - 1},
        "sequence_negative": {"sequence": -1},
        "start_beyond_64_bits": {"born": 10**30},
        "start_above_all_others": {"born": 2**64 - 1},
        "start_negative": {"born": -1},
    }
    whole = json.dumps(announcement).encode()
    body_by_name = {
        name: json.dumps({**announcement, **change}).encode()
        for name, change in changes.items()
    }
    nested = b"[" * NESTING + b"]" * NESTING
    body_by_name["nested"] = whole[:-1] + b', "extra": ' + nested + b"}"
    body_by_name["nested_without_end"] = b'{"extra":' * NESTING
    body_by_name["number_too_large"] = whole[:-1] + b', "sequence": 1e999}'
    body_by_name["cut_short"] = whole[: len(whole) // 2]
    body_by_name["not_utf8"] = b"\xff\xfe" + whole
    body_by_name["empty"] = b""
    return body_by_name
