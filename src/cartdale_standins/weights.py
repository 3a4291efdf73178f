"""Weight-store stand-in: serves weights at a limited rate."""

from http import HTTPStatus

from quart import Response
from quart_trio import QuartTrio

from cartdale.clock import SystemClock
from cartdale_standins.state import RateMeter

LOADS_PER_SECOND = 2


class WeightsStandIn:
    """Answer a load of a model's version, or refuse above the rate."""

    def __init__(self) -> None:
        self.meter = RateMeter(SystemClock(), LOADS_PER_SECOND)

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('weights')
        app.add_url_rule('/weights/<model>/<version>', 'load', self._load)
        return app

    async def _load(self, model: str, version: str) -> Response:
        if not self.meter.admit(model):
            return Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        return Response(f'{model} {version}', content_type='text/plain')
