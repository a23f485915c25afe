"""Command line of the product, one sub-command per task."""

import json
import os
import random
import sys
import time
import typing
import urllib.parse
import uuid

import defopt
from twisted.internet import defer

from chervilspindle.config import jsonc
from chervilspindle.config import lists as lists_module
from chervilspindle.config import options
from chervilspindle.config import settings as settings_module
from chervilspindle.config import tokens
from chervilspindle.core import logs
from chervilspindle.platform import files

EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2
TOKEN_VARIABLE = "CHERVILSPINDLE_TOKEN"
DEFAULT_SERVER = "http://127.0.0.1:8080"
ANSWER_TIMEOUT_S = 10.0
RESEND_S = 6.0  # for a command to any member, until it is acknowledged
RESEND_PAUSE_S = 0.2
RESENT_STATUSES = (408, 429)
MEMBER_TIMEOUT_S = 1.0  # a control member that is slower is passed over


class RequestError(RuntimeError):
    """A request was answered with another status than 200.

    Parameters
    ----------
    status : int
    text : str
        Body of the answer.
    """

    def __init__(self, status: int, text: str):
        super().__init__(text or f"status {status}")
        self.status = status


def serve(*, settings: str):
    """Run the roles that a settings file names, until SIGTERM.

    :param settings: path of the settings file
    """
    from twisted.internet import reactor

    from chervilspindle import serve as serve_module

    loaded = _load_settings(settings)
    logs.configure_logging(loaded.vm_id, loaded.log_level)
    code = serve_module.run_server(reactor, loaded)
    logs.log_end(code)
    sys.exit(code)


def init(*, settings: str):
    """Create a new control group. Run once, on one of its VMs.

    The other control VMs start with empty data folders and join automatically.

    :param settings: path of that VM's settings file
    """
    from chervilspindle.control import storage
    from chervilspindle import serve as serve_module

    loaded = _load_settings(settings)
    logs.configure_logging(loaded.vm_id, loaded.log_level)
    try:
        identity = serve_module.bootstrap(loaded)
    except (storage.StorageError, OSError) as error:
        _exit(EXIT_FAILED, str(error))
    print(json.dumps(identity._asdict()))


def check(file: str):
    """Validate a settings file, a lists file or a routing document.

    :param file: path of the file; its kind is detected, also files in the
        format of the platform
    """
    document, mistakes = jsonc.load_file(file)
    if not mistakes and files.is_platform_file(document):
        texts = files.list_mistakes(document)
        if texts:
            _exit(EXIT_INVALID_INPUT, "\n".join(f"{file}: {t}" for t in texts))
    elif not mistakes:
        is_lists = isinstance(document, dict) and (
            "customers" in document or "plans" in document
        )
        build = settings_module.build_settings
        if is_lists:
            build = lists_module.build_lists
        _, mistakes = build(document, file)
    if mistakes:
        _exit(
            EXIT_INVALID_INPUT,
            "\n".join(jsonc.format_error(m) for m in mistakes),
        )
    print(f"{file}: correct")


def check_config(
    file: str, *, against: str = "", settings: str = "", json: bool = False
):
    """Check a configuration before it is sent; changes nothing.

    Reports errors for which control would refuse it, probable mistakes, and
    what differs from the version in force. Exit codes: 0 nothing to report
    but differences, 1 `against` or `settings` cannot be read, 2 refused, 3
    accepted with probable mistakes.

    :param file: routing document, or file with both lists
    :param against: version in force: a file, or URL of a control member or,
        for lists, of an entry
    :param settings: settings file of the platform, for the limits that it
        has in force
    :param json: print JSON for scripts
    """
    from chervilspindle import config_check

    try:
        with open(file, "rb") as handle:
            data = handle.read()
    except OSError as error:
        _exit(EXIT_INVALID_INPUT, f"{file}: {error}")
    parsed = config_check.parse(data, file)
    rules = in_force = None
    try:
        if settings:
            rules = config_check.read_rules(settings)
        if against:
            path = config_check.PATH_BY_KIND[parsed.kind]
            stored = _read_file_or_url(against, path)
            in_force = config_check.parse_in_force(
                stored, parsed.kind, against
            )
    except (OSError, ValueError, RuntimeError) as error:
        _exit(config_check.EXIT_UNREADABLE, f"cannot be read: {error}")
    report = config_check.check(parsed, in_force, rules)
    formatted = config_check.format_text(report, file)
    if json:
        formatted = config_check.format_json(report, file)
    print(formatted)
    sys.exit(report.get_exit_code())


def apply(
    file: str,
    *,
    if_revision: int,
    change_id: str = "",
    server: str = DEFAULT_SERVER,
    wait: bool = True,
):
    """Replace the customer and plan lists with those of a file.

    :param file: path of the file with both lists
    :param if_revision: revision that the change is based on
    :param change_id: id of the change, to resend it safely; new if empty
    :param server: URL of any entry
    :param wait: wait until every VM has applied the change
    """
    _, mistakes = lists_module.load_lists(file)
    if mistakes:
        _exit(
            EXIT_INVALID_INPUT,
            "\n".join(jsonc.format_error(m) for m in mistakes),
        )
    with open(file, "rb") as handle:
        data = handle.read()
    change_id = change_id or uuid.uuid4().hex
    headers = {"If-Match": f'"{if_revision}"', "Change-Id": change_id}

    @defer.inlineCallbacks
    def run():
        body = yield _request("PUT", f"{server}/v1/config", headers, data)
        if wait:
            body["in_force_ms"] = yield _await_revision(
                server, body["revision"]
            )
        print(json.dumps({"change_id": change_id, **body}))

    _run(run)


def show(*, server: str = DEFAULT_SERVER):
    """Print the customer and plan lists in force, with their revision.

    :param server: URL of any entry
    """
    _print_body("GET", f"{server}/v1/config")


def status(*, server: str = DEFAULT_SERVER):
    """Print the status of the system.

    :param server: URL of any entry
    """
    _print_body("GET", f"{server}/v1/status")


def explain(request_id: str, *, server: str = DEFAULT_SERVER):
    """Print the decisions made for a request and their reasons.

    :param request_id: request id from the response
    :param server: URL of any entry
    """
    _print_body("GET", f"{server}/v1/explain/{request_id}")


def zone(
    action: typing.Literal["out", "back", "list"],
    name: str = "",
    *,
    server: str = DEFAULT_SERVER,
    control: str = "",
):
    """Evacuate a zone, take that back, or list the evacuated zones.

    Nothing is sent to the endpoints of an evacuated zone.

    :param action: out, back or list
    :param name: name of the zone
    :param server: URL of any entry
    :param control: comma-separated URLs of control members, for a routed
        deployment
    """
    if bool(name) == (action == "list"):
        _exit(EXIT_INVALID_INPUT, f"zone {action}: a name is for out and back")
    method = {"out": "POST", "back": "DELETE", "list": "GET"}[action]
    path = f"/{urllib.parse.quote(name, safe='')}" if name else ""
    urls = [f"{server}/v1/evacuations{path}"]
    timeout_s = ANSWER_TIMEOUT_S
    if control:
        urls = [f"{url}/api/evacuation{path}" for url in control.split(",")]
        timeout_s = MEMBER_TIMEOUT_S

    @defer.inlineCallbacks
    def run():
        body = yield _request_any(method, urls, timeout_s)
        print(json.dumps(body, indent=2))

    _run(run)


def token(name: str):
    """Create a token and print it with its digest for the lists file.

    :param name: customer or operator that the token is for
    """
    print(json.dumps(tokens.create_token(name)._asdict(), indent=2))


def settings_reference():
    """Print the settings reference as a Markdown table."""
    print(options.render_reference())


def endpoint(
    file: str,
    *,
    entries: str,
    run_log: str = "",
    seed: int = 0,
):
    """Run simulated endpoints.

    :param file: JSON file with a list of endpoints
    :param entries: comma-separated IP:PORT of the entries to announce to
    :param run_log: file that records each executed command
    :param seed: random seed of service times
    """
    from twisted.internet import reactor

    from chervilspindle.tools import endpoint as endpoint_module

    logs.configure_logging("stand-in")
    run_log_ = endpoint_module.RunLog(run_log)
    stand_ins = [
        endpoint_module.StandIn(
            reactor, config, entries.split(","), run_log_, seed
        )
        for config in endpoint_module.load_configs(file)
    ]
    for stand_in in stand_ins:
        reactor.callWhenRunning(stand_in.start)
    reactor.run()


def load(
    file: str,
    *,
    target: str,
    seed: int = 1,
    output: str = "",
    plot: str = "",
):
    """Run a load scenario against a deployment and print a report.

    :param file: scenario file
    :param target: JSON file with entries, token_by_name, address_by_endpoint
    :param seed: random seed of arrival times
    :param output: file to append the report to, as a JSON line
    :param plot: PNG file to write a plot to
    """
    from twisted.internet import reactor

    from chervilspindle.tools import load as load_module

    logs.configure_logging("load", "WARNING")
    scenario, mistakes = load_module.load_scenario(file)
    if mistakes:
        _exit(
            EXIT_INVALID_INPUT,
            "\n".join(jsonc.format_error(m) for m in mistakes),
        )
    with open(target, "rb") as handle:
        loaded_target = load_module.msgspec.json.decode(
            handle.read(), type=load_module.Target
        )

    @defer.inlineCallbacks
    def run():
        generator = load_module.Generator(
            reactor, scenario, loaded_target, seed
        )
        report = yield generator.run()
        print(load_module.format_report(report))
        if output:
            with open(output, "a", encoding="utf-8") as sink:
                sink.write(json.dumps(report) + "\n")
        if plot:
            load_module.plot_reports([report], plot)

    _run(run)


def demo(*, profile: str = "lagoon-paddle"):
    """Run a small deployment in this process and show how it behaves.

    :param profile: deployment profile, ben-salah or lagoon-paddle
    """
    from twisted.internet import reactor

    from chervilspindle.tools import demo as demo_module
    from chervilspindle.tools import deployment

    if profile not in deployment.PROFILE_BY_NAME:
        _exit(EXIT_INVALID_INPUT, f"unknown profile {profile!r}")
    logs.configure_logging("demo", "ERROR")
    chosen = deployment.PROFILE_BY_NAME[profile]
    _run(lambda: demo_module.show(reactor, chosen))


def soak(*, seed: int = 0, minutes: float = 1.0, keep: str = ""):
    """Inject random faults into real processes and check the guarantees.

    :param seed: random seed of the run; chosen at random if 0
    :param minutes: duration of fault injection
    :param keep: folder for data and logs; a temporary one if empty
    """
    from chervilspindle.tools import soak as soak_module

    seed = seed or random.SystemRandom().randrange(1, 1 << 31)
    findings, counts = soak_module.run_soak(seed, minutes * 60.0, keep)
    print(
        json.dumps(
            {
                "seed": seed,
                "counts": counts,
                "findings": [f._asdict() for f in findings],
            }
        )
    )
    if findings:
        sys.exit(EXIT_FAILED)


def main(arguments=None):
    """Parse the arguments and run the sub-command."""
    defopt.run(
        [
            serve,
            init,
            check,
            check_config,
            apply,
            show,
            status,
            explain,
            zone,
            token,
            settings_reference,
            endpoint,
            load,
            demo,
            soak,
        ],
        argv=arguments,
        cli_options="kwonly",
        version=False,
    )


def _load_settings(path):
    loaded, mistakes = settings_module.load_settings(path)
    if mistakes:
        _exit(
            EXIT_INVALID_INPUT,
            "\n".join(jsonc.format_error(m) for m in mistakes),
        )
    return loaded


def _read_file_or_url(source, path) -> bytes:
    """Read a file, or the path of a server."""
    if not source.startswith(("http://", "https://")):
        with open(source, "rb") as handle:
            return handle.read()
    url = urllib.parse.urlsplit(source)
    if url.path in ("", "/"):
        source = urllib.parse.urlunsplit(url._replace(path=path))
    bodies = []

    @defer.inlineCallbacks
    def run():
        bodies.append((yield _request("GET", source)))

    _run(run)
    return json.dumps(bodies[0]).encode()


def _exit(code, text):
    print(text, file=sys.stderr)
    sys.exit(code)


@defer.inlineCallbacks
def _request(method, url, headers=None, data=None, timeout_s=ANSWER_TIMEOUT_S):
    import treq

    response = yield treq.request(
        method,
        url,
        headers={
            "Authorization": f"Bearer {os.environ.get(TOKEN_VARIABLE, '')}",
            **(headers or {}),
        },
        data=data,
        persistent=False,
        timeout=timeout_s,
    )
    body = yield treq.content(response)
    if response.code != 200:
        raise RequestError(response.code, body.decode(errors="replace"))
    return json.loads(body)


@defer.inlineCallbacks
def _request_any(method, urls, timeout_s):
    """Send a command to one URL after the other until it is acknowledged.

    It may be sent again: each copy has the same effect.
    """
    from twisted.internet import reactor
    from twisted.internet import task

    due = time.monotonic() + RESEND_S
    while True:
        for url in urls:
            try:
                return (yield _request(method, url, timeout_s=timeout_s))
            except RequestError as error:
                failure = error
                is_final = 400 <= error.status < 500
                if is_final and error.status not in RESENT_STATUSES:
                    raise
            except Exception as error:  # whatever keeps a member from reach
                failure = error
        if time.monotonic() > due:
            raise failure
        yield task.deferLater(reactor, RESEND_PAUSE_S)


@defer.inlineCallbacks
def _await_revision(server, revision):
    """Wait until every VM has confirmed a revision; return the time in ms."""
    from twisted.internet import reactor
    from twisted.internet import task

    started = time.monotonic()
    while time.monotonic() < started + ANSWER_TIMEOUT_S:
        body = yield _request("GET", f"{server}/v1/status")
        if all((vm["revision"] or 0) >= revision for vm in body["vms"]):
            return round((time.monotonic() - started) * 1000)
        yield task.deferLater(reactor, 0.1)
    raise RuntimeError(
        f"revision {revision} accepted, but not applied by every VM "
        f"within {ANSWER_TIMEOUT_S:g} s"
    )


def _print_body(method, url):
    @defer.inlineCallbacks
    def run():
        body = yield _request(method, url)
        print(json.dumps(body, indent=2))

    _run(run)


def _run(function):
    """Run an asynchronous function in the reactor; exit with 1 if it fails."""
    from twisted.internet import reactor

    failures = []

    def stop(_):
        reactor.stop()

    def start():
        deferred = function()
        deferred.addErrback(failures.append)
        deferred.addBoth(stop)

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        _exit(EXIT_FAILED, failures[0].getErrorMessage())
