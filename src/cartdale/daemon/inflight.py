"""Wrap the applications of listeners: count requests, and log failures."""

from collections.abc import Awaitable, Callable
from typing import Any

from cartdale.failures import log_failure

AsgiApplication = Callable[[Any, Any, Any], Awaitable[None]]


class InFlight:
    """Pass requests to an application and count those not yet answered.

    A stream counts until its last byte is written. The count is for logs: a
    request that the server has read may not have reached the application yet,
    so that a stop waits for the server's connections.
    """

    def __init__(self, application: Any) -> None:
        self._application: AsgiApplication = application
        self.count = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one ASGI connection."""
        if scope['type'] != 'http':
            await self._application(scope, receive, send)
            return
        self.count += 1
        try:
            await self._application(scope, receive, send)
        finally:
            self.count -= 1


class GuardedApp:
    """Pass requests to an application, and log unexpected errors.

    The server answers 500 and closes the connection, or cuts a response that
    was begun.

    :param interface: its name in the log.
    """

    def __init__(self, interface: str, application: Any) -> None:
        self._interface = interface
        self._application: AsgiApplication = application

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI connection."""
        try:
            await self._application(scope, receive, send)
        except Exception as error:
            log_failure('request failed', error, interface=self._interface)
            raise
