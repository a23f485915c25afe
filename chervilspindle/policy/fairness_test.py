"""Tests of fair queueing."""

from chervilspindle.policy import fairness


def build_queue(live):
    return fairness.FairQueue(lambda payload: payload in live)


def test_cancelled_requests_do_not_count_as_ahead():
    live = {"a", "b"}
    queue = build_queue(live)
    queue.push("c", 1.0, 0, "a")
    queue.push("c", 1.0, 0, "b")
    for payload in ("a", "b"):
        live.discard(payload)
        queue.count_removed("c")
    assert queue.count_ahead("c", 5) == 0
    assert queue.size == 0


def serve(queue, count, cost_ms=10.0):
    served = {}
    for _ in range(count):
        customer, _ = queue.pop(cost_ms)
        served[customer] = served.get(customer, 0) + 1
    return served


def test_slot_time_is_shared_by_weight():
    live = set(range(1000))
    queue = build_queue(live)
    for number in range(0, 400, 2):
        queue.push("large", 0.75, 0, number)
        queue.push("small", 0.25, 0, number + 1)
    served = serve(queue, 100)
    assert 73 <= served["large"] <= 77


def test_backlog_of_one_customer_does_not_delay_another():
    live = set(range(1000))
    queue = build_queue(live)
    for number in range(500):
        queue.push("busy", 0.5, 0, number)
    serve(queue, 50)
    queue.push("new", 0.5, 0, 600)
    assert "new" in serve(queue, 2)


def test_idle_customer_accumulates_no_credit():
    live = set(range(1000))
    queue = build_queue(live)
    queue.push("idle", 0.5, 0, 0)
    serve(queue, 1)
    for number in range(1, 101):
        queue.push("busy", 0.5, 0, number)
    serve(queue, 60)
    for number in range(200, 300):
        queue.push("idle", 0.5, 0, number)
    served = serve(queue, 20)
    assert served["busy"] >= 9


def test_unused_share_goes_to_other_customers():
    live = set(range(100))
    queue = build_queue(live)
    for number in range(50):
        queue.push("only", 0.1, 0, number)
    assert serve(queue, 50) == {"only": 50}


def test_urgent_priority_goes_first_within_a_customer():
    live = {"batch", "urgent"}
    queue = build_queue(live)
    queue.push("c", 1.0, 2, "batch")
    queue.push("c", 1.0, 0, "urgent")
    assert queue.pop(1.0) == ("c", "urgent")
    assert queue.pop(1.0) == ("c", "batch")
    assert queue.pop(1.0) == (None, None)
