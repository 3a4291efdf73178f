"""HTTP/1.1 for the stand-ins, by hand, so that every byte is known."""

import asyncio


class Closed(Exception):
    """Raised where the other side closed between two messages."""


async def read_head(reader):
    """Return the first line and the headers of a message, as written."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    first, *lines = raw[:-4].split(b'\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(b':')
        headers.append(
            (name.strip().lower().decode('latin-1'),
             value.strip().decode('latin-1'))
        )
    return first.decode('latin-1'), headers


async def read_body(reader, headers, until_end=False):
    """Return the body, and whether it is whole."""
    named = dict(headers)
    if 'chunked' in named.get('transfer-encoding', '').lower():
        body = b''
        try:
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                if not size:
                    while (await reader.readuntil(b'\r\n')) != b'\r\n':
                        pass
                    return body, True
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False
    if 'content-length' in named:
        size = int(named['content-length'])
        try:
            return await reader.readexactly(size), True
        except asyncio.IncompleteReadError as error:
            return error.partial, False
        except ConnectionError:
            return b'', False
    if until_end:
        try:
            return await reader.read(-1), True
        except ConnectionError:
            return b'', False
    return b'', True


def head(status, headers=(), reason='.'):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def whole(status, body=b'', headers=()):
    """Return an answer with a length."""
    length = [('Content-Length', str(len(body)))]
    return head(status, [*headers, *length]) + body


def chunk(raw):
    """Return one chunk."""
    return b'%x\r\n%s\r\n' % (len(raw), raw)


def reset(writer):
    """Close a channel so that the other side sees a reset."""
    import socket
    import struct

    raw = writer.get_extra_info('socket')
    if raw is not None:
        try:
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()
