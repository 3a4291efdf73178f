"""Long randomised run in virtual time: ``make soak``.

Instances keep their configuration and slots at a store that goes down, slows
down and loses answers; operators race; instances pause, unaware, past their
leases; callers retry the same keys anywhere. What must hold is asserted here
and inside the program. A run is the same for the same seed.
"""

import argparse
import random
import sys
from dataclasses import dataclass
from random import Random

import trio
from returns.result import Success
from trio.testing import MockClock

from cartdale.clock import Millis
from cartdale.configuration.decide import select_deltas
from cartdale.configuration.driver import Configurator
from cartdale.configuration.types import (
    ConfigurationState,
    DeltasReceived,
    Snapshot,
    SnapshotReceived,
)
from cartdale.ledger.keys import slot_of
from cartdale.ledger.owner import OwnerPorts, SlotOwner
from cartdale.ledger.types import CLOCK_ERROR_MS, SLOTS, Claim, Verdict
from cartdale.plans.confirm import Confirmation, Confirmer
from cartdale.plans.make import identify
from cartdale.plans.types import (
    AlreadyConfirmed,
    Confirmed,
    Plan,
    PlannedChange,
    Verb,
)
from tests.fakes import FakeStore, SkewedClock

INSTANCES = 4
#: A confirmed change must be in force within this time of good weather.
IN_FORCE_SECONDS = 14
KEYS = 60
ROUND_SECONDS = 2


@dataclass
class Node:
    """Hold one instance of the run."""

    name: str
    clock: SkewedClock
    configurator: Configurator
    confirmer: Confirmer
    owner: SlotOwner
    paused_until: float = 0

    @property
    def paused(self) -> bool:
        return trio.current_time() < self.paused_until


class Soak:
    """Run one seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.store = FakeStore(Random(seed + 1))
        self.nodes = [self.make_node(number) for number in range(INSTANCES)]
        self.granted: dict[str, str] = {}
        self.confirmed: dict[int, str] = {}
        self.good_since: float = 0
        self.keys: list[tuple[str, Millis]] = []
        self.claims = 0
        self.outages = 0
        self.pauses = 0

    def make_node(self, number: int) -> Node:
        name = f'n{number}'
        skew = self.random.randrange(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        clock = SkewedClock(skew)

        def adopted(state: ConfigurationState) -> None:
            expected = self.confirmed.get(state.revision)
            digest = state.digest
            assert expected in (None, digest), 'two histories'
            self.confirmed[state.revision] = digest

        owner = SlotOwner(
            OwnerPorts(
                store=self.store,
                clock=clock,
                name=name,
                address=name,
                prefers=lambda slot: self.prefers(number, slot),
                leaving=bool,
                clock_error=int,
            ),
        )
        return Node(
            name,
            clock,
            Configurator(self.store, clock, adopted, number),
            Confirmer(self.store, clock),
            owner,
        )

    def prefers(self, number: int, slot: int) -> bool:
        ready = [
            index
            for index, node in enumerate(self.nodes)
            if not node.paused or index == number
        ]
        return ready[slot % len(ready)] == number

    async def run(self, duration: float) -> None:
        async with trio.open_nursery() as nursery:
            for number, node in enumerate(self.nodes):
                watches = number < 2
                nursery.start_soon(
                    node.configurator.run, lambda watches=watches: watches
                )
                nursery.start_soon(self.look_after_slots, node)
                nursery.start_soon(self.renew, node)
            nursery.start_soon(self.break_things)
            nursery.start_soon(self.operate)
            nursery.start_soon(self.gossip)
            nursery.start_soon(self.check_in_force)
            for _ in range(3):
                nursery.start_soon(self.call)
            await trio.sleep(duration)
            nursery.cancel_scope.cancel()

    async def look_after_slots(self, node: Node) -> None:
        while True:
            if not node.paused:
                await node.owner.scan()
            await trio.sleep(self.random.uniform(1, 6))

    async def renew(self, node: Node) -> None:
        while True:
            if not node.paused:
                await node.owner.renew()
            await trio.sleep(self.random.uniform(3, 5))

    async def break_things(self) -> None:
        while True:
            await trio.sleep(self.random.uniform(5, 40))
            chance = self.random.random()
            if chance < 0.35:
                self.outages += 1
                self.store.down = True
                await trio.sleep(self.random.uniform(1, 60))
                self.store.down = False
                self.good_since = trio.current_time()
            elif chance < 0.6:
                self.store.loss_probability = self.random.choice((0, 0.2, 0.5))
            elif chance < 0.7:
                self.store.max_delay = self.random.choice((50, 2000))
            elif chance < 0.8:
                await self.random.choice(self.nodes).owner.hand_over()
            else:
                self.pauses += 1
                node = self.random.choice(self.nodes)
                pause = self.random.uniform(1, 40)
                node.paused_until = trio.current_time() + pause

    async def operate(self) -> None:
        while True:
            await trio.sleep(self.random.uniform(0.5, 6))
            async with trio.open_nursery() as nursery:
                for node in self.random.sample(self.nodes, 2):
                    nursery.start_soon(self.confirm, node)

    async def confirm(self, node: Node) -> None:
        state = node.configurator.state
        name = f'failure_domains.d{self.random.randrange(5)}'
        body = f'{{"region":"{self.random.randrange(10**6)}"}}'
        change = PlannedChange(Verb.CHANGE, name, '', body)
        plan_id = identify(state.revision, (change,))
        plan = Plan(plan_id, state.revision, state.digest, (change,))
        verdict = await node.confirmer.confirm(
            state, Confirmation(plan, node.name)
        )
        match verdict:
            case Success(
                Confirmed(revision=revision)
                | AlreadyConfirmed(revision=revision)
            ):
                assert revision == state.revision + 1
        await node.confirmer.keep_snapshots(node.configurator.state)

    async def gossip(self) -> None:
        """Exchange as instances do: in rounds, and at once when adopting.

        Three messages in ten are lost.
        """
        told = dict.fromkeys(range(INSTANCES), 0)
        while True:
            await trio.sleep(0.1)
            for number, node in enumerate(self.nodes):
                revision = node.configurator.state.revision
                due = self.random.random() < 0.1 / ROUND_SECONDS
                if node.paused or (told[number] == revision and not due):
                    continue
                told[number] = revision
                self.tell_others(node)

    def tell_others(self, node: Node) -> None:
        ahead = node.configurator.state
        for other in self.nodes:
            lost = self.random.random() < 0.3
            if other is node or other.paused or lost:
                continue
            revision = other.configurator.state.revision
            if ahead.revision > revision:
                handed = select_deltas(ahead, revision)
                message = DeltasReceived(handed)
                if isinstance(handed, Snapshot):
                    message = SnapshotReceived(handed)
                other.configurator.apply(message)

    async def check_in_force(self) -> None:
        while True:
            revision = max(self.confirmed, default=0)
            seen_at = trio.current_time()
            await trio.sleep(IN_FORCE_SECONDS)
            if self.store.down or self.good_since > seen_at:
                continue
            for node in self.nodes:
                if node.paused_until > seen_at:
                    continue
                state = node.configurator.state
                assert state.revision >= revision, (
                    f'{node.name} has {state.revision} of {revision} at '
                    f'{trio.current_time():.1f}, paused until '
                    f'{node.paused_until:.1f}, store back at '
                    f'{self.good_since:.1f}, slowest {self.store.max_delay}'
                )

    async def call(self) -> None:
        while True:
            await trio.sleep(self.random.expovariate(8))
            self.ask(self.choose_key())

    def choose_key(self) -> tuple[str, Millis]:
        if len(self.keys) < KEYS or self.random.random() < 0.02:
            wall = SkewedClock().wall_time() + self.random.randrange(-3000, 900)
            self.keys.append((f'key-{len(self.keys)}-{wall}', wall))
        return self.random.choice(self.keys[-KEYS:])

    def ask(self, key: tuple[str, Millis]) -> None:
        name, wall = key
        self.claims += 1
        claim = Claim(name, f'a{self.claims}', 'body', wall, once=True)
        # A paused instance may still answer what reached it, when it wakes.
        node = self.random.choice(self.nodes)
        answer = node.owner.handle_message(claim, name)
        if answer.verdict is Verdict.GRANTED:
            earlier = self.granted.setdefault(name, claim.claim_id)
            assert earlier == claim.claim_id, f'{name} granted twice'

    def summary(self) -> str:
        owned = sum(len(node.owner.owned()) for node in self.nodes)
        slots = len({slot_of(name) for name, _ in self.keys})
        return (
            f'{len(self.confirmed)} revisions, {self.claims} claims, '
            f'{len(self.granted)} granted, {self.outages} outages, '
            f'{self.pauses} pauses, {owned}/{SLOTS} slots owned, '
            f'{slots} slots used'
        )


def run_soak(seed: int, duration: float) -> Soak:
    """Run a seed for some virtual seconds."""
    # trio shuffles ready tasks, and the library of back-off draws globally.
    run_module = trio._core._run
    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    run_module._r.seed(seed)
    random.seed(seed)
    soak = Soak(seed)
    clock = MockClock(autojump_threshold=0)
    trio.run(soak.run, duration, clock=clock)
    return soak


def main() -> None:
    """Run seeds until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--seconds', type=float, default=1800)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.seeds):
        soak = run_soak(seed, options.seconds)
        sys.stdout.write(f'seed {seed}: {soak.summary()}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
