"""Runs a whole deployment on one event loop and prints what it does."""

import json
import logging
import os
import tempfile

import treq
from twisted.internet import defer
from twisted.internet import task

from chervilspindle import serve
from chervilspindle.tools import deployment as deployment_module
from chervilspindle.tools import endpoint as endpoint_module

FIRST_PORT = 18000
READY_TIMEOUT_S = 20.0
POLL_S = 0.1
SCALE = 0.2
ENTRIES = 3


class Demo:
    """Starts a deployment inside this process.

    Parameters
    ----------
    reactor : the reactor
    profile : deployment.Profile
    folder : str
        Empty folder for the control VM's data.
    first_port : int
    """

    def __init__(self, reactor, profile, folder, first_port=FIRST_PORT):
        self.reactor = reactor
        self.documents = deployment_module.build_deployment(
            profile,
            folder,
            first_port,
            controls=1,
            entries=ENTRIES,
            scale=SCALE,
        )
        self.run_log = endpoint_module.RunLog()
        self.servers = []
        self.stand_ins = []
        self.addresses = deployment_module.list_http_addresses(self.documents)

    @defer.inlineCallbacks
    def start(self):
        """Start control, entries and stand-in endpoints."""
        for document in (
            self.documents.control_settings + self.documents.entry_settings
        ):
            settings = deployment_module.parse_settings(document)
            if "control" in settings.roles:
                serve.bootstrap(settings)
            server = serve.Server(self.reactor, settings, _fail)
            self.servers.append(server)
            yield server.start()
        for row in self.documents.endpoints:
            config = endpoint_module.msgspec.convert(
                row, endpoint_module.EndpointConfig
            )
            stand_in = endpoint_module.StandIn(
                self.reactor, config, self.addresses, self.run_log
            )
            self.stand_ins.append(stand_in)
            yield stand_in.start()

    @defer.inlineCallbacks
    def stop(self):
        """Drain the entries, then stop everything."""
        for server in reversed(self.servers):
            yield server.stop()
        for stand_in in self.stand_ins:
            yield stand_in.stop()

    @defer.inlineCallbacks
    def request(self, method, path, token, body=None, headers=None):
        """Send one request to the first entry.

        Returns
        -------
        Deferred of (int, object)
            Status and decoded JSON.
        """
        response = yield treq.request(
            method,
            f"http://{self.addresses[0]}{path}",
            headers={
                "Authorization": (
                    f"Bearer {self.documents.token_by_name[token]}"
                ),
                **(headers or {}),
            },
            data=None if body is None else json.dumps(body).encode(),
            persistent=False,
            reactor=self.reactor,
        )
        data = yield treq.content(response)
        return response.code, json.loads(data)

    @defer.inlineCallbacks
    def await_endpoints(self):
        """Wait until every endpoint is known and has an owner."""
        due = self.reactor.seconds() + READY_TIMEOUT_S
        while self.reactor.seconds() < due:
            status, body = yield self.request("GET", "/v1/status", "operator")
            if status == 200:
                owned = sum(1 for e in body["endpoints"] if e["owner"])
                if owned == len(self.stand_ins):
                    return
            yield task.deferLater(self.reactor, POLL_S)
        raise RuntimeError(
            f"not all endpoints have an owner after {READY_TIMEOUT_S} s"
        )


@defer.inlineCallbacks
def show(reactor, profile):
    """Run the demonstration and print what happens."""
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(reactor, profile, os.path.join(folder, "data"))
        yield demo.start()
        yield demo.await_endpoints()
        yield _show_apply(demo)
        yield _show_query(demo, profile)
        yield _show_command(demo, profile)
        yield demo.stop()
        _print("stopped", "every request was answered, endpoints handed over")


@defer.inlineCallbacks
def _show_apply(demo):
    headers = {"If-Match": '"0"', "Change-Id": "demo-1"}
    _, body = yield demo.request(
        "PUT", "/v1/config", "operator", demo.documents.lists, headers
    )
    _print("operator applies the two lists", body)
    _, body = yield demo.request(
        "PUT", "/v1/config", "operator", demo.documents.lists, headers
    )
    _print("the same change again gets the first answer", body)
    headers["Change-Id"] = "demo-2"
    status, body = yield demo.request(
        "PUT", "/v1/config", "operator", demo.documents.lists, headers
    )
    _print(f"a late operator gets a conflict ({status})", body["detail"])
    yield _await_revision(demo)


@defer.inlineCallbacks
def _await_revision(demo):
    while demo.servers[1].roles.entry.directory.lists.revision < 1:
        yield task.deferLater(demo.reactor, POLL_S)


@defer.inlineCallbacks
def _show_query(demo, profile):
    plan = profile.plans[0]
    body = {
        "services": [plan.services[0], plan.services[1]],
        "query": {"text": "canoe"},
        "priority": plan.priorities[0],
        "deadline_ms": 500,
    }
    _, answer = yield demo.request(
        "POST", "/v1/query", plan.customers[0], body
    )
    found = sum(len(row["value"]) for row in answer["results"])
    _print(
        f"{plan.customers[0]} searches {body['services']}",
        {
            "snapshot": answer["snapshot"],
            "coverage": answer["coverage"],
            "records": found,
        },
    )
    _, explained = yield demo.request(
        "GET", f"/v1/explain/{answer['request_id']}", "operator"
    )
    decisions = [row["decision"] for row in explained["decisions"]]
    _print("explained", decisions)


@defer.inlineCallbacks
def _show_command(demo, profile):
    plan = profile.plans[0]
    service = plan.services[-1]
    body = {
        "service": service,
        "key": f"{service}/0001",
        "command": {"hold": "canoe 4"},
        "deadline_ms": 1000,
    }
    headers = {"Idempotency-Key": "hold-1"}
    for attempt in ("first", "resent"):
        _, answer = yield demo.request(
            "POST", "/v1/command", plan.customers[0], body, headers
        )
        _print(f"command, {attempt}", answer)
    _print("times it ran", len(demo.run_log.rows))
    if len(demo.run_log.rows) != 1:
        raise RuntimeError(
            f"the command ran {len(demo.run_log.rows)} times instead of once"
        )


def _print(title, value):
    print(f"{title}: {value if isinstance(value, str) else json.dumps(value)}")


def _fail(code):
    logging.getLogger(__name__).error(
        "server in the demonstration failed with exit code %d", code
    )
