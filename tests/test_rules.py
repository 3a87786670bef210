"""The rules of the interface hold over generated events; the driver asserts them at every action."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from whinrouter.interface import MS, SECOND, Outcome, Server, Settings, State, Update

from .helpers import CLASSES, Driver, servers

STEPS_STRATEGY = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), st.integers(0, len(CLASSES) - 1), st.integers(1, 400)),
        st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
        st.tuples(st.just("wait"), st.integers(0, 300), st.just(0)),
        st.tuples(st.just("leave"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("change"), st.integers(1, 8), st.sampled_from(list(State))),
        st.tuples(st.just("restart"), st.integers(1, 8), st.just(0)),
        st.tuples(st.just("relist"), st.integers(0, 8), st.sampled_from([Update.FULL, Update.STALE])),
        st.tuples(st.just("break"), st.just(0), st.just(0)),
    ),
    max_size=120,
)
SETTINGS_STRATEGY = st.builds(
    Settings,
    classes=st.just(CLASSES),
    zone=st.sampled_from(["a", "b", ""]),
    max_attempts=st.integers(1, 5),
    may_hedge=st.booleans(),
    may_cancel=st.booleans(),
    may_probe=st.booleans(),
    must_subscribe=st.booleans(),
    load_in_answers=st.booleans(),
    load_in_probes=st.booleans(),
    warm_keys=st.booleans(),
    cold_share=st.sampled_from([0.1, 0.5, 1.0]),
    ramp_time=st.sampled_from([0, 10 * SECOND]),
)


def pass_time(driver: Driver, until: int) -> None:
    """Fire timers and expire deadlines in their order, up to a moment."""
    while True:
        timers = [due for due, _ in driver.timers]
        deadlines = [due for _, due in driver.unanswered.values()]
        expiries = [sent.expires for sent in driver.running() if sent.expires]
        next_time = min([*timers, *deadlines, *expiries], default=until + 1)
        if next_time > until:
            break
        driver.now = max(driver.now, next_time)
        driver.expire()
        for timer in [timer for timer in driver.timers if timer[0] <= driver.now]:
            driver.timers.remove(timer)
            driver.fire_timer(*timer)
    driver.now = until


def apply_operation(driver: Driver, operation: str, number: int, detail: object) -> None:
    """Carry out one generated operation."""
    if operation == "submit":
        assert isinstance(detail, int)
        driver.submit(CLASSES[number], detail * MS, cost=number * 10 * MS, key=f"k{number}")
    elif operation == "wait":
        pass_time(driver, driver.now + number * MS)
    elif operation == "end" and driver.running():
        assert isinstance(detail, Outcome)
        driver.end_attempt(
            driver.running()[number % len(driver.running())], detail, {"queue": 1.0, "surprise": 2.0}
        )
    elif operation == "leave" and driver.unanswered:
        driver.disconnect_client(list(driver.unanswered)[number % len(driver.unanswered)])
    elif operation == "change":
        assert isinstance(detail, State)
        driver.list_servers([Server(number, detail, "ab"[number % 2], cell=number // 2)], Update.CHANGES)
    elif operation == "restart":
        entry = Server(number, State.READY, "ab"[number % 2], cell=number // 2, started_at=driver.now)
        driver.list_servers([entry], Update.CHANGES)
    elif operation == "relist":
        assert isinstance(detail, Update)
        driver.list_servers(servers(number), detail)
    elif operation == "break":
        driver.list_servers((), Update.ERROR)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(SETTINGS_STRATEGY, st.integers(0, 6), st.integers(0, 3), STEPS_STRATEGY)
def test_every_request_gets_one_answer_and_no_action_breaks_a_rule(
    options: Settings, count: int, seed: int, steps: list[tuple[str, int, object]]
) -> None:
    driver = Driver(options, count, seed)
    for operation, number, detail in steps:
        apply_operation(driver, operation, number, detail)
    pass_time(driver, driver.now + SECOND)
    assert not driver.unanswered
    assert all(len(answers) == 1 for answers in driver.answers.values())


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(
    st.integers(0, 3),
    st.sampled_from([0.12, 0.3]),
    st.lists(st.tuples(st.integers(1, 60), st.integers(1, 80)), min_size=50, max_size=300),
)
def test_a_cold_server_never_gets_more_than_its_share_in_any_window(
    seed: int, share: float, arrivals: list[tuple[int, int]]
) -> None:
    """Whatever the traffic, a cold server's share of the work stays near its share of the capacity."""
    options = Settings(CLASSES, cold_share=share, ramp_time=20 * SECOND, may_hedge=True, may_cancel=True)
    driver = Driver(options, 4, seed)
    for _ in range(100):
        driver.now += 20 * MS
        driver.submit(cost=40 * MS)
        for sent in driver.running():
            driver.end_attempt(sent)
    driver.list_servers([Server(9, started_at=driver.now)], Update.CHANGES)
    started = driver.now
    work = {sent.request: 40 for sent in driver.sent_attempts}
    for gap, cost in arrivals:
        pass_time(driver, driver.now + gap * MS)
        work[driver.submit(cost=cost * MS)] = cost
        for sent in driver.running():
            driver.end_attempt(sent, Outcome.REJECTED if sent.server == 9 else Outcome.OK)
    window = options.cold_overload_window
    for start in range(started, driver.now, 500 * MS):
        sends_in_window = [sent for sent in driver.sent_attempts if start <= sent.sent_at < start + window]
        total_work = sum(work[sent.request] for sent in sends_in_window)
        cold_work = sum(work[sent.request] for sent in sends_in_window if sent.server == 9)
        capacity_share = share + (1 - share) * (start + window - started) / options.ramp_time
        assert cold_work <= options.cold_overload_multiple * total_work * capacity_share / 4 + 2 * 80
