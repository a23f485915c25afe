"""Evacuation of zones at the control leader.

A zone is evacuated from the commit of an operator's command until the commit
of the one that takes it back.
"""

from chervilspindle.control import state as state_module
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.wire import messages
from chervilspindle.wire import versions


def handle_call(
    message: messages.EvacuationCall, node, is_known: bool, can_members_read
):
    """Begin or end the evacuation of a zone.

    Parameters
    ----------
    message : messages.EvacuationCall
    node : ControlNode
        The leader's.
    is_known : bool
        Whether the zone exists.
    can_members_read : callable
        ``can_members_read(version)``.

    Returns
    -------
    EvacuationReply or Deferred

    Raises
    ------
    ProblemError
        If nothing can be committed now.
    """
    if message.evacuated and not is_known:
        return messages.EvacuationReply(False)
    if not can_members_read(versions.EVACUATIONS):
        if not message.evacuated and not node.tables.evacuation_by_zone:
            return messages.EvacuationReply(True)
        raise _refuse(
            message, "a control member runs a build without zone evacuation"
        )
    if not node.is_formed():
        # Loss of the disk of the only member would lose the command.
        raise _refuse(message, "the control group is still forming")
    if message.evacuated:
        evacuation = rows.ZoneEvacuation(message.zone, logs.read_wall_ms())
        command = state_module.EvacuateZone(evacuation)
    else:
        command = state_module.ReturnZone(message.zone)

    def confirm(result):
        if result.changed:
            _log_change(message, node.tables)
        return messages.EvacuationReply(True)

    return node.propose(command).addCallback(confirm)


def _refuse(message, reason):
    logs.log_decision("evacuation-refused", zone=message.zone, why=reason)
    return errors.build_error(errors.ErrorKind.NO_LEADER, reason, not_run=True)


def _log_change(message, tables):
    evacuated = tables.evacuation_by_zone
    zones = list_zones_in_use(tables)
    remaining = [zone for zone in zones if zone not in evacuated]
    logs.log_decision(
        "zone-evacuated" if message.evacuated else "zone-returned",
        zone=message.zone,
        evacuated=sorted(evacuated),
        remaining=remaining,
    )
    if zones and not remaining:
        logs.log_decision("all-zones-evacuated", zones=zones)


def build_list(tables) -> messages.ListEvacuationsReply:
    """Build the reply to a call for the evacuated zones."""
    row_by_zone = tables.evacuation_by_zone
    return messages.ListEvacuationsReply(
        tuple(row_by_zone[zone] for zone in sorted(row_by_zone)),
        tuple(list_zones_in_use(tables)),
    )


def is_known(tables, zone: str) -> bool:
    """Tell whether a zone is evacuated or has an endpoint."""
    return zone in tables.evacuation_by_zone or any(
        endpoint.zone == zone for endpoint in tables.endpoint_by_id.values()
    )


def list_zones_in_use(tables) -> list[str]:
    """Return the zones of the endpoints that are neither lost nor gone."""
    return sorted(
        {
            endpoint.zone
            for endpoint in tables.endpoint_by_id.values()
            if endpoint.state not in ("lost", "gone")
        }
    )
