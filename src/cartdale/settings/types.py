"""What one process is told at start."""

from dataclasses import dataclass, field
from enum import StrEnum
from zlib import crc32


class LogForm(StrEnum):
    """Choose between lines for people and lines for programs."""

    TEXT = 'text'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class Tls:
    """Name the files of one listener's or client's TLS.

    :param authority: certificates that the other side must be signed by;
        on a listener this makes the client show one too.
    """

    certificate: str
    key: str
    authority: str = ''


@dataclass(frozen=True, slots=True)
class Listener:
    """Bind one interface to an IP number and port."""

    address: str
    port: int
    tls: Tls | None = None


@dataclass(frozen=True, slots=True)
class Logging:
    """Choose the form and the least level of logs."""

    form: LogForm = LogForm.TEXT
    level: str = 'INFO'


@dataclass(frozen=True, slots=True)
class Settings:
    """Configure one entry instance.

    :param name: unique among instances.
    :param failure_domain: where this instance runs.
    :param store: base URL of the key-value service.
    :param instances: URL of the platform's instance list.
    :param cluster_key_files: files with the keys shared by all instances,
        newest first; read again on SIGHUP.
    :param operator_key_files: files with the accepted operators' keys.
    """

    name: str
    failure_domain: str
    region: str
    callers: Listener
    peers: Listener
    operators: Listener
    store: str
    instances: str
    cluster_key_files: tuple[str, ...]
    operator_key_files: tuple[str, ...]
    logging: Logging = field(default_factory=Logging)

    @property
    def seed(self) -> int:
        """Return the seed that makes this instance's choices repeatable."""
        return crc32(self.name.encode())
