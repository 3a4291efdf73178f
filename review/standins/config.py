"""Documents of the operator for the cases."""

HOST = 'ficu95.example'
SERVICE = 'member-portal'


def make_configuration(version: int, tenants: list[dict], **route) -> dict:
    """Return a configuration with two routes to one plain service."""
    shared = {
        'hostname': HOST,
        'timeoutMs': 3000,
        'targetLatencyMs': 400,
        'priority': 2,
        'service': SERVICE,
        'maxAttempts': 1,
        'allowAnonymous': False,
        'sessionAffinity': False,
        'resumable': False,
        **route,
    }
    return {
        'version': version,
        'routes': [
            {**shared, 'name': 'fetch', 'pathPrefix': '/fetch/', 'kind': 'unsafe'},
            {**shared, 'name': 'look', 'pathPrefix': '/look/', 'kind': 'safe'},
        ],
        'services': [
            {'name': SERVICE, 'healthPath': '/health', 'maxConnections': 110}
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


def make_headers(request_id: str, key: str, deadline: int = 3000) -> dict:
    """Return the headers of a client's request."""
    headers = {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline),
    }
    if key:
        headers['Authorization'] = f'Token {key}'
    return headers
