"""Steps of the plans feature."""

from pytest_bdd import given, parsers, scenarios, then, when

from cartdale.configuration.storage import VALUE_LIMIT
from cartdale.operators.types import PATH_CONFIRM, PATH_PLAN, Intent
from tests.conftest import World
from tests.stage import CALLER_KEY, hash_key

scenarios('features/plans.feature')


def make_plan(world: World, index: int = 0, **overrides: object) -> dict:
    bodies = world.stage.declare(**overrides)
    return world.run(world.stage.post, index, PATH_PLAN, Intent(bodies))


def confirm(world: World, plan: dict, index: int = 0) -> dict:
    body = {'plan': plan, 'author': f'operator-{index}'}
    return world.run(world.stage.post, index, PATH_CONFIRM, body)


@when('an operator plans the declarations')
def plan_only(world: World) -> None:
    assert make_plan(world)['changes']


@then('every instance is at revision 0')
def nothing_changed(world: World) -> None:
    for runtime in world.stage.runtimes:
        assert runtime.configurator.state.revision == 0


@when('an operator confirms the declarations')
def confirm_plan(world: World) -> None:
    world.found['plan'] = make_plan(world)
    world.found['answer'] = confirm(world, world.found['plan'])


@when('the same plan is confirmed again through the other instance')
def confirm_again(world: World) -> None:
    world.found['answer'] = confirm(world, world.found['plan'], 1)


@given('two operators plan different queues for the same service')
def plan_twice(world: World) -> None:
    world.found['plans'] = [
        make_plan(world, index, service={'queue': 10 + index})
        for index in range(2)
    ]


@when('both confirm')
def confirm_both(world: World) -> None:
    world.found['answers'] = [
        confirm(world, plan, index)
        for index, plan in enumerate(world.found['plans'])
    ]


@then(parsers.parse('one outcome is "{one}" and the other is "{other}"'))
def check_both(world: World, one: str, other: str) -> None:
    outcomes = [answer['outcome'] for answer in world.found['answers']]
    assert outcomes == [one, other]


@then(parsers.parse('the conflict names "{key}"'))
def check_conflict(world: World, key: str) -> None:
    conflict = world.found['answers'][1]
    assert conflict['overlapping'] == [key]
    assert world.found['plans'][0]['plan_id'] in conflict['detail']


@when('an operator edits a plan and confirms it')
def confirm_edited(world: World) -> None:
    plan = make_plan(world)
    plan['changes'][0]['after'] = '{"region": "elsewhere"}'
    world.found['answer'] = confirm(world, plan)


@when('a third instance starts')
def start_third(world: World) -> None:
    world.run(world.stage.add_instance)


@then(parsers.parse('the outcome is "{outcome}"'))
def check_outcome(world: World, outcome: str) -> None:
    assert world.found['answer']['outcome'] == outcome


@when(parsers.parse('an operator confirms {count:d} customers at once'))
def confirm_many(world: World, count: int) -> None:
    bodies = world.stage.declare()
    template = next(
        body for key, body in bodies.items() if key.startswith('customers.')
    )
    for number in range(count):
        name = f'mill-{number:05d}'
        key_hash = hash_key(name)
        bodies[f'customers.{name}'] = template.replace(
            hash_key(CALLER_KEY), key_hash
        )
    plan = world.run(world.stage.post, 0, PATH_PLAN, Intent(bodies))
    world.found['answer'] = confirm(world, plan)


@then('the detail names the size and the limit')
def check_detail(world: World) -> None:
    words = world.found['answer']['detail'].replace(';', '').split()
    numbers = [int(word) for word in words if word.isdigit()]
    assert numbers[1:] == [VALUE_LIMIT]
    assert numbers[0] > VALUE_LIMIT
