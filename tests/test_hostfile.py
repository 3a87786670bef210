"""A watched host file, and the listener that opens and closes with an application."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import scenario
from whinrouter.net.connect import Listener
from whinrouter.net.hostfile import HostFile
from whinrouter.net.hosts import HostList
from whinrouter.operator.checks import RESERVED_SOCKETS
from whinrouter.program import RESERVED
from whinrouter.sidecar import _read


def test_what_is_no_good_or_the_same_tells_nothing(tmp_path: Path) -> None:
    told: list[HostList] = []
    path = tmp_path / "hosts"
    hosts = HostFile(str(path), _read, told.append)
    path.write_text("# the fleet\n127.0.0.1:7001\n")
    hosts._look_once()
    for text in ("", "# nobody\n", "127.0.0.1\n", "unix:/run/x.sock\n", "127.0.0.1:7001 7002\n"):
        path.write_text(text)
        hosts.move(str(path))
        with pytest.raises(ValueError, match=r"names no host|is no address|is no host"):
            hosts._look_once()
    path.unlink()
    with pytest.raises(FileNotFoundError):
        hosts._look_once()
    path.write_text("127.0.0.1:7001 # the same\n")
    hosts.move(str(path))
    hosts._look_once()
    assert len(told) == 1
    path.write_text("127.0.0.1:7002\n")
    hosts.move(str(path))
    hosts._look_once()
    assert [member.address for member in told[-1].members] == [("127.0.0.1", 7002)]


@scenario
async def test_a_listener_that_is_closed_as_it_opens_does_not_listen() -> None:
    """An application that dies as soon as it was seen must not leave its sidecar listening."""
    listener = Listener(asyncio.Protocol)
    listener.bind("127.0.0.1", 0)
    assert listener._socket is not None
    port = listener._socket.getsockname()[1]
    opening = asyncio.create_task(listener.serve())
    await asyncio.sleep(0)
    listener.close()
    await opening
    await asyncio.sleep(0)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", port)


def test_the_check_counts_the_descriptors_that_the_program_keeps() -> None:
    assert RESERVED_SOCKETS == RESERVED
