"""The listening socket that the processes of a gateway share across upgrades."""

from __future__ import annotations

import socket


def listening_socket() -> socket.socket:
    """Return a socket on loopback whose backlog holds the connections of the "crowd" disruption."""
    return socket.create_server(("127.0.0.1", 0), backlog=512)
