"""Messages between two processes of one gateway, and their encoding as bytes. No I/O.

A frame is `CLH2` (four bytes, the last one is the version), the payload's length (4 bytes), its CRC-32
(4 bytes), both big-endian, and the payload: one message in MessagePack, an array that begins with its tag.
All times in messages are spans, as the clocks of two processes need not agree. A frame that is malformed, of
another version, or holds a value of another type than its field raises `ProtocolError`: the reader then
starts without the other process's state instead of guessing.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from whinrouter.learned_state import LearnedState
from whinrouter.membership.start_times import StartAge

MAGIC = b"CLH2"
# A host takes about 200 bytes with its learned state: this is enough for ten times the largest fleet.
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
_HEADER = struct.Struct(">4sII")


class ProtocolError(Exception):
    """The received data is not a valid message of this version, or not allowed in this phase."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A starting process asks the running one for its state.

    `socket_inode` is the inode number of the listening socket. Both processes share that socket and no other
    installation can have it while any process holds it open. The name and the address alone may be reused by
    another gateway.
    """

    name: str
    listen: str
    socket_inode: int
    knows_executed: bool = False  # it understands `Executed`, which earlier versions do not


class HostEntry(msgspec.Struct, frozen=True, array_like=True):
    """A host as discovery lists it, with its address."""

    server_id: int
    host: str
    port: int
    state: str
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: int  # Unix time, as discovery lists it


class ClassEntry(msgspec.Struct, frozen=True, array_like=True):
    """A class of requests: what decides how long a request may take, and whether it may be repeated."""

    name: str
    aim: int  # microseconds
    deadline: int  # microseconds
    effect: str
    scope: str
    dedup_window: int  # microseconds


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The whole state of the older process at the time of the request."""

    discovery_source: str  # the service that `revision` belongs to
    revision: int
    hosts: tuple[HostEntry, ...]  # as listed by discovery
    out_ages: dict[int, int]  # microseconds since each host was taken out
    put_back_ages: dict[int, int]  # microseconds since each host was put back
    start_ages: dict[int, StartAge]  # start times of the hosts and their ages at the older process
    is_leaving: bool  # the gateway is being drained
    learned: LearnedState  # of the decision module
    # Digests of the ids of requests that hosts may have executed; None: from a version without `Executed`.
    executed: tuple[int, ...] | None = None
    # Classes that requests in progress may have; empty: from a version that does not send them.
    classes: tuple[ClassEntry, ...] = ()


class Ready(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The newer process serves and accepts clients from now on."""


class Holding(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The number of descriptors that the older process still has open."""

    descriptors: int


class Called(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An operator's call that the other process has carried out."""

    name: str
    argument: str


class Stopped(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Hosts that drain or are gone, as listed at the other process."""

    revision: int
    hosts: tuple[HostEntry, ...]


class Executed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Hosts may have executed a request of this id, or have not after all."""

    digest: int
    is_added: bool


Message = Hello | Snapshot | Ready | Holding | Called | Stopped | Executed

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message."""
    payload = msgspec.msgpack.encode(message)
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


class FrameDecoder:
    """Decodes frames from bytes that are split at any place."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are complete.

        ProtocolError if the bytes are invalid, after which no more may be fed.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= _HEADER.size:
            magic, length, checksum = _HEADER.unpack_from(self._buffer)
            if magic != MAGIC or length > MAX_PAYLOAD_BYTES:
                raise ProtocolError("not a frame of this version, or too large")
            if len(self._buffer) < _HEADER.size + length:
                break
            payload = self._buffer[_HEADER.size : _HEADER.size + length]
            self._buffer = self._buffer[_HEADER.size + length :]
            if zlib.crc32(payload) != checksum:
                raise ProtocolError("checksum mismatch")
            try:
                messages.append(_decoder.decode(payload))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                raise ProtocolError(str(error)) from None
        return messages
