"""Requests that arrive while the process ends, and whose answers are long.

Guards against this failure: readers sent their requests 1.0 to 2.2 s after SIGTERM, their long answers were
begun, and SIGKILL found them unanswered. A request that arrives later than 0.7 s after the signal needs a
whole answer before the kill, so a long answer to it is not begun.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import (
    Client,
    RunningGateway,
    Script,
    async_test,
    request_text,
    running_gateway,
    scripted_servers,
    wait_until,
)
from tests.test_final_answers import program_under_test
from whinrouter.net.http_messages import MAX_BUFFERED_BODY_BYTES, Message, encode_chunk
from whinrouter.operations.presence import KILL_DELAY_SECONDS

START = b"x" * (2 * MAX_BUFFERED_BODY_BYTES)  # of an answer whose rest does not come before the kill
HEADS = {
    "length": b"Content-Length: %d\r\n\r\n" % (2 * len(START)) + START,
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunk(START),
    "connection end": b"Connection: close\r\n\r\n" + START,
}
LATE_SECONDS = KILL_DELAY_SECONDS + 0.2  # from SIGTERM to the last byte of a late request
SMALL_PART = b"p" * 1000


def _begins(form: str) -> Script:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + HEADS[form])

    return script


@pytest.mark.parametrize("form", list(HEADS))
@pytest.mark.parametrize(("class_name", "status"), [("page-read", 503), ("chapter-buy", 502)])
@async_test
async def test_a_long_answer_to_a_late_request_is_not_begun(
    tmp_path: Path, form: str, class_name: str, status: int
) -> None:
    """Reads are refused, as they may be repeated elsewhere; a purchase fails, as it may have run."""
    async with program_under_test(tmp_path, _begins(form)) as program:
        text = request_text(class_name, body=b"" if class_name == "page-read" else b"coins")
        program.client.writer.write(text[:30])
        await program.stop()
        await asyncio.sleep(LATE_SECONDS)
        program.client.writer.write(text[30:])
        assert (await program.read_answer()).status == status
        assert len(program.host.requests) == 1


@async_test
async def test_a_long_answer_to_an_upload_that_completes_late_is_not_begun(tmp_path: Path) -> None:
    """The upload and its attempt began before the signal, but a request counts from its last byte."""
    async with program_under_test(tmp_path, _begins("length")) as program:
        text = request_text("chapter-buy", body=bytes(4 * MAX_BUFFERED_BODY_BYTES))
        program.client.writer.write(text[:-1])
        await wait_until(lambda: program.host.received_bytes > 3 * MAX_BUFFERED_BODY_BYTES)
        await program.stop()
        await asyncio.sleep(LATE_SECONDS)
        program.client.writer.write(text[-1:])
        assert (await program.read_answer()).status == 502


async def _stop_and_wait(proxy: RunningGateway, is_replaced: bool = False) -> None:
    """Tell the gateway that its process ends, and wait until requests are late."""
    proxy.frontend.stop(is_replaced)
    await asyncio.sleep(LATE_SECONDS)


async def _ask_behind_stop(proxy: RunningGateway, is_replaced: bool = False) -> Client:
    """Return a client whose request, begun before the end, is whole when requests are late."""
    client, text = await proxy.client(), request_text()
    client.writer.write(text[:30])
    await _stop_and_wait(proxy, is_replaced)
    client.writer.write(text[30:])
    return client


@async_test
async def test_a_slow_small_answer_to_a_late_request_is_given_once_it_is_whole() -> None:
    """It is not passed on a second after its first bytes, as its rest might not come before the kill."""
    finish = asyncio.Event()

    async def pauses(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunk(SMALL_PART))
        await finish.wait()
        writer.write(encode_chunk(SMALL_PART) + b"0\r\n\r\n")

    async with scripted_servers(pauses) as (host,), running_gateway(host.member()) as proxy:
        client = await _ask_behind_stop(proxy)
        await wait_until(lambda: proxy.upstream.collecting)
        (connection,) = proxy.upstream.collecting
        assert not connection.stream_collected()
        finish.set()
        answer = await client.read_answer()
        assert (answer.status, answer.body) == (200, 2 * SMALL_PART)


@pytest.mark.parametrize("form", list(HEADS))
@async_test
async def test_a_long_answer_is_begun_where_another_process_takes_it_over(form: str) -> None:
    async with scripted_servers(_begins(form)) as (host,), running_gateway(host.member()) as proxy:
        client = await _ask_behind_stop(proxy, is_replaced=True)
        assert (await client._reader.readline()).startswith(b"HTTP/1.1 200")


@async_test
async def test_a_long_answer_to_a_request_that_came_before_the_signal_is_begun() -> None:
    """Its client is prepared for a kill, and the process may live on for long."""
    begin = asyncio.Event()

    async def begins_late(request: Message, writer: asyncio.StreamWriter) -> None:
        await begin.wait()
        await _begins("length")(request, writer)

    async with scripted_servers(begins_late) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text())
        await wait_until(lambda: host.requests)
        await _stop_and_wait(proxy)
        begin.set()
        assert (await client._reader.readline()).startswith(b"HTTP/1.1 200")
