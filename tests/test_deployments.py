"""The decisions adapt to figures that differ from one deployment to the next."""

from __future__ import annotations

from random import Random

import pytest

from whinrouter import wire
from whinrouter.interface import MS, SECOND, Effect, Outcome, RequestClass, Server, Settings

from .helpers import Driver
from .test_rules import pass_time
from .test_shedding import HIGH_WORTH, LOW_WORTH, overloaded_driver, refused_count

SCATTERED = RequestClass("list", 1500 * MS, 6000 * MS, Effect.IDEMPOTENT)
SHORT_AIM = RequestClass("open", 200 * MS, 2000 * MS, Effect.IDEMPOTENT)
LONG_AIM = RequestClass("order", 4000 * MS, 8000 * MS, Effect.IDEMPOTENT)


@pytest.mark.parametrize(("balancers", "total"), [(1, 10), (3, 9), (8, 8), (30, 30)])
def test_balancers_that_start_together_divide_the_initial_limit_of_a_server(
    balancers: int, total: int
) -> None:
    """With 8 for each, at any number of balancers, small hosts were overloaded at the start of a day."""
    driver = Driver(Settings((LONG_AIM,), balancers=balancers), 1, classes=(LONG_AIM,))
    for _ in range(20):
        driver.submit(LONG_AIM)
    assert len(driver.running()) * balancers == total


def submit_and_answer(driver: Driver, request_class: RequestClass, latency: int) -> None:
    """Submit a request and answer it after `latency`; timers fire meanwhile."""
    request = driver.submit(request_class, timeout=request_class.deadline)
    pass_time(driver, driver.now + latency)
    for sent in driver.running(request):
        driver.end_attempt(sent, Outcome.OK)


def test_widely_scattered_latencies_open_no_breaker() -> None:
    """One in six of exponential latencies is over 2.5 medians: breakers opened, and hedges were useless."""
    settings = Settings((SCATTERED,), may_hedge=True, may_cancel=True)
    driver, random = Driver(settings, 3, classes=(SCATTERED,)), Random(5)
    open_count = 0
    for _ in range(1500):
        submit_and_answer(driver, SCATTERED, max(MS, round(random.expovariate(1 / (200 * MS)))))
        open_count += sum(not host.breaker.is_closed for host in driver.balancer._hosts.values())
    assert len(driver.sent_attempts) < 1500 * 1.03
    assert open_count == 0


def test_a_silent_host_is_detected_soon_where_latencies_scatter_little() -> None:
    """The late multiple falls to just above the latencies of healthy hosts, so silence is detected soon."""
    settings = Settings((SCATTERED,), may_hedge=True, may_cancel=True)
    driver, random = Driver(settings, 3, classes=(SCATTERED,)), Random(5)
    for _ in range(1500):
        submit_and_answer(driver, SCATTERED, round(random.uniform(190, 210) * MS))
    request = driver.submit(SCATTERED, timeout=SCATTERED.deadline)
    submitted_at = driver.now
    pass_time(driver, submitted_at + 600 * MS)
    first, second = driver.attempts(request)
    assert first.sent_at == submitted_at
    assert second.sent_at - submitted_at < 500 * MS


def limit_after(request_class: RequestClass, latency: int) -> float:
    """Return how ten answers of this latency change a limit, after answers in 50 and 100 ms."""
    driver = Driver(Settings((SHORT_AIM, LONG_AIM), may_cancel=True), 1, classes=(SHORT_AIM, LONG_AIM))
    for _ in range(20):
        submit_and_answer(driver, SHORT_AIM, 50 * MS)
        submit_and_answer(driver, LONG_AIM, 100 * MS)
    limit_before = driver.balancer._hosts[1].limit
    for _ in range(10):
        submit_and_answer(driver, request_class, latency)
    return driver.balancer._hosts[1].limit - limit_before


def test_slow_answers_of_a_class_with_a_long_aim_cut_limits() -> None:
    """Answers within 2 s, half of an aim of 4 s, raised limits, and those with an aim of 200 ms were late."""
    assert limit_after(LONG_AIM, 600 * MS) < 0
    assert limit_after(LONG_AIM, 100 * MS) >= 0
    assert limit_after(SHORT_AIM, 160 * MS) < 0


def test_the_target_latency_of_a_class_allows_for_its_own_scatter() -> None:
    """Held to 1.2 medians, one answer in three cut a limit by its normal scatter alone."""
    tight_aim = RequestClass("open", 120 * MS, 2000 * MS, Effect.IDEMPOTENT)
    driver = Driver(Settings((tight_aim, LONG_AIM), may_cancel=True), 1, classes=(tight_aim, LONG_AIM))
    for _ in range(20):
        submit_and_answer(driver, tight_aim, 50 * MS)
        submit_and_answer(driver, LONG_AIM, 100 * MS)
    before = driver.balancer._hosts[1].limit
    submit_and_answer(driver, LONG_AIM, 180 * MS)
    assert driver.balancer._hosts[1].limit >= before
    submit_and_answer(driver, LONG_AIM, 240 * MS)
    assert driver.balancer._hosts[1].limit < before


@pytest.mark.parametrize(("balancers", "min_limit"), [(1, 5.0), (2, 2.5), (30, 1.0)])
def test_late_answers_leave_each_balancer_its_minimum_limit(balancers: int, min_limit: float) -> None:
    """Two gateways cut some hosts to one request from each, and refused a fifth of the requests."""
    driver = Driver(Settings((LONG_AIM,), balancers=balancers), 1, classes=(LONG_AIM,))
    for _ in range(60):
        submit_and_answer(driver, LONG_AIM, 3000 * MS)
    assert driver.balancer._hosts[1].limit == min_limit


def test_pooled_limits_bound_the_sum_of_requests_in_flight() -> None:
    """One request from each of twenty balancers kept a host of three cores overloaded."""
    driver = Driver(Settings((LONG_AIM,), balancers=20), 12, classes=(LONG_AIM,))
    for host in driver.balancer._hosts.values():
        host.limit = host.min_limit
    driver.list_servers(driver.listed_servers.values())
    requests = [driver.submit(LONG_AIM) for _ in range(12)]
    assert len(driver.running()) == 3
    driver.end_attempt(driver.running()[0])
    assert driver.running(driver.submit(LONG_AIM))  # one more is admitted now
    assert sum(driver.answers[request] == ["refused"] for request in requests) == 9


@pytest.mark.parametrize("seed", range(5))
def test_the_running_sums_stay_exact_as_limits_and_servers_change(seed: int) -> None:
    """With a thousand servers, summing them at each choice took about ten times as long as all else."""
    driver, random = Driver(Settings((LONG_AIM,), balancers=20), 6, classes=(LONG_AIM,)), Random(seed)
    balancer, changed = driver.balancer, 0
    for _ in range(400):
        driver.submit(LONG_AIM, timeout=LONG_AIM.deadline)
        driver.now += random.randrange(1, 900) * MS
        driver.expire()
        for sent in random.sample(driver.running(), len(driver.running()) // 2):
            driver.end_attempt(sent, random.choice((Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.RESET)))
        if random.random() < 0.05:
            started = random.choice((0, driver.now))  # a restart loses the requests in flight
            driver.list_servers(Server(each, started_at=started) for each in random.sample(range(1, 9), 5))
        hosts = balancer._hosts.values()
        changed += any(host.limit not in (0.25, 1.0) for host in hosts)
        assert balancer._total_in_flight == sum(host.in_flight for host in hosts)
        assert balancer._total_limit == pytest.approx(sum(host.limit for host in hosts))
    assert changed > 100


def test_shedding_spares_the_worst_served_class_where_the_goal_weighs_it() -> None:
    """The class of least worth was refused entirely, though the worst-served one was a fifth of the goal."""
    unweighted = overloaded_driver()
    weighted = overloaded_driver(worst_class_weight=1.0)
    assert refused_count(unweighted, LOW_WORTH, 50) > 1.3 * refused_count(unweighted, HIGH_WORTH, 50)
    assert refused_count(weighted, LOW_WORTH, 50) < 1.1 * refused_count(weighted, HIGH_WORTH, 50)


@pytest.mark.parametrize(
    ("outcome", "cuts"),
    [(Outcome.RESET, False), (Outcome.CANCELLED, False), (Outcome.REJECTED, True), (Outcome.ERROR, True)],
)
def test_only_outcomes_caused_by_load_cut_the_limit(outcome: Outcome, cuts: bool) -> None:
    """Where one connection in ten broke, all limits fell to the minimum, and half of the load was refused."""
    driver = Driver(Settings((LONG_AIM,), balancers=3), 1, classes=(LONG_AIM,))
    for _ in range(4):
        request = driver.submit(LONG_AIM, timeout=LONG_AIM.deadline)
        driver.now += 50 * MS
        driver.end_attempt(driver.running(request)[0], outcome)
        submit_and_answer(driver, LONG_AIM, 50 * MS)
    host = driver.balancer._hosts[1]
    assert (host.limit < 3) is cuts


def test_limits_are_proportional_to_server_weights() -> None:
    """A host five times as large had the same limits, and was idle while requests were refused."""
    driver = Driver(Settings((LONG_AIM,)), 0, classes=(LONG_AIM,))
    driver.list_servers((Server(1, weight=1.0), Server(2, weight=3.0)))
    small, large = (driver.balancer._hosts[server] for server in (1, 2))
    assert (small.limit, large.limit) == (5.0, 15.0)
    assert (small.min_limit, large.min_limit) == (2.5, 7.5)
    large.limit = 4.0  # a learned limit must survive a new list with one more server
    driver.list_servers((Server(1, weight=1.0), Server(2, weight=3.0), Server(3, weight=2.0)))
    assert large.limit == 4.0
    assert driver.balancer._hosts[3].limit == 10.0


def sends_per_server(settings: Settings) -> dict[int, int]:
    """Return how many of 300 requests each of two servers got; the second has three times the weight."""
    driver = Driver(settings, 0, classes=(SCATTERED,))
    driver.list_servers((Server(1, weight=1.0), Server(2, weight=3.0)))
    for _ in range(100):
        requests = [driver.submit(SCATTERED) for _ in range(3)]
        driver.now += 100 * MS
        for request in requests:
            for sent in driver.running(request):
                driver.end_attempt(sent)
    return {server: sum(sent.server == server for sent in driver.sent_attempts) for server in (1, 2)}


def test_servers_are_compared_by_weight_only_where_weights_are_capacities() -> None:
    """Hosts of two and of three cores counted as equally loaded with the same number of requests."""
    by_capacity = sends_per_server(Settings((SCATTERED,)))
    assert by_capacity[2] > 1.6 * by_capacity[1]
    by_load = sends_per_server(Settings((SCATTERED,), weight_is_capacity=False))
    assert by_load[2] < 1.3 * by_load[1]


def test_a_weight_of_zero_or_less_is_ignored() -> None:
    driver = Driver(Settings((SCATTERED,)), 0, classes=(SCATTERED,))
    driver.list_servers((Server(1, weight=-2.0), Server(2, weight=0.0), Server(3)))
    assert [host.capacity for host in driver.balancer._hosts.values()] == [1.0] * 3


def test_the_wire_settings_carry_the_weight_source_and_the_worst_class_weight() -> None:
    classes = [{"name": "open", "onTime": SECOND, "giveUp": SECOND}]
    assert wire.parse_settings({"classes": classes, "weightSource": "nominal"}).weight_is_capacity
    assert not wire.parse_settings({"classes": classes, "weightSource": "live"}).weight_is_capacity
    goal = {"whole": 0.5, "worstClass": 0.2}
    assert wire.parse_settings({"classes": classes, "goal": goal}).worst_class_weight == pytest.approx(0.4)
    assert wire.parse_settings({"classes": classes}).worst_class_weight == 0.0


def test_an_unannounced_class_does_not_tighten_the_target_latency_of_the_others() -> None:
    """Peers choose the names: a class with a tiny timeout held all others to twice their median latencies."""
    driver = Driver(Settings((LONG_AIM,)), 1, classes=(LONG_AIM,))
    unknown = RequestClass("made up", 40 * MS, 40 * MS)
    targets = []
    for request_class, latency in ((LONG_AIM, 30 * MS), (unknown, 10 * MS)):
        driver.classes = (request_class,)
        for _ in range(30):
            submit_and_answer(driver, request_class, latency)
        driver.classes = (LONG_AIM,)
        request = driver.submit(LONG_AIM, timeout=LONG_AIM.deadline)
        targets.append(driver.balancer._target_latency(driver.balancer._pending[request]))
        driver.end_attempt(driver.running(request)[0])
    assert targets[1] == targets[0]
