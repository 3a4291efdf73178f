"""Checks of plain answers without framing, of services that follow a script."""

from dataclasses import dataclass, replace
from types import SimpleNamespace

import pytest
import trio

from cartdale.fleet.types import Upstream, UpstreamEntry
from cartdale.quarantine.identity import Fingerprint
from cartdale.relay.crash_probes import BrokenLink
from cartdale.relay.end_checks import EndCheck, check_plain_end
from cartdale.relay.end_proof import PLAIN_SETTLES, EndDoubt
from cartdale.relay.liveness import LifeCheck, LifeEvidence
from cartdale.relay.types import MAX_SOUND_SILENCE

BORN = 1000
ENTRY = UpstreamEntry('a', 's', 'a:80', 'west', 4, born=BORN)
#: Time that an idle service takes at most, in milliseconds.
IDLE = 50


@dataclass(frozen=True)
class Reply:
    """Answer to a question.

    :param after: milliseconds until it comes.
    :param carrier: instance that carried it; empty for none.
    """

    after: int = 0
    evidence: LifeEvidence = LifeEvidence.RESPONSE
    carrier: str = ''


def now() -> int:
    return round(trio.current_time() * 1000)


class Service:
    """Answer questions by a script, whose last line holds on."""

    def __init__(self, *replies: Reply, born: int = BORN) -> None:
        self._replies = replies
        self._born = born
        self.asked = 0

    async def check_life(
        self, upstream, spec, through='', patience=0
    ) -> LifeCheck:
        reply = self._replies[min(self.asked, len(self._replies) - 1)]
        self.asked += 1
        asked_at = now()
        waits = max(patience, IDLE)
        await trio.sleep(min(reply.after, waits) / 1000)
        evidence = reply.evidence
        if reply.after > waits:
            evidence = LifeEvidence.OPEN_CONNECTION
        return LifeCheck(evidence, asked_at, carrier=reply.carrier)

    async def check(self, carrier: str = '') -> EndCheck:
        """Check the end of an answer of this service."""
        link = BrokenLink(
            'r', Fingerprint(b'i'), ENTRY, 0, now(), begun_at=0, carrier=carrier
        )
        listed = Upstream(replace(ENTRY, born=self._born), ENTRY.lifecycle, 0)
        ports = SimpleNamespace(
            clock=SimpleNamespace(now=now),
            upstreams=self,
            fleet=SimpleNamespace(
                table=SimpleNamespace(services_by_name={}),
                find=lambda _: listed,
            ),
            crash_prober=SimpleNamespace(
                probe=lambda _: None,
                check=lambda each, _: self.check_life(each.upstream, None),
            ),
        )
        return await check_plain_end(ports, link)


# Guards against an answer that looks whole since another incarnation, which was
# back under the same id, answered a second question.
async def test_question_that_waits_ends_with_its_service(
    autojump_clock,
) -> None:
    service = Service(Reply(200, LifeEvidence.CLOSED), Reply(300))
    assert (await service.check()).doubt is EndDoubt.NOT_ALIVE
    assert service.asked == 1


# Guards against the same where the entry tells of the start already.
@pytest.mark.parametrize(
    ('born', 'doubt'),
    [
        (BORN, EndDoubt.NONE),
        (0, EndDoubt.NONE),
        (BORN + 1, EndDoubt.NOT_ALIVE),
    ],
)
async def test_entry_of_another_incarnation_proves_nothing(
    autojump_clock, born: int, doubt: EndDoubt
) -> None:
    assert (await Service(Reply(), born=born).check()).doubt is doubt


async def test_service_is_asked_again_only_if_it_answers_early(
    autojump_clock,
) -> None:
    for after, asked in ((0, 2), (PLAIN_SETTLES + 1, 1)):
        service = Service(Reply(after))
        began = now()
        assert (await service.check()).doubt is EndDoubt.NONE
        assert service.asked == asked
        assert now() - began >= PLAIN_SETTLES


# Guards against an answer that looks whole since connections are accepted.
async def test_service_that_never_answers_proves_nothing(
    autojump_clock,
) -> None:
    service = Service(Reply(2 * MAX_SOUND_SILENCE))
    assert (await service.check()).doubt is EndDoubt.UNANSWERED


# Guards against a sound answer that is cut since the instance that carried it
# had no capacity for the question, and against a path that counts as working
# since another one does.
async def test_question_takes_the_way_of_the_answer(autojump_clock) -> None:
    busy = Service(Reply(carrier='y'), Reply(carrier='x'))
    assert (await busy.check('x')).doubt is EndDoubt.NONE
    lost = Service(Reply(carrier='y'))
    assert (await lost.check('x')).doubt is EndDoubt.OTHER_PATH
    cut = Service(Reply(carrier='y'), Reply())
    assert (await cut.check()).doubt is EndDoubt.OTHER_PATH
    assert cut.asked == 1
