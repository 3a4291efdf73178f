"""The demo of the platform's path: its traffic program fits the product."""

from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import ModuleType

from cartdale.platform.documents import decode_table
from cartdale.platform.settings import Endpoint
from tests.platform_stage import LOCAL, open_platform

_SCRIPT = Path(__file__).parents[1] / 'scripts' / 'demo_platform_traffic.py'


def load_script() -> ModuleType:
    spec = spec_from_file_location('demo_traffic', _SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


async def test_demo_writes_its_configuration() -> None:
    script = load_script()
    async with open_platform(instances=0) as stage:
        stage.store.remove('op/config')
        script.STORE = Endpoint(LOCAL, stage.store_port)
        await script.configure()
        written = stage.store.state.fetch('op/config', 'op/config0', 0).entries
        table = decode_table(written[0].value)
    assert all(
        spec.engine is None or spec.engine.event_tokens > 1
        for spec in table.services_by_name.values()
    )
