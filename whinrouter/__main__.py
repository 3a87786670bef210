"""The gateway as a program: start, signals, reload, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from dataclasses import replace

from whinrouter.balance import Balancer
from whinrouter.interface import SECOND
from whinrouter.net.config import Config, ConfigError, load, reload
from whinrouter.net.discovery import Discovery
from whinrouter.net.door import Door
from whinrouter.net.frontend import Frontend
from whinrouter.net.gateway import Gateway
from whinrouter.net.upstream import Upstream
from whinrouter.ownlimit import OwnLimit

log = logging.getLogger("whinrouter")

RESERVED = 32  # descriptors for all that is no client's and no host's connection, or not counted yet
STILL_ACCEPTING = 0.5  # seconds for which connections go on coming after SIGTERM
LAG_STEP, LAG_SHOWN = 0.1, 0.05
# New objects between two looks of the collector. What a request makes is freed as it ends, and cycles are
# rare: with Python's own 700 it cost up to a tenth of all CPU.
GC_EVERY = 20_000
SELDOM = 1.0  # seconds between two log lines of a kind


async def serve(config: Config, door: Door) -> None:
    half = max(1, (config.sockets - RESERVED) // 2)
    upstream = Upstream(config.connect_time, config.idle_time, half)
    gateway = Gateway(Balancer(config.settings, config.seed), upstream)
    gateway.list_hosts(config.known, stale=True)
    frontend = Frontend(gateway, config.settings, half, door)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    discovery = Discovery(config.discovery, config.known.revision, gateway.list_hosts)
    loop.add_signal_handler(signal.SIGHUP, _Reload(config, discovery))
    try:
        port = await frontend.listen(*config.listen)
    except OSError as error:
        raise ConfigError(
            f"cannot listen on {config.listen[0]}:{config.listen[1]}: {error.strerror}"
        ) from None
    discovery.start()
    lag = loop.create_task(_watch_lag())
    # What exists now stays: the collector need not look at it again, which would hold up the loop.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_EVERY, 20, 50)
    log.info("%s listens on %s:%d", config.name, config.listen[0], port)
    await stop.wait()
    log.info("stopping: %d requests held", gateway.holds)
    frontend.stopping = True
    await asyncio.sleep(STILL_ACCEPTING)
    await frontend.listener.accept_rest()
    frontend.close()
    await _until_answered(frontend, max(kind.deadline for kind in config.settings.classes) / SECOND)
    discovery.stop()
    lag.cancel()


class _Seldom(logging.Filter):
    """Peers can cause some lines at will: of a kind, one in a second is enough."""

    def __init__(self) -> None:
        super().__init__()
        self._said: dict[str, float] = {}  # by the text without its figures: as many as the source holds
        self._left_out: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        kind = str(record.msg)
        if record.created < self._said.get(kind, 0.0) + SELDOM:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return False
        self._said[kind] = record.created
        left_out = self._left_out.pop(kind, 0)
        if left_out:
            record.msg = f"{kind} ({left_out} such lines left out)"
        return True


class _Reload:
    """On SIGHUP: read the file again, and watch the discovery that it names."""

    def __init__(self, config: Config, discovery: Discovery) -> None:
        self._config = config
        self._discovery = discovery

    def __call__(self) -> None:
        try:
            told = reload(os.environ)
        except ConfigError as error:
            log.error("reload: %s; going on with what is in force", error)
            return
        old, self._config = self._config, replace(self._config, discovery=told.discovery)
        if told.discovery != old.discovery:
            log.info("reload: discovery is now at %s:%d", *told.discovery)
            self._discovery.move(told.discovery)
        # These two are new in every file, and of use at a start alone.
        if replace(told, seed=old.seed, known=old.known) != self._config:
            log.warning("reload: only discovery changes; the rest of the file waits for the next start")


async def _until_answered(frontend: Frontend, longest: float) -> None:
    """Each connection closes with its answer; one who doesn't read must not hold up the exit."""
    try:
        async with asyncio.timeout(longest):
            while frontend.connections:
                await asyncio.sleep(0.01)
    except TimeoutError:
        log.warning("%d connections were still open at the exit", len(frontend.connections))


async def _watch_lag() -> None:
    """Say so when the loop runs late: every deadline is then met late."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_STEP
        await asyncio.sleep(LAG_STEP)
        if loop.time() - due > LAG_SHOWN:
            log.warning("the loop runs %d ms late", (loop.time() - due) * 1000)


def main() -> int:
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(_Seldom())
    try:
        config = load(os.environ)
        door = Door(OwnLimit(kind.aim / SECOND for kind in config.settings.classes))
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(door)) as runner:
            runner.run(serve(config, door))
    except ConfigError as error:
        print(f"whinrouter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
