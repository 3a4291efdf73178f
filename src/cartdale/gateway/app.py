"""Serve callers' requests over HTTP.

A plain ASGI application, since a framework would cost more for each event
than passing it on does.
"""

from cartdale.asgi import AsgiEvent, Receive, Send, takes_request
from cartdale.gateway.exchange import Exchange
from cartdale.gateway.ports import GatewayPorts


class GatewayApp:
    """Answer callers' requests as an ASGI application."""

    def __init__(self, ports: GatewayPorts) -> None:
        self._ports = ports

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Answer one ASGI connection."""
        if await takes_request(scope, receive, send):
            await Exchange(self._ports, scope, receive, send).answer()
