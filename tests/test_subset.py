"""The subset of the servers that a balancer uses where there are many balancers."""

from __future__ import annotations

from collections import Counter

from whinrouter.balance import BALANCERS_PER_SERVER
from whinrouter.interface import MS, SECOND, Server, Settings

from .helpers import CLASSES, Driver


def servers_used(rank: int, balancers: int, count: int, requests: int = 40) -> set[int]:
    """Return the servers that one of several balancers sends to."""
    driver = Driver(Settings(CLASSES, balancers=balancers, rank=rank), count)
    return {driver.serve().server for _ in range(requests)}


def test_a_few_balancers_use_every_server() -> None:
    assert servers_used(3, 5, 12, requests=200) == set(range(1, 13))


def test_each_server_is_in_the_subset_of_equally_many_balancers() -> None:
    """When each of hundreds of balancers connected to every server, the connection tables were full."""
    balancers, count = 8 * BALANCERS_PER_SERVER, 64
    shared = Counter(server for rank in range(balancers) for server in servers_used(rank, balancers, count))
    assert len(shared) == count
    assert set(shared.values()) == {BALANCERS_PER_SERVER}


def test_reserve_servers_are_used_where_the_subset_does_not_admit() -> None:
    driver = Driver(Settings(CLASSES, balancers=100 * BALANCERS_PER_SERVER, rank=7, max_attempts=9), 40)
    servers_sent_to = [driver.running(driver.submit())[0].server for _ in range(10)]
    assert len(set(servers_sent_to)) > 4


def test_of_two_servers_the_one_with_quicker_answers_is_tried_first() -> None:
    driver = Driver(Settings(CLASSES), 2, seed=3)
    for _ in range(60):
        sent = driver.running(driver.submit())[0]
        driver.now += (40 if sent.server == 1 else 10) * MS
        driver.end_attempt(sent)
    assert sum(sent.server == 2 for sent in driver.sent_attempts[20:]) > 30


def test_a_latency_ratio_without_new_answers_is_forgotten() -> None:
    """Otherwise a server that was slow once would never be chosen first again."""
    driver = Driver(Settings(CLASSES), 2, seed=3)
    servers_sent_to = []
    for _ in range(60):
        sent = driver.running(driver.submit())[0]
        servers_sent_to.append(sent.server)
        driver.now += (40 if sent.server == 1 else 10) * MS
        driver.end_attempt(sent)
        driver.now += SECOND
    assert 5 < servers_sent_to.count(1) < 45


def test_cold_servers_get_requests_from_the_balancers_whose_subset_holds_them() -> None:
    """A balancer's work must be divided among its subset: divided among all servers, it left cold ones idle.

    Half of the servers are cold and have half of their capacity, so a third of the total capacity is theirs.
    They get at least nine tenths of that share of the work, from the first request on.
    """
    balancers, count = 4 * BALANCERS_PER_SERVER, 48
    options = {"balancers": balancers, "cold_share": 0.5, "ramp_time": 1000 * SECOND}
    sent: Counter[int] = Counter()
    senders: dict[int, set[int]] = {}
    for rank in range(balancers):
        driver = Driver(Settings(CLASSES, rank=rank, **options), 0)  # type: ignore[arg-type]
        start_times = {number: driver.now if number % 2 else 0 for number in range(1, count + 1)}
        driver.list_servers([Server(number, started_at=at) for number, at in start_times.items()])
        for _ in range(200):
            server = driver.serve(latency=10 * MS).server
            driver.now += 40 * MS
            sent[server] += 1
            senders.setdefault(server, set()).add(rank)
    total_sends = sum(sent.values())
    assert sum(sent[server] for server in sent if server % 2) >= 0.9 * total_sends / 3
    max_sends = 4.0 * 0.5 / (0.75 * count) * total_sends
    assert all(sent[server] <= max_sends for server in sent if server % 2)
    assert all(len(senders[server]) <= BALANCERS_PER_SERVER for server in sent if server % 2)


MANY_BALANCERS = 2 * BALANCERS_PER_SERVER


def test_limits_of_many_balancers_grow_only_with_use() -> None:
    """A balancer seldom sends to a given server: limits of one request each did not bound an overload."""
    driver = Driver(Settings(CLASSES, balancers=MANY_BALANCERS), 60)
    for _ in range(1000):
        driver.serve()
    balancer = driver.balancer
    assert balancer._total_limit < 60 / 2
    burst = [driver.submit(timeout=SECOND) for _ in range(200)]
    assert len(driver.running()) <= balancer._total_limit + 1 < len(burst)


def test_late_answers_shrink_a_pool_of_limits() -> None:
    driver = Driver(Settings(CLASSES, balancers=MANY_BALANCERS), 12)
    for _ in range(400):
        if driver.running(driver.submit(timeout=SECOND)):
            sent = driver.running()[0]
            driver.now += 160 * MS
            driver.end_attempt(sent)
        driver.now += 20 * MS
    # The sum of the limits was 3 at first.
    assert 1 <= sum(host.limit for host in driver.balancer._hosts.values()) < 2.5


def test_pooled_servers_that_answer_in_time_are_drawn_first() -> None:
    """A balancer has one request in flight at a server or none, which doesn't show which servers are slow."""
    driver = Driver(Settings(CLASSES, balancers=MANY_BALANCERS, max_attempts=1), 12, seed=5)
    servers_sent_to: list[int] = []
    for _ in range(900):
        sent = driver.running(driver.submit(timeout=SECOND))
        if sent:
            servers_sent_to.append(sent[0].server)
            driver.now += (140 if sent[0].server <= 3 else 20) * MS
            driver.end_attempt(sent[0])
        driver.now += 500 * MS
    later_sends = servers_sent_to[300:]
    assert sum(server <= 3 for server in later_sends) < 0.6 * len(later_sends) * 3 / 12
