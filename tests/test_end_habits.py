"""What is expected of ends without framing, by the ends before them."""

import pytest

from cartdale.fleet.types import UpstreamEntry
from cartdale.relay.end_habits import EndHabits, UnprovedEnd

ENGINE = UpstreamEntry('i', 's', 'i:80', 'west', 4, born=1000)
#: Milliseconds by which all ends are past and settled.
LATER = 100_000


def remember(*ends: bool, at: int = 0) -> EndHabits:
    """Return the habits of a service whose ends were proved, or not."""
    habits = EndHabits()
    for proved in ends:
        if proved:
            habits.note_proved('s')
        else:
            habits.note_unproved(UnprovedEnd(ENGINE, at))
            # Each end counts before the next.
            expects_proof(habits)
    return habits


def expects_proof(habits: EndHabits, *, lives: bool = True) -> bool:
    return habits.expects_proof('s', LATER, lambda engine: lives)


# Guards against sound streams that are cut before anything is known of their
# service, or where many sound ones end without proof.
@pytest.mark.parametrize(
    'ends',
    [(), (True,) * 3, (False,) * 3 + (True,) * 8, (True, False) * 100],
)
def test_proof_is_not_expected_where_its_lack_is_usual(
    ends: tuple[bool, ...],
) -> None:
    assert not expects_proof(remember(*ends))


# Guards against early ends that are taken for whole where sound ones are nearly
# all proved.
@pytest.mark.parametrize(
    'ends', [(True,) * 4, (True,) * 200, (False,) + (True,) * 8]
)
def test_proof_is_expected_where_its_lack_is_rare(
    ends: tuple[bool, ...],
) -> None:
    assert expects_proof(remember(*ends))


# Guards against an old habit that outlives a change of the service.
def test_old_ends_are_forgotten() -> None:
    before = (True,) * 500
    assert not expects_proof(remember(*before, *(False,) * 40))
    assert expects_proof(remember(*(False,) * 500, *before))


# Guards against many streams of one engine that are taken for whole since the
# first ones that it closed made such ends look usual.
@pytest.mark.parametrize(('at', 'lives'), [(LATER, True), (0, False)])
def test_ends_do_not_count_before_their_engine_has_lived_on(
    at: int, lives: bool
) -> None:
    habits = remember(*(True,) * 4)
    for _ in range(20):
        habits.note_unproved(UnprovedEnd(ENGINE, at))
        assert expects_proof(habits, lives=lives)


# Guards against a service that is judged by another one.
def test_services_are_told_apart() -> None:
    habits = remember(*(True,) * 8)
    assert not habits.expects_proof('other', LATER, lambda engine: True)


# Guards against a run that looks over since an engine keeps no copy of it,
# though it never kept any.
@pytest.mark.parametrize(
    ('reported', 'kept'),
    [
        ((), True),
        ((None,), True),
        ((0,), False),
        ((0, 2, 0), True),
        ((0, 0), False),
    ],
)
def test_copies_are_kept_unless_engines_report_none(
    reported: tuple[int | None, ...], kept: bool
) -> None:
    habits = EndHabits()
    for copies in reported:
        habits.note_copies('s', copies)
    assert habits.keeps_copies('s') is kept


# Guards against engines that are asked for ever how many copies they keep.
@pytest.mark.parametrize(
    ('reported', 'asked'),
    [((), True), ((0,), True), ((0, 1), False), ((None,), False)],
)
def test_copies_are_asked_for_until_some_are_seen(
    reported: tuple[int | None, ...], asked: bool
) -> None:
    habits = EndHabits()
    for copies in reported:
        habits.note_copies('s', copies)
    assert habits.may_tell_copies('s') is asked
