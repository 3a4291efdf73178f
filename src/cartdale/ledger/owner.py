"""Slot ownership by a lease in the store, and claims on owned slots."""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.codec import decode_integer, decode_json, encode_json
from cartdale.exceptions import UndecodableError
from cartdale.ledger.decide import decide, initial_cutoff
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
from cartdale.supervision import keep_running

SLOT_PREFIX = 'cartdale/slots/'
HANDOVER_PREFIX = 'cartdale/handover/'
RENEW_INTERVAL: Millis = 5 * SECOND_MS
SCAN_INTERVAL: Millis = 10 * SECOND_MS
_SCAN_JITTER_SHARE = 0.3
#: Slots acquired per transaction. If another instance wins the race for one
#: of them, the batch waits for the next scan.
_ACQUIRE_BATCH = 16
#: Ledgers handed over per transaction.
_HANDOVER_BATCH = 8
#: Maximum size of a ledger that is handed over.
_MAX_HANDOVER_BYTES = 65536


@dataclass(frozen=True, slots=True)
class SlotHolder:
    """Owner of a slot, as stored.

    :param lease: lease of the owner; identifies an acquisition whose
        response was lost.
    """

    name: str
    address: str
    lease: int


@dataclass(frozen=True, slots=True)
class Handover:
    """Ledger of a slot, stored by a departing owner for the next one.

    The transaction that acquires the slot also deletes the handover, so a
    handover always comes from the immediately preceding owner.

    :param horizon_wall_ms: cutoff of the slot; see ``SlotState``.
    """

    horizon_wall_ms: Millis
    records_by_key: dict[str, Record]


@dataclass(frozen=True, slots=True)
class OwnerPorts:
    """Dependencies of slot ownership on the instance.

    :param prefers: returns whether this instance should own a slot.
    :param leaving: returns whether this instance is leaving.
    :param clock_error: returns the difference between the wall clock of
        this instance and those of the other instances.
    """

    store: Store
    clock: Clock
    name: str
    address: str
    prefers: Callable[[int], bool]
    leaving: Callable[[], bool]
    clock_error: Callable[[], Millis]


class SlotOwner:
    """Manages the slots of this instance and the table of all owners."""

    def __init__(self, ports: OwnerPorts) -> None:
        self._ports = ports
        self._generator = random.Random(ports.name)
        self._lease = 0
        self._valid_until: Millis = 0
        self._slots_by_number: dict[int, SlotState] = {}
        self._scanning = trio.Lock()
        self.holders_by_slot: dict[int, SlotHolder] = {}

    async def run(self) -> None:
        """Renew the lease and scan the slots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, 'slot lease', self._renew_forever)
            nursery.start_soon(keep_running, 'slot scans', self._scan_forever)

    def owned(self) -> tuple[int, ...]:
        """Return the slots that this instance owns."""
        return tuple(sorted(self._slots_by_number))

    def handle_message(self, message: Message, key: str) -> ClaimAnswer:
        """Apply a message about a key whose slot should be owned here."""
        number = slot_of(key)
        state = self._slots_by_number.get(number)
        clock_trusted = self._ports.clock_error() <= CLOCK_ERROR_MS
        if state is None or (isinstance(message, Claim) and not clock_trusted):
            return ClaimAnswer(Verdict.NOT_OWNER)
        clock = self._ports.clock
        after, answer = decide(state, message, clock.now(), clock.wall_time())
        self._slots_by_number[number] = after
        return answer or ClaimAnswer(Verdict.NOT_OWNER)

    async def scan(self) -> None:
        """Read the table of owners and acquire preferred free slots."""
        async with self._scanning:
            await self._scan()

    async def hand_over(self) -> None:
        """Give up all slots and store their ledgers for the next owners.

        This instance stops granting claims before the first write. A
        ledger whose write fails is lost; the cutoff of the next owner
        covers this case.
        """
        # A concurrent scan would adopt the slots again.
        async with self._scanning:
            given_up = self._slots_by_number
            self._slots_by_number = {}
            numbers = sorted(given_up)
            for start in range(0, len(numbers), _HANDOVER_BATCH):
                batch = numbers[start : start + _HANDOVER_BATCH]
                await self._store_handovers(
                    [given_up[number] for number in batch]
                )
            if self._lease:
                await self._ports.store.revoke(self._lease)
                self._lease = 0

    async def renew(self) -> None:
        """Renew the lease; its validity counts from the time of the request."""
        if not self._lease:
            return
        lease = self._lease
        requested_at = self._ports.clock.now()
        renewed = await self._ports.store.keep_alive(lease)
        match renewed:
            case Success(ttl):
                self._extend(requested_at + int(ttl) - LEASE_MARGIN_MS)
            case Failure(LeaseLost()):
                logger.warning('slot lease lost', slots=len(self.owned()))
                self._slots_by_number.clear()
                self._lease = 0

    async def _scan(self) -> None:
        listing = await self._ports.store.fetch(SLOT_PREFIX)
        if isinstance(listing, Failure):
            return
        entries_by_slot = _index_slots(listing.unwrap().entries)
        self.holders_by_slot = dict(_read_holders(entries_by_slot))
        free: list[int] = []
        for number in range(SLOTS):
            entry = entries_by_slot.get(number)
            if entry is None:
                self._slots_by_number.pop(number, None)
                free.append(number)
            else:
                self._recognize(number, entry)
        await self._acquire_preferred(free)

    async def _store_handovers(self, states: list[SlotState]) -> None:
        writes: list[Write] = []
        for state in states:
            writes.extend(_handover_writes(state))
        # Hand over only slots that no other instance has acquired since.
        still_owned = tuple(
            Compare(slot_key(owned.slot), owned.epoch) for owned in states
        )
        await self._ports.store.transact(still_owned, tuple(writes))

    async def _acquire_preferred(self, free: list[int]) -> None:
        clock_trusted = self._ports.clock_error() <= CLOCK_ERROR_MS
        if self._ports.leaving() or not clock_trusted:
            return
        wanted = [number for number in free if self._ports.prefers(number)]
        if not wanted:
            return
        listing = await self._ports.store.fetch(HANDOVER_PREFIX)
        if isinstance(listing, Failure):
            return
        handovers_by_key = {
            entry.key: entry for entry in listing.unwrap().entries
        }
        for start in range(0, len(wanted), _ACQUIRE_BATCH):
            if not await self._ensure_lease():
                return
            batch = wanted[start : start + _ACQUIRE_BATCH]
            await self._acquire(batch, handovers_by_key)

    async def _acquire(
        self, numbers: list[int], handovers_by_key: dict[str, Entry]
    ) -> None:
        holder = SlotHolder(self._ports.name, self._ports.address, self._lease)
        raw = encode_json(holder)
        compares: list[Compare] = []
        writes: list[Write] = []
        for number in numbers:
            key = slot_key(number)
            handover = handovers_by_key.get(handover_key(number))
            handover_revision = handover.mod_revision if handover else 0
            compares.append(Compare(key, 0))
            compares.append(Compare(handover_key(number), handover_revision))
            writes.append(Put(key, raw, holder.lease))
            writes.append(Delete(handover_key(number)))
        outcome = await self._ports.store.transact(
            tuple(compares), tuple(writes)
        )
        match outcome:
            case Success(Committed(store_revision=revision)):
                for acquired in numbers:
                    self.holders_by_slot[acquired] = holder
                    handover = handovers_by_key.get(handover_key(acquired))
                    self._start_slot(acquired, revision, handover)

    def _recognize(self, number: int, entry: Entry) -> None:
        holder = self.holders_by_slot.get(number)
        is_local = holder is not None and holder.name == self._ports.name
        if holder is None or not is_local or holder.lease != self._lease:
            self._slots_by_number.pop(number, None)
            return
        if number not in self._slots_by_number:
            # The response to the transaction that acquired it was lost.
            self._start_slot(number, entry.create_revision, None)

    def _start_slot(
        self, number: int, epoch: int, handover: Entry | None
    ) -> None:
        state = SlotState(
            slot=number,
            epoch=epoch,
            unknown_until_wall_ms=initial_cutoff(self._ports.clock.wall_time()),
            valid_until=self._valid_until,
        )
        decoded = _read_handover(handover)
        if decoded is not None:
            state = replace(
                state,
                unknown_until_wall_ms=decoded.horizon_wall_ms,
                records_by_key=decoded.records_by_key,
            )
        self._slots_by_number[number] = state

    async def _ensure_lease(self) -> bool:
        if self._lease:
            return True
        requested_at = self._ports.clock.now()
        granted = await self._ports.store.grant(LEASE_MS)
        if isinstance(granted, Failure):
            return False
        self._lease = granted.unwrap()
        self._valid_until = requested_at + LEASE_MS - LEASE_MARGIN_MS
        return True

    def _extend(self, valid_until: Millis) -> None:
        self._valid_until = max(self._valid_until, valid_until)
        renewed = Renewed(self._valid_until)
        for number, state in tuple(self._slots_by_number.items()):
            after, _ = decide(state, renewed, 0, 0)
            self._slots_by_number[number] = after

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(as_seconds(RENEW_INTERVAL))
            await self.renew()

    async def _scan_forever(self) -> None:
        while True:
            await self.scan()
            factor = 1 + self._generator.uniform(
                -_SCAN_JITTER_SHARE, _SCAN_JITTER_SHARE
            )
            await trio.sleep(as_seconds(int(SCAN_INTERVAL * factor)))


def slot_key(number: int) -> str:
    """Return the store key of the owner of a slot."""
    return f'{SLOT_PREFIX}{number:04d}'


def handover_key(number: int) -> str:
    """Return the store key of the handed-over ledger of a slot."""
    return f'{HANDOVER_PREFIX}{number:04d}'


def _handover_writes(state: SlotState) -> Iterator[Write]:
    handover = Handover(state.unknown_until_wall_ms, state.records_by_key)
    raw = encode_json(handover)
    if len(raw) <= _MAX_HANDOVER_BYTES:
        yield Put(handover_key(state.slot), raw)
    yield Delete(slot_key(state.slot))


def _index_slots(entries: Iterable[Entry]) -> dict[int, Entry]:
    entries_by_slot: dict[int, Entry] = {}
    for entry in entries:
        try:
            number = decode_integer(entry.key.removeprefix(SLOT_PREFIX))
        except UndecodableError as error:
            _log_unreadable(entry, error)
            continue
        entries_by_slot[number] = entry
    return entries_by_slot


def _read_holders(
    entries_by_slot: dict[int, Entry],
) -> Iterator[tuple[int, SlotHolder]]:
    """Decode who holds each slot; a slot whose entry is malformed is held."""
    for number, entry in entries_by_slot.items():
        try:
            yield number, decode_json(entry.value, SlotHolder)
        except UndecodableError as error:
            _log_unreadable(entry, error)


def _read_handover(entry: Entry | None) -> Handover | None:
    """Decode a handed-over ledger; without it past outcomes are unknown."""
    if entry is None:
        return None
    try:
        return decode_json(entry.value, Handover)
    except UndecodableError as error:
        _log_unreadable(entry, error)
        return None


def _log_unreadable(entry: Entry, error: UndecodableError) -> None:
    logger.error(
        'slot table unreadable',
        key=entry.key,
        size=len(entry.value),
        detail=error.detail,
    )
