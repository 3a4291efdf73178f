"""Choose the recipients of domain news in the other failure domains."""

from collections.abc import Container

from cartdale.clock import SECOND_MS, Millis
from cartdale.news.roles import SILENT_MS
from cartdale.news.types import NewsState, PeerEntry

#: Maximum age of the news of a domain for it to count as lagging.
_LAGGING_MS: Millis = 10 * SECOND_MS


def list_lagging_domains(
    state: NewsState, own: PeerEntry, now: Millis, version: int
) -> set[str]:
    """Return the other failure domains that report an older configuration.

    :param version: version of the configuration in force on this instance.
    """
    return {
        domain
        for domain, received in state.domains_by_name.items()
        if domain != own.failure_domain
        and received.news.version < version
        and now - received.at <= _LAGGING_MS
    }


def choose_domain_recipients(
    state: NewsState,
    own: PeerEntry,
    now: Millis,
    turn: int,
    lagging: Container[str] = (),
) -> list[PeerEntry]:
    """Return the recipients of domain news in the other failure domains.

    In each domain this is its last publisher; while it has no active one, each
    of its instances in turn. The recipient forwards the news within its domain.

    :param lagging: domains in which the last publisher does not deliver, so
        that one more instance, in turn, gets the news as well.
    """
    peers_by_domain: dict[str, list[PeerEntry]] = {}
    for peer in state.peers_by_name.values():
        if peer.failure_domain != own.failure_domain:
            peers_by_domain.setdefault(peer.failure_domain, []).append(peer)
    recipients: list[PeerEntry] = []
    for domain, peers in peers_by_domain.items():
        received = state.domains_by_name.get(domain)
        active = received is not None and now - received.at <= SILENT_MS
        if received is not None and active:
            recipients.append(received.news.peer)
        others = [each for each in peers if each not in recipients]
        if others and (domain in lagging or not active):
            recipients.append(others[turn % len(others)])
    return recipients
