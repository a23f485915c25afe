"""Names that the platform uses: headers, paths, variables and states."""

from chervilspindle.routing import endpoint_calls

HEADERS = endpoint_calls.HeaderNames(
    request_id="Chervilspindle-Attempt-Id",
    deadline_ms="Chervilspindle-Deadline-Ms",
    stamp="Chervilspindle-Server-Stamp",
    expected_endpoint="Chervilspindle-Expect-Instance",
    load="Chervilspindle-Server-Load",
    limit="Server-Limit",
    leaving="Server-Leaving",
    not_run="Chervilspindle-Not-Executed",
    part_stamps="Chervilspindle-Part-Stamps",
    missing_parts="Chervilspindle-Missing-Parts",
    account="Chervilspindle-Tenant-Id",
    cold_left_ms="Chervilspindle-Warmup-Remaining-Ms",
)
READY_PATH = b"/api/ready"
DOCUMENT_PATH = b"/api/config"
ENDPOINT_PREFIX = b"/api/instances/"
EVACUATION_PREFIX = b"/api/evacuation/"
EVACUATION_LIST_PATH = b"/api/evacuation"
# Where an endpoint is to send its next announcements.
ANNOUNCEMENT_ADDRESS_FIELD = "heartbeat-url"
SETTINGS_VARIABLE = "CHERVILSPINDLE_BOOT"
IDEMPOTENT_TYPE = "safe"
STATE_BY_PLATFORM_STATE = {"ready": "ready", "draining": "draining"}
