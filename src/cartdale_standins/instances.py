"""Instance-list stand-in: shows instances with a lag."""

import trio
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.clock import Millis, SystemClock
from cartdale.codec import decode_json, encode_json
from cartdale.membership.driver import InstanceList

_LAG: Millis = 1000


class InstancesStandIn:
    """Serve a list that others edit; readers see it late.

    :param lag: age of what readers see, in milliseconds.
    """

    def __init__(self, lag: Millis = _LAG) -> None:
        self._clock = SystemClock()
        self._lag = lag
        self._edits: list[tuple[Millis, InstanceList]] = []

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('instances')
        app.add_url_rule('/instances', 'show', self._show)
        app.add_url_rule(
            '/standin/instances', 'edit', self._edit, methods=['POST']
        )
        return app

    def edit(self, instances: InstanceList) -> None:
        """Replace the list; readers notice after the lag."""
        self._edits.append((self._clock.now(), instances))

    async def _show(self) -> Response:
        await trio.lowlevel.checkpoint()
        visible = InstanceList(())
        for edited_at, instances in self._edits:
            if self._clock.now() - edited_at >= self._lag:
                visible = instances
        return Response(encode_json(visible), content_type='application/json')

    async def _edit(self) -> Response:
        self.edit(decode_json(await request.get_data(), InstanceList))
        return Response(b'{}', content_type='application/json')
