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

from whinrouter.learned_state import Learnt
from whinrouter.membership.start_times import StartAge

MAGIC = b"CLH2"
# Bytes of a payload. A host takes some 200 with what was learnt of it: this is for ten times the largest
# fleet.
MOST = 4 * 1024 * 1024
_HEAD = struct.Struct(">4sII")


class TornError(Exception):
    """What came is no message of this version."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A process that starts asks for what the one before it knows.

    `socket` is what the two share and no other installation can have: the number (inode) of the listening
    socket, which belongs to this one for as long as anybody holds it. A name and an address may have been
    another's.
    """

    name: str
    listen: str
    socket: int


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A host, and where it listens."""

    server: int
    host: str
    port: int
    state: str
    zone: str
    kind: str
    cell: int
    weight: float
    started: int  # Unix time, as it is listed


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """All that the older process knows, as it is asked."""

    source: str  # whose revision it is
    revision: int
    hosts: tuple[Row, ...]  # as discovery lists them
    out: dict[int, int]  # how long ago hosts were taken out, in microseconds
    back: dict[int, int]  # and put back
    starts: dict[int, StartAge]  # of the hosts, with the ages that they have here
    leaving: bool
    learnt: Learnt


class Ready(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The newer process serves: clients are its own from now on."""


class Holding(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The descriptors that the older process still has."""

    descriptors: int


class Called(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An operator has called this at the other process."""

    name: str
    word: str


class Stopped(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Hosts that drain or are gone, as the other process was told."""

    revision: int
    hosts: tuple[Row, ...]


Message = Hello | Snapshot | Ready | Holding | Called | Stopped

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def frame(message: Message) -> bytes:
    """The bytes of a message."""
    payload = msgspec.msgpack.encode(message)
    return _HEAD.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


class Frames:
    """Takes bytes in any pieces and gives out the messages that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Message]:
        """Take what came; TornError if it can't be read, after which nothing may follow."""
        self._rest += data
        messages = []
        while len(self._rest) >= _HEAD.size:
            magic, length, told = _HEAD.unpack_from(self._rest)
            if magic != MAGIC or length > MOST:
                raise TornError("no frame of this version")
            if len(self._rest) < _HEAD.size + length:
                break
            payload = self._rest[_HEAD.size : _HEAD.size + length]
            self._rest = self._rest[_HEAD.size + length :]
            if zlib.crc32(payload) != told:
                raise TornError("a frame is not what was sent")
            try:
                messages.append(_decoder.decode(payload))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                raise TornError(str(error)) from None
        return messages
