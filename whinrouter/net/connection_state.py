"""What a client's connection is in the middle of, as far as another process has to go on with it. No I/O.

    IDLE --first byte--> RECEIVING --whole--> WAITING --answer--> IDLE
    RECEIVING --head of a body that is passed on--> UPLOADING --last byte--> WAITING
    WAITING --head of an answer that is passed on--> ANSWERING --its end--> IDLE
    any --the connection is to close, its last bytes have not gone out--> FLUSHING --> ENDING

What goes to the next process: of IDLE and RECEIVING the client's socket, and what was read and not used; of
UPLOADING and ANSWERING both sockets, the framing that is left, and what was read and not written on. A
WAITING one stays, as its request has its answer within its own time, before the process may be killed.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """How far a connection and its request are."""

    IDLE = "idle"
    RECEIVING = "receiving"
    UPLOADING = "uploading"
    WAITING = "waiting"
    ANSWERING = "answering"
    FLUSHING = "flushing"
    ENDING = "ending"
