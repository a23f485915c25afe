"""Tests that each error in the settings is reported with its position."""

import pytest

from chervilspindle.config import jsonc
from chervilspindle.config import options
from chervilspindle.config import settings
from chervilspindle.tools import deployment


def build_document(tmp_path):
    built = deployment.build_deployment(
        deployment.BEN_SALAH, str(tmp_path), 20000
    )
    return dict(built.entry_settings[0]), dict(built.control_settings[0])


def list_places(document):
    _, errors = settings.build_settings(document, "file")
    return {e.place for e in errors}


def test_generated_settings_are_valid(tmp_path):
    for document in build_document(tmp_path):
        assert list_places(document) == set()


@pytest.mark.parametrize(
    "change,place",
    (
        ({"vm_id": ""}, "vm_id"),
        ({"vm_id": "a#b"}, "vm_id"),
        ({"roles": ["boss"]}, "roles[0]"),
        ({"roles": []}, "roles"),
        ({"http_address": "localhost:80"}, "http_address"),
        ({"peer_address": "10.0.0.1"}, "peer_address"),
        ({"shared_key": "short"}, "shared_key"),
        ({"drain_seconds": 0}, "drain_seconds"),
        ({"drain_seconds": "x"}, "drain_seconds"),
        ({"log_level": "LOUD"}, "log_level"),
        ({"unheard_of": 1}, "unheard_of"),
        ({"operators": [{"name": 1}]}, "operators[0].name"),
        ({"baselines": ["magic"]}, "baselines[0]"),
        ({"control_vms": []}, "control_vms"),
        ({"caller_memory_mb": 12.9}, "caller_memory_mb"),
        ({"caller_memory_mb": 257}, "caller_memory_mb"),
        ({"caller_memory_mb": "x"}, "caller_memory_mb"),
        ({"caller_connections": 15}, "caller_connections"),
        ({"caller_connections": 2.5}, "caller_connections"),
    ),
)
def test_error_is_reported_at_its_position(tmp_path, change, place):
    document, _ = build_document(tmp_path)
    assert place in list_places({**document, **change})


def test_all_errors_are_reported_together(tmp_path):
    document, _ = build_document(tmp_path)
    document.update({"roles": ["boss"], "shared_key": "x"})
    document["control_vms"] = document["control_vms"] * 2
    places = list_places(document)
    assert {"roles[0]", "shared_key", "control_vms"} <= places


def test_missing_settings_are_reported(tmp_path):
    required = {
        o.name for o in options.OPTIONS if o.default is options.REQUIRED
    }
    assert required <= list_places({})


def test_syntax_error_reports_its_line(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text('{\n  // a comment\n  "vm_id": \n}')
    _, errors = settings.load_settings(str(path))
    assert errors[0].place.startswith("line ")
    with pytest.raises(ExceptionGroup):
        jsonc.raise_errors(errors)


def test_missing_file_is_reported(tmp_path):
    _, errors = settings.load_settings(str(tmp_path / "none"))
    assert errors[0].place == "file"
