"""Own slots through a lease at the store, and answer claims for them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, Clock, Millis, seconds
from cartdale.codec import decode_json, encode_json
from cartdale.ledger.decide import decide, first_horizon
from cartdale.ledger.keys import slot_of
from cartdale.ledger.types import (
    CLOCK_ERROR_MS,
    LEASE_MARGIN_MS,
    LEASE_MS,
    SLOTS,
    Claim,
    ClaimAnswer,
    Message,
    Renewed,
    SlotState,
    Verdict,
)
from cartdale.store.types import (
    Committed,
    Compare,
    Entry,
    LeaseLost,
    Put,
    Store,
)

SLOT_PREFIX = 'cartdale/slots/'
RENEW_EVERY: Millis = 5 * SECOND_MS
SCAN_EVERY: Millis = 10 * SECOND_MS
_JITTER = 0.3
#: Slots acquired in one transaction; another's race costs one scan.
_ACQUIRED_AT_ONCE = 16


@dataclass(frozen=True, slots=True)
class SlotHolder:
    """Name the owner of a slot, as the store holds it.

    :param lease: lease of the owner, which proves a lost answer.
    """

    name: str
    address: str
    lease: int


@dataclass(frozen=True, slots=True)
class OwnerPorts:
    """Bundle what slot ownership uses of its instance.

    :param prefers: tells whether this instance should own a slot.
    :param leaving: tells whether this instance is leaving.
    :param clock_error: how far its wall clock is from the others'.
    """

    store: Store
    clock: Clock
    name: str
    address: str
    prefers: Callable[[int], bool]
    leaving: Callable[[], bool]
    clock_error: Callable[[], Millis]


class SlotOwner:
    """Hold the slots of this instance and the table of all owners."""

    def __init__(self, ports: OwnerPorts) -> None:
        self._ports = ports
        self._generator = random.Random(ports.name)
        self._lease = 0
        self._valid_until: Millis = 0
        self._slots_by_number: dict[int, SlotState] = {}
        self._scanning = trio.Lock()
        self.holders_by_slot: dict[int, SlotHolder] = {}

    async def run(self) -> None:
        """Renew the lease and look after slots, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_for_ever)
            nursery.start_soon(self._scan_for_ever)

    def owned(self) -> tuple[int, ...]:
        """Return the slots that are owned here."""
        return tuple(sorted(self._slots_by_number))

    def take(self, message: Message, key: str) -> ClaimAnswer:
        """Take a message about a key that should be owned here."""
        number = slot_of(key)
        state = self._slots_by_number.get(number)
        trusted = self._ports.clock_error() <= CLOCK_ERROR_MS
        if state is None or (isinstance(message, Claim) and not trusted):
            return ClaimAnswer(Verdict.NOT_OWNER)
        clock = self._ports.clock
        after, answer = decide(state, message, clock.now(), clock.wall())
        self._slots_by_number[number] = after
        return answer or ClaimAnswer(Verdict.NOT_OWNER)

    async def scan(self) -> None:
        """Read the table of owners and acquire what nobody owns."""
        async with self._scanning:
            await self._scan()

    async def release_all(self) -> None:
        """Give up the lease, so that others can take over at once."""
        self._slots_by_number.clear()
        if self._lease:
            await self._ports.store.revoke(self._lease)
            self._lease = 0

    async def renew(self) -> None:
        """Renew the lease; what is owned stays valid from the asking."""
        if not self._lease:
            return
        lease = self._lease
        asked_at = self._ports.clock.now()
        renewed = await self._ports.store.keep_alive(lease)
        match renewed:
            case Success(ttl):
                self._extend(asked_at + int(ttl) - LEASE_MARGIN_MS)
            case Failure(LeaseLost()):
                logger.warning('slot lease lost', slots=len(self.owned()))
                self._slots_by_number.clear()
                self._lease = 0

    async def _scan(self) -> None:
        listing = await self._ports.store.fetch(SLOT_PREFIX)
        if isinstance(listing, Failure):
            return
        entries_by_slot = {
            _slot_number(entry): entry for entry in listing.unwrap().entries
        }
        self.holders_by_slot = {
            number: decode_json(entry.value, SlotHolder)
            for number, entry in entries_by_slot.items()
        }
        free: list[int] = []
        for number in range(SLOTS):
            entry = entries_by_slot.get(number)
            if entry is None:
                self._slots_by_number.pop(number, None)
                free.append(number)
            else:
                self._recognise(number, entry)
        await self._acquire_preferred(free)

    async def _acquire_preferred(self, free: list[int]) -> None:
        trusted = self._ports.clock_error() <= CLOCK_ERROR_MS
        if self._ports.leaving() or not trusted:
            return
        wanted = [number for number in free if self._ports.prefers(number)]
        for start in range(0, len(wanted), _ACQUIRED_AT_ONCE):
            if not await self._ensure_lease():
                return
            await self._acquire(wanted[start : start + _ACQUIRED_AT_ONCE])

    async def _acquire(self, numbers: list[int]) -> None:
        holder = SlotHolder(self._ports.name, self._ports.address, self._lease)
        keys = [f'{SLOT_PREFIX}{number:04d}' for number in numbers]
        raw = encode_json(holder)
        outcome = await self._ports.store.transact(
            tuple(Compare(key, 0) for key in keys),
            tuple(Put(key, raw, holder.lease) for key in keys),
        )
        match outcome:
            case Success(Committed(store_revision=revision)):
                for number in numbers:
                    self.holders_by_slot[number] = holder
                    self._begin_slot(number, revision)

    def _recognise(self, number: int, entry: Entry) -> None:
        holder = self.holders_by_slot[number]
        mine = holder.name == self._ports.name
        if not mine or holder.lease != self._lease:
            self._slots_by_number.pop(number, None)
            return
        if number not in self._slots_by_number:
            # The answer of the write that acquired it was lost.
            self._begin_slot(number, entry.create_revision)

    def _begin_slot(self, number: int, epoch: int) -> None:
        self._slots_by_number[number] = SlotState(
            slot=number,
            epoch=epoch,
            horizon_wall_ms=first_horizon(self._ports.clock.wall()),
            valid_until=self._valid_until,
        )

    async def _ensure_lease(self) -> bool:
        if self._lease:
            return True
        asked_at = self._ports.clock.now()
        granted = await self._ports.store.grant(LEASE_MS)
        if isinstance(granted, Failure):
            return False
        self._lease = granted.unwrap()
        self._valid_until = asked_at + LEASE_MS - LEASE_MARGIN_MS
        return True

    def _extend(self, valid_until: Millis) -> None:
        self._valid_until = max(self._valid_until, valid_until)
        renewed = Renewed(self._valid_until)
        for number, state in tuple(self._slots_by_number.items()):
            after, _ = decide(state, renewed, 0, 0)
            self._slots_by_number[number] = after

    async def _renew_for_ever(self) -> None:
        while True:
            await trio.sleep(seconds(RENEW_EVERY))
            await self.renew()

    async def _scan_for_ever(self) -> None:
        while True:
            await self._safe_scan()
            factor = 1 + self._generator.uniform(-_JITTER, _JITTER)
            await trio.sleep(seconds(int(SCAN_EVERY * factor)))

    async def _safe_scan(self) -> None:
        try:
            await self.scan()
        except msgspec.MsgspecError as error:
            logger.error('slot table unreadable', detail=str(error))


def _slot_number(entry: Entry) -> int:
    return int(entry.key.removeprefix(SLOT_PREFIX))
