"""The listening socket that a gateway's processes share over upgrades."""

from __future__ import annotations

import socket


def listening_socket() -> socket.socket:
    """On loopback, with room for a crowd."""
    return socket.create_server(("127.0.0.1", 0), backlog=512)
