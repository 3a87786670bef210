"""The control port of a stand-in: each line received is a command, and gets one line in answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

Command = Callable[[list[str]], str]


async def serve(port: int, command: Command) -> asyncio.Server:
    """Call `command` with the words of each line and send back its result, or `error: ...` on ValueError."""

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            try:
                answer = command(line.decode().split())
            except ValueError as error:
                answer = f"error: {error}"
            writer.write(f"{answer}\n".encode())
        writer.close()

    return await asyncio.start_server(handle_connection, "127.0.0.1", port)


async def send_command(port: int, line: str) -> str:
    """Send one line to a control port on loopback; return the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{line}\n".encode())
        return (await reader.readline()).decode().rstrip("\n")
    finally:
        writer.close()
