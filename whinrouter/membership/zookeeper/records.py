"""The constants and records of ZooKeeper's protocol.

They follow zookeeper.jute, ZooDefs.OpCode and KeeperException.Code of Apache ZooKeeper 3.9. Each record is
encoded by its `write` and decoded by its `read`, which raises JuteError.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from whinrouter.membership.zookeeper.jute import Reader, Writer

# Transaction ids of records that belong to no numbered request.
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8


class OpCode(IntEnum):
    """The operation of a request."""

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
    """The result of a request."""

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
    """The change that a watch reports."""

    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4


class CreateMode(IntEnum):
    """The flags with which a node is created; they are combined by addition."""

    PERSISTENT = 0
    EPHEMERAL = 1
    SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3


CONNECTED = 3  # KeeperState of a watcher event: the session is connected


class Stat(NamedTuple):
    """The metadata of a node; the names are those of zookeeper.jute, shortened."""

    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    owner: int = 0  # ephemeralOwner: the session of an ephemeral node, 0 for others
    length: int = 0  # dataLength
    children: int = 0  # numChildren
    pzxid: int = 0

    def write(self, writer: Writer) -> None:
        for place, value in enumerate(self):
            (writer.i64 if place in _LONGS else writer.i32)(value)

    @classmethod
    def read(cls, reader: Reader) -> Stat:
        return cls(*(reader.i64() if place in _LONGS else reader.i32() for place in range(len(cls._fields))))


_LONGS = frozenset((0, 1, 2, 3, 7, 10))  # the fields of Stat with 64 bits


class ConnectRequest(NamedTuple):
    """The first record that a client sends."""

    zxid: int  # the latest that the client has seen
    timeout: int  # milliseconds
    session: int  # 0: request a new session
    password: bytes
    read_only: bool = False  # accept a server that has lost its leader

    def write(self) -> bytes:
        record = Writer().i32(0).i64(self.zxid).i32(self.timeout).i64(self.session).buffer(self.password)
        return record.boolean(self.read_only).to_bytes()

    @classmethod
    def read(cls, data: bytes) -> ConnectRequest:
        reader = Reader(data)
        reader.i32()
        values = reader.i64(), reader.i32(), reader.i64(), reader.buffer() or b""
        return cls(*values, reader.boolean() if reader.remaining else False)  # not sent before 3.4


class ConnectResponse(NamedTuple):
    """The first record that a server sends; a timeout of 0 means that the session has expired."""

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
    """The header of all records that a server sends after its first one."""

    xid: int
    zxid: int
    code: int

    def write(self) -> Writer:
        return Writer().i32(self.xid).i64(self.zxid).i32(self.code)

    @classmethod
    def read(cls, reader: Reader) -> ReplyHeader:
        return cls(reader.i32(), reader.i64(), reader.i32())


class WatcherEvent(NamedTuple):
    """The event of a watch that fired."""

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
