"""The codec of ZooKeeper's protocol, with arbitrary bytes and against the codec of a real client (kazoo)."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kazoo.protocol import serialization as kazoo_codec

from whinrouter.membership.zookeeper.jute import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    JuteError,
    Reader,
    Writer,
    encode_frame,
)
from whinrouter.membership.zookeeper.records import (
    ConnectRequest,
    ConnectResponse,
    ReplyHeader,
    Stat,
    WatcherEvent,
)

LONG = st.integers(-(2**63), 2**63 - 1)
INT = st.integers(-(2**31), 2**31 - 1)
TEXT = st.text(st.characters(codec="utf-8"), max_size=20)
STAT = st.builds(Stat, LONG, LONG, LONG, LONG, INT, INT, INT, LONG, INT, INT, LONG)

READERS: list[Callable[[Reader], object]] = [
    Reader.i32,
    Reader.i64,
    Reader.boolean,
    Reader.buffer,
    Reader.string,
    Reader.strings,
    Stat.read,
    ReplyHeader.read,
    WatcherEvent.read,
]


@given(st.binary(max_size=200), st.lists(st.sampled_from(READERS), max_size=8))
def test_arbitrary_bytes_raise_only_jute_error(data: bytes, readers: list[Callable[..., object]]) -> None:
    reader = Reader(data)
    try:
        for read in readers:
            read(reader)
    except JuteError:
        pass
    assert 0 <= reader.remaining <= len(data)


@given(st.binary(max_size=100))
def test_connect_records_of_arbitrary_bytes_raise_only_jute_error(data: bytes) -> None:
    for kind in (ConnectRequest, ConnectResponse):
        with contextlib.suppress(JuteError):
            kind.read(data)


@given(st.lists(st.binary(max_size=50), max_size=6), st.data())
def test_frames_split_anywhere_are_decoded(records: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(map(encode_frame, records))
    decoder, frames, position = FrameDecoder(), list[bytes](), 0
    while position < len(stream):
        cut = data.draw(st.integers(1, 30))
        frames += decoder.feed(stream[position : position + cut])
        position += cut
    assert frames == records


@pytest.mark.parametrize("length", [-1, -(2**31), MAX_FRAME_BYTES + 1, 2**30, 2**31 - 1])
def test_invalid_frame_length_is_refused_at_once(length: int) -> None:
    with pytest.raises(JuteError, match="announced"):
        FrameDecoder().feed(length.to_bytes(4, "big", signed=True))


def test_incomplete_frame_buffers_only_received_bytes() -> None:
    decoder = FrameDecoder()
    assert decoder.feed(MAX_FRAME_BYTES.to_bytes(4, "big") + b"x" * 100) == []
    assert len(decoder._buffer) == 104


@pytest.mark.parametrize("count", [26, 100_001, 2**31 - 1])
def test_vector_longer_than_its_record_is_refused_at_once(count: int) -> None:
    with pytest.raises(JuteError, match="vector"):
        Reader(Writer().i32(count).raw(b"\0" * 100).to_bytes()).strings()


def test_vector_of_negative_length_is_empty() -> None:
    assert Reader(Writer().i32(-1).to_bytes()).strings() == []


@given(STAT)
def test_kazoo_decodes_our_stat(stat: Stat) -> None:
    writer = Writer()
    stat.write(writer)
    data = writer.to_bytes()
    assert Stat.read(Reader(data)) == stat
    assert tuple(kazoo_codec.ZnodeStat._make(kazoo_codec.stat_struct.unpack_from(data, 0))) == tuple(stat)


@given(LONG, st.integers(0, 2**31 - 1), LONG, st.binary(max_size=16), st.booleans())
def test_connect_request_is_encoded_as_by_kazoo(
    zxid: int, timeout: int, session: int, password: bytes, read_only: bool
) -> None:
    ours = ConnectRequest(zxid, timeout, session, password, read_only)
    theirs = kazoo_codec.Connect(0, zxid, timeout, session, password, read_only)
    assert ours.write() == bytes(theirs.serialize())
    assert ConnectRequest.read(ours.write()) == ours


@given(st.integers(0, 2**31 - 1), LONG, st.binary(max_size=16), st.booleans())
def test_kazoo_decodes_our_connect_response(
    timeout: int, session: int, password: bytes, read_only: bool
) -> None:
    ours = ConnectResponse(timeout, session, password, read_only)
    theirs, _ = kazoo_codec.Connect.deserialize(ours.write(), 0)
    assert (theirs.time_out, theirs.session_id, theirs.passwd or b"", theirs.read_only) == tuple(ours)
    assert ConnectResponse.read(ours.write()) == ours


@given(INT, LONG, INT)
def test_kazoo_decodes_our_reply_header(xid: int, zxid: int, code: int) -> None:
    theirs, _ = kazoo_codec.ReplyHeader.deserialize(ReplyHeader(xid, zxid, code).write().to_bytes(), 0)
    assert (theirs.xid, theirs.zxid, theirs.err) == (xid, zxid, code)


@given(st.sampled_from([1, 2, 3, 4]), TEXT)
def test_kazoo_decodes_our_watcher_event(kind: int, path: str) -> None:
    data = WatcherEvent(kind, path).write()
    head, at = kazoo_codec.ReplyHeader.deserialize(data, 0)
    theirs, _ = kazoo_codec.Watch.deserialize(data, at)
    assert head.xid == -1
    assert (theirs.type, theirs.path) == (kind, path)
    reader = Reader(data)
    assert ReplyHeader.read(reader).xid == -1
    assert WatcherEvent.read(reader) == WatcherEvent(kind, path)
