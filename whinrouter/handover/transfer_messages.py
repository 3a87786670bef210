"""Messages by which a connection goes over to another process, and their encoding as packets. No I/O.

A message is MessagePack, an array that begins with its tag, behind its length (4 bytes, big-endian). It is
cut into packets of at most `PACKET_BYTES`. The descriptors go with the first packet: the client's and, while
a body moves between the two, the host's.
"""

from __future__ import annotations

import struct

import msgspec

from whinrouter.streaming.remainder import Remainder

# Of one message: enough for all bytes that may be buffered for one connection's client and host, and the
# other fields.
MAX_MESSAGE_BYTES = 512 * 1024
PACKET_BYTES = 32 * 1024
DESCRIPTORS_PER_ANSWER = MAX_DESCRIPTORS = 2  # in one message: the client's and the host's
_LENGTH_PREFIX = struct.Struct(">I")
LENGTH_PREFIX_BYTES = _LENGTH_PREFIX.size


class AnswerTransfer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """An answer in progress: the client's and the host's sockets."""

    remainder: Remainder
    body_length: int | None  # of the whole body, as announced to the client; None: not announced
    chunked: bool  # the client receives it in chunks
    client_output: bytes = b""  # to be written to the client before the rest of the body
    unproven_bytes: int = 0  # that must come before the host may be silent for as long as usual
    silent_seconds_left: float = 0.0  # for which it may be so all the same


class ClientTransfer(msgspec.Struct, frozen=True, array_like=True, tag="client"):
    """A client connection between requests, or in a request of which no host has a part: its socket."""

    unread_input: bytes  # read from the socket and not parsed yet
    client_output: bytes  # to be written to the client before anything else
    closes_connection: bool  # the connection ends after these bytes
    waiting_seconds_left: float | None = None  # of the client's timeout; None: from an earlier version

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed to the client, and nothing has begun."""
        return not (self.unread_input or self.client_output or self.closes_connection)


class UploadTransfer(msgspec.Struct, frozen=True, array_like=True, tag="upload"):
    """A request whose body is being sent to a host that has a part of it: both sockets."""

    remainder: Remainder  # of the body, as the client sends it
    received_bytes: int  # bytes of the body received so far
    body_length: int | None  # of the whole body, as announced by the client; None: chunked
    closes_connection: bool  # the connection ends after the answer
    client_request_id: str
    class_name: str
    client_timeout: int  # microseconds that the client waits after the end of the body
    server_id: int
    client_output: bytes  # to be written to the client before anything else
    host_output: bytes  # to be written to the host before the rest of the body


TransferMessage = AnswerTransfer | ClientTransfer | UploadTransfer
_decoder: msgspec.msgpack.Decoder[TransferMessage] = msgspec.msgpack.Decoder(TransferMessage)


def split_packets(message: TransferMessage) -> list[bytes]:
    """Return a message as packets of at most `PACKET_BYTES`: its length, then its payload."""
    payload = msgspec.msgpack.encode(message)
    framed = _LENGTH_PREFIX.pack(len(payload)) + payload
    return [framed[offset : offset + PACKET_BYTES] for offset in range(0, len(framed), PACKET_BYTES)]


def announced_length(first_packet: bytes) -> int:
    """Return the length of the payload; the packet has at least the whole length prefix."""
    length: int = _LENGTH_PREFIX.unpack_from(first_packet)[0]
    return length


def decode_message(payload: bytes) -> TransferMessage:
    """Return the message of a whole payload; raise `msgspec.DecodeError` if it is none."""
    return _decoder.decode(payload)
