"""States of a client connection, as a handover to another process needs them. No I/O.

    IDLE --first byte--> RECEIVING --request complete--> WAITING --answer--> IDLE
    RECEIVING --head of a request whose body is streamed--> UPLOADING --last byte--> WAITING
    WAITING --head of an answer whose body is streamed--> ANSWERING --end of the answer--> IDLE
    any --the connection is to close, with output unsent--> FLUSHING --> ENDING

A handover passes on, for IDLE and RECEIVING, the client's socket and the input that was read and not used;
for UPLOADING and ANSWERING, both sockets, the remainder's framing, and the bytes that were read and not yet
written. A WAITING connection stays with its process: its request is answered within its deadline, which ends
before the process may be killed.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """The state of a client connection and its current request."""

    IDLE = "idle"
    RECEIVING = "receiving"
    UPLOADING = "uploading"
    WAITING = "waiting"
    ANSWERING = "answering"
    FLUSHING = "flushing"
    ENDING = "ending"
