"""Load shedding: a balancer refuses work while its own answers show that the servers are overloaded."""

from __future__ import annotations

from whinrouter.interface import MS, SECOND, Effect, Outcome, RequestClass, Settings

from .helpers import Driver

LOW_WORTH = RequestClass("cheap", 150 * MS, 500 * MS, Effect.IDEMPOTENT, worth=1.0)
HIGH_WORTH = RequestClass("dear", 150 * MS, 500 * MS, Effect.IDEMPOTENT, worth=5.0)
CLASSES = (LOW_WORTH, HIGH_WORTH)


def run_traffic(driver: Driver, latency: int, requests: int, gap: int = 20 * MS) -> None:
    """Submit requests of both classes in turn, each answered after `latency`."""
    pending_answers: list[tuple[int, int]] = []
    for number in range(requests):
        arrives = driver.now + gap
        while pending_answers and pending_answers[0][0] <= arrives:
            driver.now, request = pending_answers.pop(0)
            for sent in driver.running(request):
                driver.end_attempt(sent, Outcome.OK)
        driver.now = arrives
        pending_answers.append((driver.now + latency, driver.submit(CLASSES[number % 2])))


def refused_count(driver: Driver, request_class: RequestClass, count: int) -> int:
    """Return how many of the last `count` requests of a class were refused."""
    requests = [number for number in driver.answers if driver.class_names[number] == request_class.name][
        -count:
    ]
    return sum(driver.answers[number] == ["refused"] for number in requests)


def overloaded_driver(gap: int = 20 * MS, worst_class_weight: float = 0.0) -> Driver:
    """Return a driver after two seconds of late answers."""
    driver = Driver(
        Settings(CLASSES, may_cancel=True, worst_class_weight=worst_class_weight), 12, classes=CLASSES
    )
    run_traffic(driver, 20 * MS, 10 * SECOND // gap // 5, gap)
    assert not refused_count(driver, LOW_WORTH, 50)
    run_traffic(driver, 350 * MS, 2 * SECOND // gap, gap)
    return driver


def test_late_answers_shed_requests_of_the_least_worth_first() -> None:
    """Queues longer than the clients' timeouts kept every server busy with work that no client waited for."""
    driver = overloaded_driver()
    assert refused_count(driver, LOW_WORTH, 20) > 10
    assert refused_count(driver, HIGH_WORTH, 20) < refused_count(driver, LOW_WORTH, 20)


def test_answers_in_time_end_the_shedding() -> None:
    driver = overloaded_driver()
    run_traffic(driver, 20 * MS, 400)
    assert not refused_count(driver, LOW_WORTH, 20)


def test_the_end_of_an_overload_is_detected_within_seconds_at_low_traffic() -> None:
    """At 20 requests per second nearly all were refused for half a minute, as hardly any was admitted."""
    driver = Driver(Settings(CLASSES, may_cancel=True), 12, classes=CLASSES)
    run_traffic(driver, 20 * MS, 100)
    run_traffic(driver, 350 * MS, 800, gap=5 * MS)  # long enough to bring the admitted share near zero
    for request in list(driver.answers):
        for sent in driver.running(request):
            driver.end_attempt(sent, Outcome.OK)
    driver.now += SECOND
    run_traffic(driver, 10 * MS, 40, gap=50 * MS)
    assert refused_count(driver, HIGH_WORTH, 20) < 20
    run_traffic(driver, 10 * MS, 40, gap=50 * MS)
    assert not refused_count(driver, LOW_WORTH, 10)


def test_a_balancer_with_little_traffic_sheds_as_soon() -> None:
    """Had late answers been counted instead, one of hundreds of balancers would react after a minute."""
    driver = overloaded_driver(gap=150 * MS)
    assert refused_count(driver, LOW_WORTH, 3) >= 2


def test_rejections_by_a_full_server_cause_no_shedding_while_another_serves() -> None:
    """Slow servers with full queues made balancers refuse work for which other servers had capacity."""
    driver = Driver(Settings(CLASSES, may_cancel=True), 12, classes=CLASSES)
    for _ in range(200):
        driver.now += 20 * MS
        request = driver.submit(LOW_WORTH)
        for outcome in (Outcome.REJECTED, Outcome.OK):
            for sent in driver.running(request):
                driver.now += MS
                driver.end_attempt(sent, outcome)
    assert not refused_count(driver, LOW_WORTH, 200)


def test_a_retry_whose_aim_has_passed_is_refused() -> None:
    """Clients retried after their timeouts for worthless answers, and delayed requests that were in time."""
    driver = Driver(Settings(CLASSES), 12, classes=CLASSES)
    driver.submit(LOW_WORTH, timeout=300 * MS)
    after_refusal = driver.submit(LOW_WORTH, timeout=300 * MS, is_retry=True)
    after_time_out = driver.submit(LOW_WORTH, timeout=190 * MS, is_retry=True)
    assert driver.answers[after_refusal] == []
    assert driver.answers[after_time_out] == ["refused"]


def test_a_late_retry_is_served_where_late_answers_have_worth() -> None:
    late_worth_class = RequestClass("cheap", 150 * MS, 500 * MS, Effect.IDEMPOTENT, late_worth=0.5)
    driver = Driver(Settings((late_worth_class,)), 12, classes=(late_worth_class,))
    driver.submit(late_worth_class, timeout=300 * MS)
    assert driver.answers[driver.submit(late_worth_class, timeout=190 * MS, is_retry=True)] == []


def test_requests_beyond_a_tenant_allowance_are_shed_first() -> None:
    """Such traffic has little worth, but used capacity that tenants within their allowances needed."""
    settings = Settings((LOW_WORTH,), allowances={"modest": 30.0, "greedy": 5.0}, over_allowance_worth=0.1)
    driver = Driver(settings, 12, classes=(LOW_WORTH,))
    requests: dict[str, list[int]] = {"modest": [], "greedy": []}
    pending_answers: list[tuple[int, int]] = []
    for number in range(400):
        arrives = driver.now + 25 * MS
        pending_answers.sort()
        while pending_answers and pending_answers[0][0] <= arrives:
            driver.now, request = pending_answers.pop(0)
            for sent in driver.running(request):
                driver.end_attempt(sent, Outcome.OK)
        driver.now = arrives
        tenant = ("modest", "greedy")[number % 2]
        requests[tenant].append(driver.submit(LOW_WORTH, tenant=tenant))
        latency = 20 if number < 200 or number % 4 < 2 else 120
        pending_answers.append((driver.now + latency * MS, requests[tenant][-1]))
    refused_counts = {
        name: sum(driver.answers[r] == ["refused"] for r in requests[name][100:]) for name in requests
    }
    assert refused_counts["greedy"] > 10
    assert refused_counts["modest"] < refused_counts["greedy"] / 2
