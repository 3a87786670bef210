"""An answer that the front passes on, as `passing.py` hands it over."""

from __future__ import annotations

from collections.abc import Callable

from whinrouter.handover.passing import PassedAnswer
from whinrouter.net.frontend import ClientConnection
from whinrouter.streaming.flow import Flow
from whinrouter.streaming.remainder import MovableSource


class AnswerUnderWay:
    """One client's answer; `now` in seconds of the loop's clock."""

    def __init__(self, client: ClientConnection, now: Callable[[], float]) -> None:
        self._client, self._now = client, now
        self._flow: Flow | None = client.passed_on

    def pause(self) -> PassedAnswer | None:
        flow = self._flow
        if flow is None or flow.came or self._client.sends_body:
            return None
        source = flow.source
        remainder = source.remainder() if isinstance(source, MovableSource) else None
        if remainder is None:
            return None
        flow.pause(self._now())
        return PassedAnswer(remainder, flow.length, self._client.chunked)

    def is_quiet(self) -> bool:
        return self._flow is not None and self._flow.is_empty and self._client.owed == 0

    @property
    def is_over(self) -> bool:
        return self._flow is None or self._client.passed_on is not self._flow

    def descriptors(self) -> tuple[int, int]:
        assert self._flow is not None
        source = self._flow.source
        assert isinstance(source, MovableSource)
        return self._client.descriptor, source.descriptor

    def resume(self) -> None:
        if self._flow is not None:
            self._flow.resume(self._now())

    def let_go(self) -> None:
        flow, self._flow = self._flow, None
        if flow is None:
            return
        source = flow.source
        flow.release()
        self._client.let_go()
        if isinstance(source, MovableSource):
            source.let_go()
