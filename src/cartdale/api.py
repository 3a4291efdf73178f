"""The public surface: what other programs import."""

from cartdale.clock import Clock, Millis, SystemClock, VirtualClock
from cartdale.declarations.load import load_declarations, read_directory
from cartdale.declarations.types import Declarations
from cartdale.exceptions import BadInputError, CartdaleError, InvariantError
from cartdale.plans.make import make_plan
from cartdale.plans.types import Plan

__all__ = (
    'BadInputError',
    'CartdaleError',
    'Clock',
    'Declarations',
    'InvariantError',
    'Millis',
    'Plan',
    'SystemClock',
    'VirtualClock',
    'load_declarations',
    'make_plan',
    'read_directory',
)
