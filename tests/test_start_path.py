"""What an entry instance on the platform loads before it can serve.

Every start costs callers the time that it takes: after a fault of the whole
system nobody listens meanwhile.
"""

import subprocess
import sys

#: Third-party packages and slices that only the product's own interface or
#: the tools need.
_NOT_NEEDED = (
    'httpx',
    'quart',
    'cleo',
    'cattrs',
    'pygal',
    'tree_sitter',
    'cartdale.callers',
    'cartdale.configuration',
    'cartdale.declarations',
    'cartdale.engines',
    'cartdale.ledger',
    'cartdale.limits',
    'cartdale.membership',
    'cartdale.model',
    'cartdale.operators',
    'cartdale.placement',
    'cartdale.plans',
    'cartdale.routing',
    'cartdale.streams',
)


def _list_loaded(statement: str) -> set[str]:
    """Return the modules that a fresh interpreter has after a statement."""
    listed = subprocess.run(
        (sys.executable, '-c', f'import sys\n{statement}\nprint(*sys.modules)'),
        capture_output=True,
        check=True,
        text=True,
    )
    return set(listed.stdout.split())


def test_nothing_is_loaded_that_the_platform_does_not_need() -> None:
    loaded = _list_loaded('import cartdale.platform.main')
    assert 'cartdale.daemon.gateway' in loaded
    # What the interpreter itself was set up to load is not ours.
    loaded -= _list_loaded('pass')
    assert not loaded.intersection(_NOT_NEEDED)
