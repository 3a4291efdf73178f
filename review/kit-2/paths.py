"""A proxy for one path: it delays, drops, resets or falls silent."""

import asyncio

import wire


class Path:
    """Pass channels on to one address.

    Each channel knows its number and when it was opened, so that a hook can
    treat it by itself.
    """

    def __init__(self, port, host='127.0.0.1'):
        self.target = (host, port)
        self.port = 0
        self.channels = []
        #: 'pass', 'refuse', 'hold' (new channels are accepted and hang).
        self.mode = 'pass'

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def silence_open(self):
        """Let the open channels say nothing more; new ones work."""
        for channel in self.channels:
            channel['silent'] = True

    def reset_open(self):
        for channel in list(self.channels):
            wire.reset(channel['near'])
            wire.reset(channel['far'])

    async def _serve(self, reader, writer):
        if self.mode == 'refuse':
            wire.reset(writer)
            return
        while self.mode == 'hold':
            await asyncio.sleep(0.02)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            wire.reset(writer)
            return
        channel = {'near': writer, 'far': far_writer, 'silent': False}
        self.channels.append(channel)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, channel),
                self._pump(far_reader, writer, channel),
            )
        finally:
            self.channels.remove(channel)

    async def _pump(self, reader, writer, channel):
        try:
            while True:
                raw = await reader.read(65536)
                while channel['silent'] or self.mode == 'hold':
                    await asyncio.sleep(0.02)
                if not raw:
                    writer.write_eof()
                    return
                writer.write(raw)
                await writer.drain()
        except (ConnectionError, OSError, RuntimeError):
            wire.reset(writer)
