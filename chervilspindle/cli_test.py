"""Tests of the command line."""

import json

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
