"""Tests of how the body of a request is written to an endpoint."""

from chervilspindle.wire import endpoint_client


class Consumer:
    """Takes one piece, then asks for a pause."""

    def __init__(self):
        self.producer = None
        self.pieces = []

    def write(self, data):
        self.pieces.append(data)
        self.producer.pauseProducing()


def start(parts):
    consumer = Consumer()
    consumer.producer = endpoint_client.BytesProducer(parts)
    finished = consumer.producer.startProducing(consumer)
    return consumer, finished


def test_a_body_is_written_as_its_connection_takes_it():
    """Guards against a whole copy in the buffer of each connection."""
    query = b"q" * (3 * endpoint_client.WRITE_BYTES + 1)
    parts = (b"{", query, b"}")
    consumer, finished = start(parts)
    assert consumer.producer.length == len(query) + 2
    while not finished.called:
        before = len(consumer.pieces)
        consumer.producer.resumeProducing()
        assert len(consumer.pieces) <= before + 1
    assert b"".join(consumer.pieces) == b"".join(parts)
    assert max(map(len, consumer.pieces)) == endpoint_client.WRITE_BYTES


def test_a_cancelled_body_is_not_written_on():
    consumer, finished = start((b"a", b"b"))
    consumer.producer.stopProducing()
    consumer.producer.resumeProducing()
    assert consumer.pieces == [b"a"]
