"""Tell a quarantine of crashes and survivals, and ask what it refuses.

Everything that tests of prompt parts need to know of the quarantine's messages
is here.
"""

from itertools import count

from cartdale.clock import Millis
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import (
    Fingerprint,
    identify,
    identify_parts,
)
from cartdale.quarantine.types import Crash, CrashesTold, UpstreamEnded

#: IDs of the parts of a prompt in order; the last is the request's own.
Prompt = tuple[str, ...]

#: Time from when an upstream begins a request until it crashes or the request
#: runs on.
BEGINNING_TAKES: Millis = 400

_numbers = count()


def make_prompt(*shared: str) -> Prompt:
    """Return a prompt with some parts and one of its own."""
    return (*shared, f'{next(_numbers):08x}')


def observe_crash(
    quarantine: Quarantine,
    upstream: str,
    *beginning: Prompt,
    begun: bool = False,
) -> None:
    """Let an instance see the crash of an upstream, once for each link.

    :param beginning: prompts that the upstream was beginning to answer.
    :param begun: whether their responses had begun.
    """
    for prompt in beginning:
        fingerprint = _make_fingerprint(prompt)
        crash = Crash(fingerprint.identity, upstream, born=1)
        quarantine.dispatch(
            UpstreamEnded(
                crash,
                sent_at=_find_began_at(quarantine),
                begun=begun,
                parts=fingerprint.parts,
                began_at=_find_began_at(quarantine),
            )
        )


def observe_survival(quarantine: Quarantine, prompt: Prompt) -> None:
    """Let an instance see that a request ran on."""
    began_at = _find_began_at(quarantine)
    quarantine.record_survival(_make_fingerprint(prompt), began_at)


def refuses(quarantine: Quarantine, prompt: Prompt) -> bool:
    """Return whether a new request with a prompt is refused."""
    fingerprint = _make_fingerprint(prompt)
    return quarantine.find_refusal(fingerprint, 'r') is not None


def tell(sender: Quarantine, receiver: Quarantine) -> None:
    """Send one message with evidence from an instance to another."""
    receiver.dispatch(CrashesTold(sender.list_news()))


def _find_began_at(quarantine: Quarantine) -> Millis:
    return quarantine._clock.now() - BEGINNING_TAKES


def _make_fingerprint(prompt: Prompt) -> Fingerprint:
    """Return what identifies a new request, whose body is like no other."""
    body = f'{next(_numbers)} {prompt}'.encode()
    identity = identify('POST', 'h.example', b'/', 'customer', body)
    return Fingerprint(identity, identify_parts(prompt[:-1]))
