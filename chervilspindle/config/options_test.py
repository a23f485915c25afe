"""Tests that the settings reference in the documentation is current."""

import pathlib

from chervilspindle.config import options

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def test_reference_is_current():
    assert options.render_reference() in PAGE.read_text(encoding="utf-8")
