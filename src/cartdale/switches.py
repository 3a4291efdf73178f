"""Switch mechanisms off, to find out what each is worth.

All of them are on. What is switched off costs quality, bytes or, with the
quarantine, upstreams, never the truth of an answer: every one decides when and
where, none of them what is true.
"""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.exceptions import BadInputError, InputFault, SourceLocation

#: Environment variable that lists what is off, by commas.
OFF_VARIABLE = 'CARTDALE_OFF'


class Mechanism(StrEnum):
    """Name what can be switched off."""

    #: Generations leave an engine that leaves.
    MOVES = 'moves'
    #: An engine keeps another up to date while a generation runs.
    BACKUPS = 'backups'
    #: A generation whose link broke is stopped and moved if its engine lives.
    RESCUE = 'rescue'
    #: Generations leave an engine one after another.
    TURNS = 'turns'
    #: Instances tell each other what they run.
    LOAD_NEWS = 'load_news'
    #: The best of a few upstreams is chosen instead of the best of all.
    FEW_CHOICES = 'few_choices'
    #: A request that failed, or did not run, is sent again.
    RETRIES = 'retries'
    #: Resumable streams go on without a copy of their memory.
    RESUMPTION = 'resumption'
    #: Choices count what reading and generating do to each other.
    INTERFERENCE = 'interference'
    #: Requests wait only while room is likely to come in time.
    FORECAST = 'forecast'
    #: Urgent requests go first.
    URGENCY = 'urgency'
    #: Upstreams that fail, start or don't answer are avoided.
    AVOIDANCE = 'avoidance'
    #: Silent links are left while their engine works on.
    SILENCE = 'silence'
    #: Requests that end the upstreams which begin them are refused.
    QUARANTINE = 'quarantine'
    #: Other instances carry requests to upstreams that this one can't reach.
    DETOURS = 'detours'
    #: New instances ask others while the store does not answer.
    BRIEFINGS = 'briefings'


@dataclass(frozen=True, slots=True)
class Switches:
    """Hold what is switched off."""

    off: frozenset[Mechanism] = frozenset()

    def is_enabled(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return mechanism not in self.off


def parse_switches(text: str) -> Switches:
    """Read the names of what is off, separated by commas.

    :raises BadInputError: naming every name that is not known.
    """
    names = {name.strip() for name in text.split(',')} - {''}
    known = set(Mechanism)
    location = SourceLocation(OFF_VARIABLE, 0, 'off')
    faults = tuple(
        InputFault(location, f'{name!r} is none of {", ".join(sorted(known))}')
        for name in sorted(names - known)
    )
    if faults:
        raise BadInputError(faults)
    return Switches(frozenset(Mechanism(name) for name in names))
