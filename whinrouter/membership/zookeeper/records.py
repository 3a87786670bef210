"""The protocol's numbers and records (zookeeper.jute, ZooDefs.OpCode and KeeperException.Code of 3.9)."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from whinrouter.membership.zookeeper.jute import Reader, Writer

WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8


class OpCode(IntEnum):
    """What a request asks for."""

    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_ACL = 6
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    AUTH = 100
    SET_WATCHES = 101
    SET_WATCHES2 = 105
    ADD_WATCH = 106
    CLOSE = -11


class ErrorCode(IntEnum):
    """How a request ended."""

    OK = 0
    RUNTIME_INCONSISTENCY = -2
    MARSHALLING = -5
    UNIMPLEMENTED = -6
    BAD_ARGUMENTS = -8
    NO_NODE = -101
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    NOT_READ_ONLY = -119


class EventType(IntEnum):
    """What a watch tells."""

    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4


class CreateMode(IntEnum):
    """How a node is made; these add up."""

    PERSISTENT = 0
    EPHEMERAL = 1
    SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3


CONNECTED = 3  # the state of a watch's event: the session lives


class Stat(NamedTuple):
    """What a node's history comes to."""

    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    owner: int = 0  # the session of an ephemeral node; 0: none
    length: int = 0
    children: int = 0
    pzxid: int = 0

    def write(self, writer: Writer) -> None:
        for place, value in enumerate(self):
            (writer.i64 if place in _LONGS else writer.i32)(value)

    @classmethod
    def read(cls, reader: Reader) -> Stat:
        return cls(*(reader.i64() if place in _LONGS else reader.i32() for place in range(len(cls._fields))))


_LONGS = frozenset((0, 1, 2, 3, 7, 10))


class ConnectRequest(NamedTuple):
    """A client's first record."""

    zxid: int  # the newest that it has seen
    timeout: int  # milliseconds
    session: int  # 0: a new one
    password: bytes
    read_only: bool = False  # a coordinator without its leader will do

    def write(self) -> bytes:
        record = Writer().i32(0).i64(self.zxid).i32(self.timeout).i64(self.session).buffer(self.password)
        return record.boolean(self.read_only).to_bytes()

    @classmethod
    def read(cls, data: bytes) -> ConnectRequest:
        reader = Reader(data)
        reader.i32()
        values = reader.i64(), reader.i32(), reader.i64(), reader.buffer() or b""
        return cls(*values, reader.boolean() if reader.remaining else False)  # clients before 3.4 do not say


class ConnectResponse(NamedTuple):
    """A coordinator's first record; a time-out of 0 says that the session is gone."""

    timeout: int
    session: int
    password: bytes
    read_only: bool = False

    def write(self) -> bytes:
        record = Writer().i32(0).i32(self.timeout).i64(self.session).buffer(self.password)
        return record.boolean(self.read_only).to_bytes()

    @classmethod
    def read(cls, data: bytes) -> ConnectResponse:
        reader = Reader(data)
        reader.i32()
        values = reader.i32(), reader.i64(), reader.buffer() or b""
        return cls(*values, reader.boolean() if reader.remaining else False)


class ReplyHeader(NamedTuple):
    """The head of all that a coordinator sends after its first record."""

    xid: int
    zxid: int
    code: int

    def write(self) -> Writer:
        return Writer().i32(self.xid).i64(self.zxid).i32(self.code)

    @classmethod
    def read(cls, reader: Reader) -> ReplyHeader:
        return cls(reader.i32(), reader.i64(), reader.i32())


class WatcherEvent(NamedTuple):
    """A watch that fired."""

    kind: int
    path: str

    def write(self) -> bytes:
        return (
            ReplyHeader(WATCH_XID, -1, 0).write().i32(self.kind).i32(CONNECTED).string(self.path).to_bytes()
        )

    @classmethod
    def read(cls, reader: Reader) -> WatcherEvent:
        kind, _ = reader.i32(), reader.i32()
        return cls(kind, reader.string())
