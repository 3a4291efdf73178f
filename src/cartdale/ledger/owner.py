"""Own slots through a lease at the store, and answer claims for them."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import msgspec
import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
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
    Record,
    Renewed,
    SlotState,
    Verdict,
)
from cartdale.store.types import (
    Committed,
    Compare,
    Delete,
    Entry,
    LeaseLost,
    Put,
    Store,
    Write,
)

SLOT_PREFIX = 'cartdale/slots/'
HANDOVER_PREFIX = 'cartdale/handover/'
RENEW_EVERY: Millis = 5 * SECOND_MS
SCAN_EVERY: Millis = 10 * SECOND_MS
_JITTER = 0.3
#: Slots acquired in one transaction; another's race costs one scan.
_ACQUIRED_AT_ONCE = 16
#: Ledgers left in one transaction, and the largest that is left, in bytes.
_HANDED_AT_ONCE = 8
_HANDOVER_LIMIT = 65536


@dataclass(frozen=True, slots=True)
class SlotHolder:
    """Name the owner of a slot, as the store holds it.

    :param lease: lease of the owner, which proves a lost answer.
    """

    name: str
    address: str
    lease: int


@dataclass(frozen=True, slots=True)
class Handover:
    """Carry a slot's ledger from an owner that leaves to the next one.

    The acquisition that reads it also deletes it, so that it can only come
    from the owner just before.
    """

    horizon_wall_ms: Millis
    records_by_key: dict[str, Record]


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

    def handle_message(self, message: Message, key: str) -> ClaimAnswer:
        """Take a message about a key that should be owned here."""
        number = slot_of(key)
        state = self._slots_by_number.get(number)
        trusted = self._ports.clock_error() <= CLOCK_ERROR_MS
        if state is None or (isinstance(message, Claim) and not trusted):
            return ClaimAnswer(Verdict.NOT_OWNER)
        clock = self._ports.clock
        after, answer = decide(state, message, clock.now(), clock.wall_time())
        self._slots_by_number[number] = after
        return answer or ClaimAnswer(Verdict.NOT_OWNER)

    async def scan(self) -> None:
        """Read the table of owners and acquire what nobody owns."""
        async with self._scanning:
            await self._scan()

    async def hand_over(self) -> None:
        """Give up all slots, and leave their ledgers for the next owners.

        Nothing is granted here from the first moment on. A ledger whose
        write fails is lost, which the next owner's horizon covers.
        """
        # A scan in between would take the slots for its own again.
        async with self._scanning:
            given_up = self._slots_by_number
            self._slots_by_number = {}
            numbers = sorted(given_up)
            for start in range(0, len(numbers), _HANDED_AT_ONCE):
                part = numbers[start : start + _HANDED_AT_ONCE]
                await self._leave_ledgers([given_up[one] for one in part])
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

    async def _leave_ledgers(self, states: list[SlotState]) -> None:
        writes: list[Write] = []
        for state in states:
            writes.extend(_describe_handover(state))
        # Only a slot that nobody took since may be handed over.
        still_own = tuple(
            Compare(slot_key(left.slot), left.epoch) for left in states
        )
        await self._ports.store.transact(still_own, tuple(writes))

    async def _acquire_preferred(self, free: list[int]) -> None:
        trusted = self._ports.clock_error() <= CLOCK_ERROR_MS
        if self._ports.leaving() or not trusted:
            return
        wanted = [number for number in free if self._ports.prefers(number)]
        if not wanted:
            return
        listing = await self._ports.store.fetch(HANDOVER_PREFIX)
        if isinstance(listing, Failure):
            return
        left_by_key = {entry.key: entry for entry in listing.unwrap().entries}
        for start in range(0, len(wanted), _ACQUIRED_AT_ONCE):
            if not await self._ensure_lease():
                return
            part = wanted[start : start + _ACQUIRED_AT_ONCE]
            await self._acquire(part, left_by_key)

    async def _acquire(
        self, numbers: list[int], left_by_key: dict[str, Entry]
    ) -> None:
        holder = SlotHolder(self._ports.name, self._ports.address, self._lease)
        raw = encode_json(holder)
        compares: list[Compare] = []
        writes: list[Write] = []
        for number in numbers:
            key = slot_key(number)
            left = left_by_key.get(handover_key(number))
            seen = left.mod_revision if left else 0
            compares.append(Compare(key, 0))
            compares.append(Compare(handover_key(number), seen))
            writes.append(Put(key, raw, holder.lease))
            writes.append(Delete(handover_key(number)))
        outcome = await self._ports.store.transact(
            tuple(compares), tuple(writes)
        )
        match outcome:
            case Success(Committed(store_revision=revision)):
                for acquired in numbers:
                    self.holders_by_slot[acquired] = holder
                    left = left_by_key.get(handover_key(acquired))
                    self._begin_slot(acquired, revision, left)

    def _recognise(self, number: int, entry: Entry) -> None:
        holder = self.holders_by_slot[number]
        mine = holder.name == self._ports.name
        if not mine or holder.lease != self._lease:
            self._slots_by_number.pop(number, None)
            return
        if number not in self._slots_by_number:
            # The answer of the write that acquired it was lost.
            self._begin_slot(number, entry.create_revision, None)

    def _begin_slot(self, number: int, epoch: int, left: Entry | None) -> None:
        state = SlotState(
            slot=number,
            epoch=epoch,
            horizon_wall_ms=first_horizon(self._ports.clock.wall_time()),
            valid_until=self._valid_until,
        )
        if left is not None:
            handed = decode_json(left.value, Handover)
            state = replace(
                state,
                horizon_wall_ms=handed.horizon_wall_ms,
                records_by_key=handed.records_by_key,
            )
        self._slots_by_number[number] = state

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
            await trio.sleep(as_seconds(RENEW_EVERY))
            await self.renew()

    async def _scan_for_ever(self) -> None:
        while True:
            await self._safe_scan()
            factor = 1 + self._generator.uniform(-_JITTER, _JITTER)
            await trio.sleep(as_seconds(int(SCAN_EVERY * factor)))

    async def _safe_scan(self) -> None:
        try:
            await self.scan()
        except msgspec.MsgspecError as error:
            logger.error('slot table unreadable', detail=str(error))


def slot_key(number: int) -> str:
    """Return the key that names a slot's owner."""
    return f'{SLOT_PREFIX}{number:04d}'


def handover_key(number: int) -> str:
    """Return the key under which a slot's ledger is left."""
    return f'{HANDOVER_PREFIX}{number:04d}'


def _describe_handover(state: SlotState) -> Iterator[Write]:
    handed = Handover(state.horizon_wall_ms, state.records_by_key)
    raw = encode_json(handed)
    if len(raw) <= _HANDOVER_LIMIT:
        yield Put(handover_key(state.slot), raw)
    yield Delete(slot_key(state.slot))


def _slot_number(entry: Entry) -> int:
    return int(entry.key.removeprefix(SLOT_PREFIX))
