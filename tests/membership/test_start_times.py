"""Start times come from other machines' clocks: no host is treated as older than it is."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from whinrouter.interface import SECOND, Server, State
from whinrouter.membership.start_times import SPARE_ENTRIES, StartTimes

UNIX = 1_796_000_000 * SECOND
NOW = 1 << 50
SKEWS = st.sampled_from([0, 7 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND])


@given(st.lists(st.integers(0, 7200), min_size=1, max_size=6), SKEWS, st.integers(0, 100))
def test_first_list_makes_no_host_older_than_it_is(ages: list[int], skew: int, delay: int) -> None:
    """However wrong the clock of the list is, and however late the list arrives."""
    servers = [Server(n, started_at=UNIX + skew - age * SECOND) for n, age in enumerate(ages)]
    localised = StartTimes().localise(servers, NOW + delay * SECOND)
    for server, age in zip(localised, ages, strict=True):
        assert server.started_at >= NOW - age * SECOND
    assert max(server.started_at for server in localised) == NOW + delay * SECOND
    offsets = [
        local.started_at - reported.started_at for local, reported in zip(localised, servers, strict=True)
    ]
    assert len(set(offsets)) == 1


@given(SKEWS)
def test_new_start_counts_from_when_it_was_first_seen(skew: int) -> None:
    starts = StartTimes()
    starts.localise([Server(1), Server(2, started_at=UNIX)], NOW)
    changed = [Server(2, started_at=UNIX + 5 + skew), Server(3, started_at=UNIX + 9 - skew)]
    assert [server.started_at for server in starts.localise(changed, NOW + 50)] == [NOW + 50, NOW + 50]
    assert [server.started_at for server in starts.localise(changed, NOW + 90)] == [NOW + 50, NOW + 50]
    assert starts.localise([Server(1)], NOW + 99)[0].started_at == 0


def test_empty_list_does_not_count_as_the_first() -> None:
    starts = StartTimes()
    starts.localise([], NOW)
    first = starts.localise([Server(1, started_at=UNIX - 50), Server(2, started_at=UNIX)], NOW + 100)
    assert [server.started_at for server in first] == [NOW + 50, NOW + 100]


@given(SKEWS)
def test_ages_are_handed_over_to_another_clock(skew: int) -> None:
    older = StartTimes()
    servers = [Server(1, started_at=UNIX), Server(2, started_at=UNIX - 50), Server(3)]
    before = older.localise(servers, NOW)
    newer = StartTimes()
    newer.adopt(older.ages(NOW + 30), NOW + 30 + skew)
    after = newer.localise(servers, NOW + 40 + skew)
    assert [s.started_at + skew if s.started_at else 0 for s in before] == [s.started_at for s in after]


def test_entries_of_gone_hosts_are_bounded() -> None:
    starts = StartTimes()
    stays = starts.localise([Server(0, started_at=UNIX)], NOW)[0]
    for n in range(1, 10 * SPARE_ENTRIES):
        starts.localise([Server(n, started_at=UNIX + n), Server(n, State.GONE, started_at=UNIX + n)], NOW + n)
        starts.trim({0})
        assert len(starts.ages(NOW)) <= SPARE_ENTRIES + 1
    assert starts.localise([Server(0, started_at=UNIX)], NOW + n)[0] == stays
