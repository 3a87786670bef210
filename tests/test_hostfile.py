"""The hosts' file, and the listener that opens and closes with the application."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import async_test
from whinrouter.interface import UNKNOWN_CELL
from whinrouter.net.connect import Listener
from whinrouter.net.hostfile import HostFile
from whinrouter.net.hosts import HostList
from whinrouter.operator.checks import RESERVED_SOCKETS
from whinrouter.program import RESERVED_DESCRIPTORS
from whinrouter.sidecar import _parse_host_file


def test_malformed_missing_or_unchanged_file_brings_no_list(tmp_path: Path) -> None:
    lists: list[HostList] = []
    path = tmp_path / "hosts"
    hosts = HostFile(str(path), _parse_host_file, lists.append)
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


def test_a_host_file_gives_the_zone_and_cell_of_its_hosts(tmp_path: Path) -> None:
    lists: list[HostList] = []
    path = tmp_path / "hosts"
    hosts = HostFile(str(path), _parse_host_file, lists.append)
    text = "127.0.0.1:7003\n127.0.0.1:7002 cell=0 # x\n127.0.0.1:7001 zone=a cell=3\n127.0.0.1:7004 zone=b"
    path.write_text(text)
    hosts._poll_once()
    groups = [(member.server.zone, member.server.cell) for member in lists[-1].members]
    assert groups == [("a", 3), ("", 0), ("", UNKNOWN_CELL), ("b", UNKNOWN_CELL)]
    path.write_text(text.replace("cell=3", "cell=4"))
    hosts.move(str(path))
    hosts._poll_once()
    assert lists[-1].members[0].server.cell == 4
    assert len(lists) == 2


MALFORMED_ATTRIBUTES = (
    *("cell=", "cell=-1", "cell=x", "cell=3000000000", "cell=\u0663", "cell=1 cell=1"),
    *("zone=", "zone=a zone=a", "zone=" + 200 * "a"),
    *("hall=a", "a", "\n127.0.0.1:7001 cell=2"),
)


@pytest.mark.parametrize("attributes", MALFORMED_ATTRIBUTES)
def test_a_host_with_attributes_of_another_form_is_refused(attributes: str) -> None:
    with pytest.raises(ValueError, match="is no host"):
        _parse_host_file(f"127.0.0.1:7001 {attributes}")


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
