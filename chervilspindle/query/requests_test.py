"""Tests of the decoding of requests."""

import sys
import tracemalloc

import pytest

from chervilspindle.core import errors
from chervilspindle.query import requests


@pytest.mark.parametrize(
    "query,key",
    (
        (b"{}", None),
        (b'{"key": "desk/1", "text": "canoe"}', "desk/1"),
        (b'{"key": "\\u00e9"}', "\u00e9"),
        (b'{"key": 5}', None),
        (b'{"key": ["a"]}', None),
        (b'{"key": null}', None),
    ),
)
def test_the_key_of_a_query_is_read(query, key):
    assert requests.read_query_key(query) == key


@pytest.mark.parametrize("query", (b"[]", b'"x"', b"1", b'{"a": "\xff"}'))
def test_a_query_that_is_no_object_or_no_text_is_malformed(query):
    with pytest.raises(errors.ProblemError) as caught:
        requests.read_query_key(query)
    assert caught.value.problem.kind is errors.ErrorKind.MALFORMED
    assert caught.value.problem.source == "$.query"


def test_characters_across_checked_pieces_are_text():
    filler = b"x" * (requests.CHECKED_BYTES - 8)
    for shift in range(4):
        text = filler + b"x" * shift + "\u20ac\U0001f6f6".encode()
        assert requests.read_query_key(b'{"a": "' + text + b'"}') is None


def test_many_values_cost_no_more_than_their_text():
    """Guards against decoding values that an entry only forwards."""
    body = b'{"services": ["a"], "query": {"x": [1' + b",[]" * 10**6 + b"]}}"
    tracemalloc.start()
    try:
        decoded = requests.decode_body(body, requests.QueryBody)
        requests.read_query_key(bytes(decoded.query))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 3 * sys.getsizeof(body)
