"""Values with a unit or a form of their own, as they are written in a file."""

from __future__ import annotations

import ipaddress
import re

_DURATION_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)(us|ms|s|m|h)")
_MICROSECONDS_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
_SIZE_PATTERN = re.compile(r"(\d{1,12})(B|KiB|MiB|GiB)")
_BYTES_PER_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
MAX_DURATION_US = 24 * _MICROSECONDS_PER_UNIT["h"]  # nothing that a gateway waits for takes longer
MAX_SIZE_BYTES = 1024 * _BYTES_PER_UNIT["GiB"]
MAX_SOCKET_PATH_BYTES = 107  # bytes of a Unix socket's path (sockaddr_un, less its end)


class Duration(int):
    """Microseconds; written with its unit: "400ms", "1.5s"."""

    @classmethod
    def parse(cls, text: object) -> Duration:
        match = _DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError('a duration is text with a unit, as "400ms" or "1.5s" (us, ms, s, m, h)')
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
    """Bytes; written with its unit: "64MiB"."""

    @classmethod
    def parse(cls, text: object) -> Size:
        match = _SIZE_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError('a size is text with a unit, as "64MiB" (B, KiB, MiB, GiB)')
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
    """Where something listens: an IP address and a port, or a Unix socket's path.

    No dataclass: the decoder would take that for a table.
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
        if not isinstance(text, str):
            raise ValueError('an address is text, as "127.0.0.1:9000", "[::1]:9000" or "unix:/run/app.sock"')
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
                f"{host!r} is no IP address: names are not looked up here, write the address"
            ) from None
        if is_bracketed != (ip.version == 6):
            raise ValueError(f"{text!r} is no address: an IPv6 address, and only that, stands in brackets")
        return cls(str(ip), int(port))

    @property
    def ip(self) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
        """The address without an IPv4 address's IPv6 form (RFC 4291, 2.5.5.2)."""
        ip = ipaddress.ip_address(self.host)
        return getattr(ip, "ipv4_mapped", None) or ip

    @property
    def is_loopback(self) -> bool:
        return bool(self.path) or self.ip.is_loopback

    def __str__(self) -> str:
        if self.path:
            return f"unix:{self.path}"
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def _check_socket_path(path: str) -> str:
    if not path.startswith("/"):
        raise ValueError("a Unix socket is named by its whole path, as unix:/run/app.sock")
    if "\0" in path or len(path.encode()) > MAX_SOCKET_PATH_BYTES:
        raise ValueError(f"a Unix socket's path has {MAX_SOCKET_PATH_BYTES} bytes at most and no NUL")
    return path


def overlap(first: Address, second: Address) -> bool:
    """Whether both cannot be listened on at once. Of paths, symbolic links have been followed."""
    if first.path or second.path:
        return first.path == second.path
    if first.port != second.port:
        return False
    if first.ip.is_unspecified or second.ip.is_unspecified:
        # [::] takes IPv4's addresses too (bindv6only is off on Linux); 0.0.0.0 takes those of IPv4 alone.
        wildcards = [address.ip for address in (first, second) if address.ip.is_unspecified]
        return any(ip.version == 6 for ip in wildcards) or first.ip.version == second.ip.version
    return first.ip == second.ip
