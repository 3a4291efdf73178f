"""Names on the platform's wire that more than one module needs."""

from typing import Final

HEADER_REQUEST_ID: Final = 'request-id'
HEADER_DEADLINE: Final = 'deadline-ms'
HEADER_TENANT: Final = 'tenant'
HEADER_EXPECT: Final = 'expect-instance'
#: Names the upstream that answers a health check.
HEADER_INSTANCE: Final = 'instance-id'
HEADER_LOAD: Final = 'instance-load'
#: Of the store's answers: rises each time that it comes back from a copy.
HEADER_ERA: Final = 'store-era'
HEADER_NOT_RUN: Final = 'not-executed'
HEADER_RETRY_AFTER: Final = 'retry-after'
#: Of an upstream's answer, where the upstream takes no new work any more.
HEADER_LEAVING: Final = 'server-leaving'
#: Of an upstream's answer: requests a second that it takes from all instances.
HEADER_LIMIT: Final = 'server-limit'
HEADER_TOKENS: Final = 'token-count'
HEADER_URGENCY: Final = 'request-urgency'
HEADER_HINT: Final = 'length-hint'
HEADER_RESUME_FROM: Final = 'kv-from'
HEADER_BACKUP: Final = 'kv-backup'
HEADER_LAST_EVENT: Final = 'last-event-id'
HEADER_AUTHORIZATION: Final = 'authorization'
HEADER_SEAL: Final = 'response-seal'

#: State of an upstream that takes new work, and of one that does not.
WORD_READY: Final = 'ready'
WORD_DRAINING: Final = 'draining'

PATH_REPORT: Final = '/cartdale/report'
PATH_MOVE: Final = '/cartdale/kv-move'
PATH_HANDLE: Final = '/cartdale/kv-handle/'
PATH_READY: Final = '/cartdale/ready'
