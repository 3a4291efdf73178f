"""Fixtures shared by the features: a stage on a loop of its own."""

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from anyio.from_thread import BlockingPortal, start_blocking_portal
from hypothesis import settings
from pytest_bdd import given, parsers, then

from cartdale_standins.store import StoreFaults
from tests.known_red import pass_over, print_known_red
from tests.stage import Stage, open_stage

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    pass_over(items)


def pytest_terminal_summary(terminalreporter: Any) -> None:
    print_known_red(terminalreporter.write_line)


@dataclass
class World:
    """Hold the stage of a scenario and what its steps found."""

    portal: BlockingPortal
    base: Path
    stage: Stage | None = None
    contexts: list[Any] = field(default_factory=list)
    found: dict[str, Any] = field(default_factory=dict)

    def run(self, function: Any, *arguments: Any) -> Any:
        """Run an async function on the stage's loop."""
        return self.portal.call(function, *arguments)


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    with start_blocking_portal('trio') as portal:
        made = World(portal, tmp_path)
        yield made
        for context in reversed(made.contexts):
            context.__exit__(None, None, None)


@given(parsers.parse('{instances:d} instances and {engines:d} engine'))
def open_world(world: World, instances: int, engines: int) -> None:
    manager = open_stage(world.base, instances, engines)
    context = world.portal.wrap_async_context_manager(manager)
    world.stage = context.__enter__()
    world.contexts.append(context)


@given('the declarations are confirmed')
def confirm_declarations(world: World) -> None:
    world.run(world.stage.settle, world.stage.declare())


@given('the store is down')
def stop_store(world: World) -> None:
    world.stage.store.faults = StoreFaults(down=True)


@given('the store loses the answers of writes')
def lose_answers(world: World) -> None:
    world.stage.store.faults = StoreFaults(lose_answers=True)


@then(parsers.parse('every instance reaches revision {revision:d}'))
def reach_revision(world: World, revision: int) -> None:
    world.run(world.stage.wait_revision, revision)
    for runtime in world.stage.runtimes:
        assert runtime.configurator.state.revision == revision
