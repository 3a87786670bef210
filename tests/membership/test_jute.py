"""The codec of the coordinator's protocol: against arbitrary bytes, and against a real client's own."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kazoo.protocol import serialization as real

from whinrouter.membership.zookeeper.jute import MOST_FRAME, Frames, JuteError, Reader, Writer, frame
from whinrouter.membership.zookeeper.records import Connect, Connected, Event, Reply, Stat

LONG = st.integers(-(2**63), 2**63 - 1)
INT = st.integers(-(2**31), 2**31 - 1)
TEXT = st.text(st.characters(codec="utf-8"), max_size=20)
STAT = st.builds(Stat, LONG, LONG, LONG, LONG, INT, INT, INT, LONG, INT, INT, LONG)

READERS: list[Callable[[Reader], object]] = [
    Reader.i32,
    Reader.i64,
    Reader.flag,
    Reader.buffer,
    Reader.text,
    Reader.texts,
    Stat.read,
    Reply.read,
    Event.read,
]


@given(st.binary(max_size=200), st.lists(st.sampled_from(READERS), max_size=8))
def test_whatever_comes_nothing_but_the_one_error_is_raised(
    data: bytes, readers: list[Callable[..., object]]
) -> None:
    reader = Reader(data)
    try:
        for read in readers:
            read(reader)
    except JuteError:
        pass
    assert 0 <= reader.left <= len(data)


@given(st.binary(max_size=100))
def test_first_records_of_arbitrary_bytes(data: bytes) -> None:
    for kind in (Connect, Connected):
        with contextlib.suppress(JuteError):
            kind.read(data)


@given(st.lists(st.binary(max_size=50), max_size=6), st.data())
def test_frames_come_whole_however_they_are_cut(records: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(map(frame, records))
    frames, found, at = Frames(), list[bytes](), 0
    while at < len(stream):
        cut = data.draw(st.integers(1, 30))
        found += frames.feed(stream[at : at + cut])
        at += cut
    assert found == records


@pytest.mark.parametrize("length", [-1, -(2**31), MOST_FRAME + 1, 2**30, 2**31 - 1])
def test_a_frame_that_cannot_be_is_refused_when_it_is_announced(length: int) -> None:
    with pytest.raises(JuteError, match="announced"):
        Frames().feed(length.to_bytes(4, "big", signed=True))


def test_half_a_frame_holds_no_more_than_came() -> None:
    frames = Frames()
    assert frames.feed(MOST_FRAME.to_bytes(4, "big") + b"x" * 100) == []
    assert len(frames._held) == 104


@pytest.mark.parametrize("count", [26, 100_001, 2**31 - 1])
def test_a_vector_longer_than_its_record_is_refused_before_it_is_read(count: int) -> None:
    with pytest.raises(JuteError, match="vector"):
        Reader(Writer().i32(count).raw(b"\0" * 100).done()).texts()


def test_a_vector_of_no_length_is_empty() -> None:
    assert Reader(Writer().i32(-1).done()).texts() == []


@given(STAT)
def test_a_stat_is_read_as_the_real_client_reads_it(stat: Stat) -> None:
    writer = Writer()
    stat.write(writer)
    data = writer.done()
    assert Stat.read(Reader(data)) == stat
    assert tuple(real.ZnodeStat._make(real.stat_struct.unpack_from(data, 0))) == tuple(stat)


@given(LONG, st.integers(0, 2**31 - 1), LONG, st.binary(max_size=16), st.booleans())
def test_the_first_record_is_the_real_client_s(
    zxid: int, timeout: int, session: int, password: bytes, ro: bool
) -> None:
    ours = Connect(zxid, timeout, session, password, ro)
    theirs = real.Connect(0, zxid, timeout, session, password, ro)
    assert ours.write() == bytes(theirs.serialize())
    assert Connect.read(ours.write()) == ours


@given(st.integers(0, 2**31 - 1), LONG, st.binary(max_size=16), st.booleans())
def test_the_first_answer_is_read_by_the_real_client(
    timeout: int, session: int, password: bytes, ro: bool
) -> None:
    ours = Connected(timeout, session, password, ro)
    theirs, _ = real.Connect.deserialize(ours.write(), 0)
    assert (theirs.time_out, theirs.session_id, theirs.passwd or b"", theirs.read_only) == tuple(ours)
    assert Connected.read(ours.write()) == ours


@given(INT, LONG, INT)
def test_the_head_of_an_answer_is_read_by_the_real_client(xid: int, zxid: int, code: int) -> None:
    theirs, _ = real.ReplyHeader.deserialize(Reply(xid, zxid, code).write().done(), 0)
    assert (theirs.xid, theirs.zxid, theirs.err) == (xid, zxid, code)


@given(st.sampled_from([1, 2, 3, 4]), TEXT)
def test_an_event_is_read_by_the_real_client(kind: int, path: str) -> None:
    data = Event(kind, path).write()
    head, at = real.ReplyHeader.deserialize(data, 0)
    theirs, _ = real.Watch.deserialize(data, at)
    assert head.xid == -1
    assert (theirs.type, theirs.path) == (kind, path)
    reader = Reader(data)
    assert Reply.read(reader).xid == -1
    assert Event.read(reader) == Event(kind, path)
