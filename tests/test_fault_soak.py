"""A short fault soak with the real program, and seeds that once failed."""

from tests.fault_soak.checks import Asked, Checks
from tests.fault_soak.run import run_seed

SECONDS = 6
SEED = 7


def test_short_soak_breaks_no_promise() -> None:
    soak = run_seed(SEED, SECONDS)
    assert not soak.checks.violations
    assert soak.checks.ends['draft 200 whole']


def make_asked(**changes) -> Asked:
    return Asked('cut-1', 'cut', 'entry-0', 0, status=200, **changes)


def test_checks_tell_a_foreign_answer_and_a_false_end() -> None:
    checks = Checks()
    checks.check_answer(make_asked(body=b'cut/ of cut-1', whole=True))
    checks.check_answer(make_asked(body=b'cut/ of', whole=False))
    assert not checks.violations
    checks.check_answer(make_asked(body=b'cut/ of', whole=True))
    checks.check_answer(make_asked(body=b'cut/ of cut-2', whole=False))
    assert len(checks.violations) == 2


def test_checks_tell_a_version_that_goes_back() -> None:
    checks = Checks()
    life = ('entry-0', 1)
    checks.check_version(life, 404, 2, due=False)
    checks.check_version(life, 200, 2, due=False)
    assert not checks.violations
    checks.check_version(life, 404, 2, due=False)
    assert checks.violations
