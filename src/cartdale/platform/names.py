"""Names on the platform's wire that several modules use."""

from typing import Final

HEADER_REQUEST_ID: Final = 'request-id'
HEADER_DEADLINE: Final = 'deadline-ms'
HEADER_TENANT: Final = 'tenant'
HEADER_EXPECT: Final = 'expect-instance'
#: In a health check's response: the id of the upstream.
HEADER_INSTANCE: Final = 'instance-id'
HEADER_LOAD: Final = 'instance-load'
#: In the store's responses: increases each time the store is restored.
HEADER_ERA: Final = 'store-era'
HEADER_NOT_RUN: Final = 'not-executed'
HEADER_RETRY_AFTER: Final = 'retry-after'
#: In an upstream's response: the upstream accepts no new work.
HEADER_LEAVING: Final = 'server-leaving'
#: In an upstream's response: requests per second that it accepts from all
#: instances together.
HEADER_LIMIT: Final = 'server-limit'
#: In an upstream's response: requests that it can reject in a second without
#: failing.
HEADER_BRITTLE: Final = 'server-brittle'
HEADER_TOKENS: Final = 'token-count'
#: In a caller's request: the parts of the prompt in order, as ID:TOKENS
#: separated by commas. The last part is the request's or its session's own.
HEADER_PARTS: Final = 'prompt-prefix'
HEADER_URGENCY: Final = 'request-urgency'
HEADER_HINT: Final = 'length-hint'
HEADER_RESUME_FROM: Final = 'kv-from'
HEADER_BACKUP: Final = 'kv-backup'
HEADER_LAST_EVENT: Final = 'last-event-id'
HEADER_AUTHORIZATION: Final = 'authorization'
HEADER_SEAL: Final = 'response-seal'

#: States of an upstream that accepts new work, and of one that does not.
STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'

PATH_REPORT: Final = '/cartdale/report'
PATH_MOVE: Final = '/cartdale/kv-move'
PATH_HANDLE: Final = '/cartdale/kv-handle/'
PATH_READY: Final = '/cartdale/ready'
