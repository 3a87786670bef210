"""The hosts' file, and the listener that opens and closes with the application."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import async_test
from whinrouter.net.connect import Listener
from whinrouter.net.hostfile import HostFile
from whinrouter.net.hosts import HostList
from whinrouter.operator.checks import RESERVED_SOCKETS
from whinrouter.program import RESERVED_DESCRIPTORS
from whinrouter.sidecar import _parse_host


def test_malformed_missing_or_unchanged_file_brings_no_list(tmp_path: Path) -> None:
    lists: list[HostList] = []
    path = tmp_path / "hosts"
    hosts = HostFile(str(path), _parse_host, lists.append)
    path.write_text("# the fleet\n127.0.0.1:7001\n")
    hosts._poll_once()
    for text in ("", "# nobody\n", "127.0.0.1\n", "unix:/run/x.sock\n", "127.0.0.1:7001 7002\n"):
        path.write_text(text)
        hosts.move(str(path))
        with pytest.raises(ValueError, match=r"names no host|is no address|is no host"):
            hosts._poll_once()
    path.unlink()
    with pytest.raises(FileNotFoundError):
        hosts._poll_once()
    path.write_text("127.0.0.1:7001 # the same\n")
    hosts.move(str(path))
    hosts._poll_once()
    assert len(lists) == 1
    path.write_text("127.0.0.1:7002\n")
    hosts.move(str(path))
    hosts._poll_once()
    assert [member.address for member in lists[-1].members] == [("127.0.0.1", 7002)]


@async_test
async def test_listener_closed_while_opening_does_not_listen() -> None:
    """An application that exits right after it was found must not leave its sidecar listening."""
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


def test_check_and_program_reserve_the_same_descriptors() -> None:
    assert RESERVED_SOCKETS == RESERVED_DESCRIPTORS
