"""A short fixed part of the long randomised run."""

import pytest

from cartdale.ledger import owner
from tests.soak import run_soak

SECONDS = 600


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_promises_hold_under_faults(seed: int) -> None:
    soak = run_soak(seed, SECONDS)
    assert soak.confirmed
    assert soak.granted
    assert soak.outages
    assert soak.pauses


def test_a_run_is_the_same_for_the_same_seed() -> None:
    assert run_soak(5, 100).summary() == run_soak(5, 100).summary()


def test_the_run_detects_an_owner_without_a_cutoff(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, 'initial_cutoff', lambda wall: 0)
    with pytest.raises(BaseExceptionGroup) as caught:
        for seed in range(1, 6):
            run_soak(seed, SECONDS)
    assert 'granted twice' in repr(caught.value)
