"""Types of values that are written with a unit or in a syntax of their own: durations, sizes, addresses."""

from __future__ import annotations

import ipaddress
import re

_DURATION_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)(us|ms|s|m|h)")
_MICROSECONDS_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
_SIZE_PATTERN = re.compile(r"(\d{1,12})(B|KiB|MiB|GiB)")
_BYTES_PER_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
MAX_DURATION_US = 24 * _MICROSECONDS_PER_UNIT["h"]  # no timeout of a gateway is longer
MAX_SIZE_BYTES = 1024 * _BYTES_PER_UNIT["GiB"]
MAX_SOCKET_PATH_BYTES = 107  # sockaddr_un has 108, one of them for the closing NUL


class Duration(int):
    """A time in microseconds; written with its unit, such as "400ms" or "1.5s"."""

    @classmethod
    def parse(cls, text: object) -> Duration:
        """Read a duration as it is written in a file; ValueError if it has another form or exceeds 24h."""
        match = _DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError('a duration is text with a unit, such as "400ms" or "1.5s" (us, ms, s, m, h)')
        value = round(float(match[1]) * _MICROSECONDS_PER_UNIT[match[2]])
        if value > MAX_DURATION_US:
            raise ValueError("a duration is 24h at most")
        return cls(value)

    def __str__(self) -> str:
        for unit in ("h", "m", "s", "ms"):
            if self and self % _MICROSECONDS_PER_UNIT[unit] == 0:
                return f"{self // _MICROSECONDS_PER_UNIT[unit]}{unit}"
        return f"{int(self)}us"


class Size(int):
    """A size in bytes; written with its unit, such as "64MiB"."""

    @classmethod
    def parse(cls, text: object) -> Size:
        """Read a size as it is written in a file; ValueError if it has another form or exceeds 1024GiB."""
        match = _SIZE_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError('a size is text with a unit, such as "64MiB" (B, KiB, MiB, GiB)')
        value = int(match[1]) * _BYTES_PER_UNIT[match[2]]
        if value > MAX_SIZE_BYTES:
            raise ValueError("a size is 1024GiB at most")
        return cls(value)

    def __str__(self) -> str:
        for unit in ("GiB", "MiB", "KiB"):
            if self and self % _BYTES_PER_UNIT[unit] == 0:
                return f"{self // _BYTES_PER_UNIT[unit]}{unit}"
        return f"{int(self)}B"


class Address:
    """An address to listen on or connect to: an IP address and a port, or the path of a Unix socket.

    It is not a dataclass, because msgspec would decode one from a table.
    """

    __slots__ = ("host", "path", "port")

    def __init__(self, host: str = "", port: int = 0, path: str = "") -> None:
        self.host = host
        self.port = port
        self.path = path

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and str(self) == str(other)

    def __hash__(self) -> int:
        return hash(str(self))

    @classmethod
    def parse(cls, text: object) -> Address:
        """Read "host:port", "[IPv6]:port" or "unix:PATH"; ValueError if `text` has none of these forms.

        Host names are rejected: nothing here resolves names.
        """
        if not isinstance(text, str):
            raise ValueError(
                'an address is text, such as "127.0.0.1:9000", "[::1]:9000" or "unix:/run/app.sock"'
            )
        if text.startswith("unix:"):
            return cls(path=_check_socket_path(text[5:]))
        host, colon, port = text.rpartition(":")
        if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} is no address: write host:port with a port from 1 to 65535")
        is_bracketed = host.startswith("[") and host.endswith("]")
        try:
            ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
        except ValueError:
            raise ValueError(
                f"{host!r} is not an IP address: names are not resolved, write the address"
            ) from None
        if is_bracketed != (ip.version == 6):
            raise ValueError(f"{text!r} is no address: IPv6 addresses, and no others, are put in brackets")
        return cls(str(ip), int(port))

    @property
    def ip(self) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
        """The IP address; an IPv4-mapped IPv6 address (RFC 4291, 2.5.5.2) as its IPv4 address."""
        ip = ipaddress.ip_address(self.host)
        return getattr(ip, "ipv4_mapped", None) or ip

    @property
    def is_loopback(self) -> bool:
        """Whether only processes of this machine can connect: a Unix socket or a loopback address."""
        return bool(self.path) or self.ip.is_loopback

    def __str__(self) -> str:
        if self.path:
            return f"unix:{self.path}"
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def _check_socket_path(path: str) -> str:
    if not path.startswith("/"):
        raise ValueError("the path of a Unix socket has to be absolute, such as unix:/run/app.sock")
    if "\0" in path or len(path.encode()) > MAX_SOCKET_PATH_BYTES:
        raise ValueError(f"the path of a Unix socket has {MAX_SOCKET_PATH_BYTES} bytes at most and no NUL")
    return path


def overlap(first: Address, second: Address) -> bool:
    """Return whether two sockets could not listen on these addresses at once.

    Paths are compared as they are: the caller resolves symbolic links.
    """
    if first.path or second.path:
        return first.path == second.path
    if first.port != second.port:
        return False
    if first.ip.is_unspecified or second.ip.is_unspecified:
        # [::] includes IPv4's addresses (bindv6only is off on Linux); 0.0.0.0 includes only those of IPv4.
        wildcards = [address.ip for address in (first, second) if address.ip.is_unspecified]
        return any(ip.version == 6 for ip in wildcards) or first.ip.version == second.ip.version
    return first.ip == second.ip
