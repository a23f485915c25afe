"""Tests of the command line."""

import http.server
import json
import subprocess
import sys
import threading

import pytest

from chervilspindle import cli
from chervilspindle.config import tokens
from chervilspindle.tools import deployment


def write_with_comment(path, document):
    path.write_text("// a comment\n" + json.dumps(document))
    return str(path)


def test_token_matches_its_digest(capsys):
    cli.main(["token", "food-bank"])
    issued = json.loads(capsys.readouterr().out)
    digest = tokens.compute_digest(issued["token"], issued["token_salt"])
    assert issued["token"].startswith("food-bank.")
    assert digest == issued["token_digest"]


def test_check_accepts_settings_and_lists(tmp_path, capsys):
    built = deployment.build_deployment(
        deployment.BEN_SALAH, str(tmp_path), 20000
    )
    for name, document in (
        ("entry.json", built.entry_settings[0]),
        ("lists.json", built.lists),
    ):
        cli.main(["check", write_with_comment(tmp_path / name, document)])
        assert "correct" in capsys.readouterr().out


@pytest.mark.parametrize("command", (["check"], ["serve", "--settings"]))
def test_errors_name_file_and_field(tmp_path, capsys, command):
    path = write_with_comment(
        tmp_path / "bad.json", {"vm_id": 5, "roles": ["entry"]}
    )
    with pytest.raises(SystemExit) as caught:
        cli.main([*command, path])
    assert caught.value.code == cli.EXIT_INVALID_INPUT
    printed = capsys.readouterr().err
    assert f"{path}: vm_id: must be of type str" in printed
    assert f"{path}: zone: missing" in printed
    assert "Traceback" not in printed


def test_init_twice_is_refused(tmp_path, capsys):
    built = deployment.build_deployment(
        deployment.BEN_SALAH, str(tmp_path), 20000
    )
    path = write_with_comment(
        tmp_path / "control.json", built.control_settings[0]
    )
    cli.main(["init", "--settings", path])
    with pytest.raises(SystemExit) as caught:
        cli.main(["init", "--settings", path])
    assert caught.value.code == cli.EXIT_FAILED
    assert "in use already" in capsys.readouterr().err


class FakeMember(http.server.BaseHTTPRequestHandler):
    """Answers with the statuses that a test lists, in turn."""

    statuses = []
    calls = []

    def _answer(self):
        self.calls.append((self.command, self.path))
        self.send_response(self.statuses.pop(0))
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"{}")

    do_POST = do_DELETE = do_GET = _answer

    def log_message(self, *arguments):
        """Print nothing."""


@pytest.fixture(name="member")
def serve_member():
    server = http.server.HTTPServer(("127.0.0.1", 0), FakeMember)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    FakeMember.calls.clear()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize(
    "arguments, statuses, calls, code",
    (
        (["out", "zone a"], [503, 200], [("POST", "/zone%20a")] * 2, 0),
        (["back", "z"], [200], [("DELETE", "/z")], 0),
        (["list"], [429, 200], [("GET", "")] * 2, 0),
        (["out", "z"], [404], [("POST", "/z")], 1),
        (["out"], [], [], 2),
        (["list", "z"], [], [], 2),
    ),
)
def test_zones_of_a_routed_deployment_are_evacuated_at_any_member(
    member, arguments, statuses, calls, code
):
    """Guards against a command that gives up where it may be resent."""
    FakeMember.statuses[:] = statuses
    # Nothing listens at the first address.
    control = f"http://127.0.0.1:9,{member}"
    done = subprocess.run(
        [sys.executable, "-m", "chervilspindle", "zone", *arguments]
        + ["--control", control],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == code, done.stderr
    prefix = "/api/evacuation"
    assert FakeMember.calls == [(m, prefix + path) for m, path in calls]
    assert "Traceback" not in done.stderr
