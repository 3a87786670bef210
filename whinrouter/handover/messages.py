"""What two processes of one gateway tell each other, as bytes. No I/O.

A frame is `CLH2` (four bytes, the last the version), the payload's length (4 bytes), its CRC-32 (4 bytes),
both big-endian, and the payload: one message in MessagePack, an array that begins with its tag. All times
in it are spans, as the clocks of two processes need not agree. Whatever is not so, is of another version, or
holds a value of another kind than its field says, is a `TornError`: whoever reads it starts from nothing
rather than from a guess.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from whinrouter.learned_state import LearnedState
from whinrouter.membership.start_times import StartAge

MAGIC = b"CLH2"
# Bytes of a payload. A host takes some 200 with what was learnt of it: this is for ten times the largest
# fleet.
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
_HEADER = struct.Struct(">4sII")


class ProtocolError(Exception):
    """What came is no message of this version."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A process that starts asks for what the one before it knows.

    `socket` is what the two share and no other installation can have: the number (inode) of the listening
    socket, which belongs to this one for as long as anybody holds it. A name and an address may have been
    another's.
    """

    name: str
    listen: str
    socket_inode: int


class HostEntry(msgspec.Struct, frozen=True, array_like=True):
    """A host, and where it listens."""

    server_id: int
    host: str
    port: int
    state: str
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: int  # Unix time, as it is listed


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """All that the older process knows, as it is asked."""

    discovery_source: str  # whose revision it is
    revision: int
    hosts: tuple[HostEntry, ...]  # as discovery lists them
    out_ages: dict[int, int]  # how long ago hosts were taken out, in microseconds
    back_ages: dict[int, int]  # and put back
    start_ages: dict[int, StartAge]  # of the hosts, with the ages that they have here
    is_leaving: bool
    learned: LearnedState


class Ready(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The newer process serves: clients are its own from now on."""


class Holding(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The descriptors that the older process still has."""

    descriptors: int


class Called(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An operator has called this at the other process."""

    name: str
    argument: str


class Stopped(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Hosts that drain or are gone, as the other process was told."""

    revision: int
    hosts: tuple[HostEntry, ...]


Message = Hello | Snapshot | Ready | Holding | Called | Stopped

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_frame(message: Message) -> bytes:
    """The bytes of a message."""
    payload = msgspec.msgpack.encode(message)
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


class FrameDecoder:
    """Takes bytes in any pieces and gives out the messages that are whole."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Message]:
        """Take what came; TornError if it can't be read, after which nothing may follow."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= _HEADER.size:
            magic, length, checksum = _HEADER.unpack_from(self._buffer)
            if magic != MAGIC or length > MAX_PAYLOAD_BYTES:
                raise ProtocolError("no frame of this version")
            if len(self._buffer) < _HEADER.size + length:
                break
            payload = self._buffer[_HEADER.size : _HEADER.size + length]
            self._buffer = self._buffer[_HEADER.size + length :]
            if zlib.crc32(payload) != checksum:
                raise ProtocolError("a frame is not what was sent")
            try:
                messages.append(_decoder.decode(payload))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                raise ProtocolError(str(error)) from None
        return messages
