"""Tests of the check of a configuration before it is sent."""

import http.server
import json
import subprocess
import sys
import threading

import pytest

from chervilspindle import cli
from chervilspindle import config_check
from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import samples
from chervilspindle.policy import shared_limits
from chervilspindle.routing import document_findings
from chervilspindle.routing import documents

KEYS = ("key-of-one", "key-of-two")
RULES = document_findings.DeploymentRules(
    shared_limits.QuotaRule(5.0, 0.1, 20.0),
    shared_limits.ColdRule(1.5, 5.0),
    6.0,
    152.0,
)


def build_sound():
    """Return a configuration without findings."""
    routes = [
        samples.build_route(
            "all",
            "h.example",
            "/all/",
            True,
            **samples.build_fanout_target(["s-0", "s-1", "s-2"], 5, 0.6),
        ),
        samples.build_route(
            "one", "h.example", "/", False, **samples.build_service_target("d")
        ),
    ]
    configuration = samples.build_configuration(
        7, routes, ("s-0", "s-1", "s-2", "d"), 20
    )
    configuration["tenants"] = [
        {
            "name": f"account-{number}",
            "api-keys": [key],
            "rate-per-s": 5,
            "burst-size": 10,
        }
        for number, key in enumerate(KEYS)
    ]
    return configuration


def check(configuration, rules=None, against=None):
    parsed = config_check.parse(json.dumps(configuration).encode(), "file")
    in_force = None
    if against is not None:
        in_force = config_check.parse_in_force(
            json.dumps(against).encode(), parsed.kind, "against"
        )
    return config_check.check(parsed, in_force, rules)


def list_codes(report):
    return {(w.code, w.place) for w in report.warnings}


def change_route(number, **fields):
    def change(configuration):
        route = configuration["routes"][number]
        route.update({k.replace("_", "-"): v for k, v in fields.items()})

    return change


def change_account(number, **fields):
    def change(configuration):
        account = configuration["tenants"][number]
        account.update({k.replace("_", "-"): v for k, v in fields.items()})

    return change


def change_service(name, **fields):
    def change(configuration):
        (service,) = [
            s for s in configuration["services"] if s["name"] == name
        ]
        service.update({k.replace("_", "-"): v for k, v in fields.items()})

    return change


def split(*weights):
    services = ("d", "s-0", "d")
    return [{"service": s, "weight": w} for s, w in zip(services, weights)]


def exempt_all(configuration):
    for route in configuration["routes"]:
        route["auth-exempt"] = True


def exempt_without_accounts(configuration):
    del configuration["tenants"]
    configuration["routes"][0]["auth-exempt"] = True


def add_service(configuration):
    configuration["services"].append({"name": "forgotten"})


CASES = (
    ("route-name-twice", "one", change_route(0, name="one")),
    ("host-never-matches", "one", change_route(1, hostname="h.example:80")),
    ("host-never-matches", "one", change_route(1, hostname="*.example")),
    ("host-never-matches", "one", change_route(1, hostname="")),
    ("prefix-never-matches", "one", change_route(1, path_prefix="/a?b/")),
    ("prefix-never-matches", "one", change_route(1, path_prefix="/a b/")),
    ("prefix-never-matches", "one", change_route(1, path_prefix="/\u0416/")),
    ("timeout-below-objective", "all", change_route(0, timeout_ms=149)),
    ("priority-out-of-range", "all", change_route(0, priority=-1)),
    (
        "weight-zero",
        "one",
        change_route(1, service=None, traffic_split=split(1, 0)),
    ),
    (
        "service-twice",
        "one",
        change_route(1, service=None, traffic_split=split(1, 1, 1)),
    ),
    ("coverage-without-shards", "one", change_route(1, min_coverage=0.5)),
    ("records-without-shards", "one", change_route(1, top_k=5)),
    ("coverage-needs-all", "all", change_route(0, min_coverage=0.9)),
    ("coverage-zero", "all", change_route(0, min_coverage=0)),
    ("no-records", "all", change_route(0, top_k=0)),
    ("fan-out-not-idempotent", "all", change_route(0, route_type="unsafe")),
    ("unused-service", "forgotten", add_service),
    ("accounts-unused", "accounts", exempt_all),
    ("exemption-without-accounts", "all", exempt_without_accounts),
    ("account-without-key", "account-0", change_account(0, api_keys=[])),
    ("priority-out-of-range", "account-0", change_account(0, priority=-1)),
    ("burst-without-rate", "account-0", change_account(0, rate_per_s=0)),
    ("burst-hides-rate", "account-0", change_account(0, burst_size=18001)),
    (
        "most-urgent-without-rate",
        "account-0",
        change_account(0, priority=0, rate_per_s=0, burst_size=0),
    ),
    (
        "limit-refuses-all",
        "limits",
        lambda c: c.update(limits={"header-max-bytes": 0}),
    ),
    ("cold-rate-without-time", "d", change_service("d", warmup_per_s=5)),
)
RULE_CASES = (
    (
        "quota-admits-none",
        "account-0",
        change_account(0, rate_per_s=0.1, burst_size=0),
        RULES,
    ),
    (
        "quota-not-in-force",
        "account-0",
        change_account(1, rate_per_s=0, burst_size=0),
        RULES._replace(quota_rule=None),
    ),
    (
        "cold-rate-not-in-force",
        "d",
        change_service("d", warmup_per_s=5, cold_start_s=3),
        RULES._replace(cold_rule=None),
    ),
    (
        "timeout-above-grace",
        "all",
        change_route(0, timeout_ms=6001),
        RULES,
    ),
    (
        "body-above-memory",
        "limits",
        lambda c: c.update(limits={"body-max-bytes": 80 << 20}),
        RULES,
    ),
)


def test_a_sound_configuration_has_no_findings():
    """Guards against warnings that operators learn to ignore."""
    report = check(build_sound(), RULES, build_sound() | {"version": 6})
    assert report.errors == () and report.warnings == ()
    assert report.differences == ()
    assert report.get_exit_code() == config_check.EXIT_CLEAN


@pytest.mark.parametrize(
    "code, place, change", CASES, ids=[case[0] for case in CASES]
)
def test_probable_mistakes_are_found(code, place, change):
    """Guards against mistakes that show only once they are in force."""
    configuration = build_sound()
    change(configuration)
    report = check(configuration)
    assert report.errors == ()
    assert list_codes(report) == {(code, place)}
    assert report.get_exit_code() == config_check.EXIT_FINDINGS


@pytest.mark.parametrize(
    "code, place, change, rules",
    RULE_CASES,
    ids=[case[0] for case in RULE_CASES],
)
def test_contradictions_to_the_settings_are_found(code, place, change, rules):
    """Guards against limits that the settings don't put in force."""
    configuration = build_sound()
    change(configuration)
    assert list_codes(check(configuration)) == set()
    assert list_codes(check(configuration, rules)) == {(code, place)}


@pytest.mark.parametrize(
    "change",
    (
        change_route(0, fanout_services=["s-0", "unheard-of"]),
        change_route(1, path_prefix="/all/"),
        change_route(0, timeout_ms="x"),
        change_route(0, min_coverage=1.5),
        change_route(1, service=None, traffic_split=split(0, 0)),
        lambda c: c.pop("version"),
    ),
)
def test_errors_are_those_of_control(change):
    """Guards against a check that accepts what control refuses."""
    configuration = build_sound()
    change(configuration)
    data = json.dumps(configuration).encode()
    try:
        document = platform_documents.decode_new_document(data)
        expected = [
            f"{m.place}: {m.message}"
            for m in documents.check_document(document)
        ]
    except ValueError as error:
        expected = [str(error)]
    report = check(configuration)
    assert list(report.errors) == expected != []
    assert report.get_exit_code() == config_check.EXIT_REFUSED


@pytest.mark.parametrize(
    "data", (b"", b"\xff", b"[]", b"{", b"null", b"[" * 99999)
)
def test_what_is_no_configuration_is_refused(data):
    """Guards against a failure of the check itself."""
    parsed = config_check.parse(data, "file")
    assert config_check.check(parsed).get_exit_code() == 2


def test_differences_are_named_without_keys():
    """Guards against keys in the output of the command."""
    new, old = build_sound(), build_sound()
    old["version"] = 7
    change_route(0, timeout_ms=900, name="all")(new)
    change_account(0, api_keys=["secret-new", KEYS[0]], rate_per_s=6)(new)
    change_account(1, name="renamed")(new)
    new["services"].append({"name": "d-2"})
    change_route(1, service="d-2")(new)
    report = check(new, None, old)
    found = {(d.table, d.name, d.change): d.fields for d in report.differences}
    assert found == {
        ("routes", "all", "changed"): {"timeout_ms": [1500.0, 900.0]},
        ("routes", "one", "changed"): {
            "alternatives": [(("d", 1.0),), (("d-2", 1.0),)]
        },
        ("services", "d-2", "added"): {},
        ("accounts", "account-0", "changed"): {
            "keys": ["0 removed", "1 added"],
            "rate_per_s": [5.0, 6.0],
        },
        ("accounts", "account-1", "removed"): {},
        ("accounts", "renamed", "added"): {},
    }
    assert list_codes(report) == {
        ("version-not-higher", "version"),
        ("unused-service", "d"),
    }
    for text in (
        config_check.format_text(report, "f"),
        config_check.format_json(report, "f"),
    ):
        for secret in (*KEYS, "secret-new"):
            assert secret not in text


def build_lists():
    customer = {
        "name": "c",
        "plan": "p",
        "token_salt": "salt",
        "token_digest": "0" * 64,
    }
    plan = {
        "name": "p",
        "services": ["desk-*"],
        "share": 0.5,
        "priorities": ["urgent", "lookup"],
    }
    return {"customers": [customer], "plans": [plan]}


def test_lists_are_checked_and_compared():
    """Guards against a format that the check leaves out."""
    sound = build_lists()
    in_force = {"revision": 4, **build_lists()}
    report = check(sound, None, in_force)
    assert report == config_check.Report("lists", (), (), ())
    new = build_lists()
    new["plans"].append(
        {
            "name": "q",
            "services": ["desk-1", "desk-*"],
            "share": 0.1,
            "priorities": ["lookup", "urgent"],
        }
    )
    new["customers"][0]["token_digest"] = "1" * 64
    report = check(new, None, in_force)
    assert list_codes(report) == {
        ("unused-plan", "q"),
        ("covered-pattern", "q"),
        ("priority-conflict", "p"),
    }
    assert [tuple(d) for d in report.differences] == [
        (
            "customers",
            "c",
            "changed",
            {"token_digest": ["1 removed", "1 added"]},
        ),
        ("plans", "q", "added", {}),
    ]
    new["customers"][0]["plan"] = "unheard-of"
    assert check(new).errors == (
        "customers[0].plan: unknown plan 'unheard-of'",
    )


def test_formats_are_not_compared_with_each_other():
    """Guards against a comparison that finds everything changed."""
    with pytest.raises(ValueError, match="is not a"):
        check(build_sound(), None, build_lists())


def write(path, value):
    path.write_text(json.dumps(value))
    return str(path)


def run(arguments, capsys):
    with pytest.raises(SystemExit) as caught:
        cli.main(["check-config", *arguments])
    return caught.value.code, capsys.readouterr().out


def test_the_command_has_exit_codes_and_json(tmp_path, capsys):
    """Guards against scripts that can't tell a mistake from success."""
    sound = write(tmp_path / "sound.json", build_sound())
    old = write(tmp_path / "old.json", build_sound() | {"version": 3})
    settings = samples.build_settings(
        "vm",
        "127.0.0.1",
        {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        [3, 4],
        [],
        False,
        None,
        1,
        6.0,
        152.0,
    )
    settings = write(tmp_path / "settings.json", settings)
    assert run([sound, "--against", old], capsys)[0] == 0
    code, printed = run([sound, "--settings", settings, "--json"], capsys)
    assert code == 3
    body = json.loads(printed)
    assert body["accepted"] and "differences" not in body
    assert {w["code"] for w in body["warnings"]} == {"quota-not-in-force"}
    bad = write(tmp_path / "bad.json", build_sound() | {"version": -1})
    code, printed = run([bad, "--json"], capsys)
    assert code == 2 and not json.loads(printed)["accepted"]
    missing = str(tmp_path / "missing.json")
    assert run([missing], capsys)[0] == 2
    assert run([sound, "--against", missing], capsys)[0] == 1
    assert run([sound, "--settings", sound], capsys)[0] == 1


def test_the_version_in_force_is_only_read(tmp_path):
    """Guards against a check that changes something."""
    calls = []

    class Member(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            calls.append((self.command, self.path))
            data = json.dumps(build_sound() | {"version": 6}).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *arguments):
            """Print nothing."""

    server = http.server.HTTPServer(("127.0.0.1", 0), Member)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        url = f"http://127.0.0.1:{server.server_port}"
        done = subprocess.run(
            [sys.executable, "-m", "chervilspindle", "check-config"]
            + [write(tmp_path / "f.json", build_sound()), "--against", url],
            capture_output=True,
            text=True,
            timeout=30,
        )
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    assert done.returncode == 0, done.stderr
    assert "same as the version in force" in done.stdout
    assert calls == [("GET", "/api/config")]
