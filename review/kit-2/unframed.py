"""A model worker whose answers have no length and end with their channel."""

import asyncio
import time

import wire
import workers


class UnframedEngine(workers.Engine):
    """End each stream by closing its channel; break some off.

    How many events a stream has stands in the request's body: a generation
    mostly ends before its limit.
    """

    #: Returns after how many events a stream is broken off; 0 for never.
    break_off = None

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.broken_off = {}  # id -> (at, events sent, events it has)

    async def run(self, request_id, method, target, headers, body, reader, writer):
        named = dict(headers)
        made = int(named.get('last-event-id') or 0)
        if 'kv-from' in named:
            handle = named['kv-from'].rpartition('/')[2]
            known = (
                self.handles.pop(handle, None)
                or self.kept.pop(handle, None)
                or self.backups.pop(handle, None)
            )
            if known is None:
                writer.write(wire.whole(503, b'', [('Not-Executed', '1')]))
                return
        total = int(body.split(b'=')[1])
        now = time.monotonic()
        self.runs.append((now, request_id, method, target, headers, body))
        stream = {'made': made, 'stop': asyncio.Event(), 'copying': False}
        self.streams[request_id] = stream
        self.running[request_id] = now
        backup = workers.Engine.peers.get(named.get('kv-backup', ''))
        if backup is not None:
            backup.backups[request_id] = made
        closing = asyncio.create_task(reader.read(1))
        ends_at = self.break_off(total) if self.break_off else 0
        try:
            writer.write(
                wire.head(
                    200,
                    [
                        ('Content-Type', 'text/event-stream'),
                        ('Request-Id', request_id),
                        ('Response-Seal', self.seal(request_id, b'')),
                        self.load(),
                        ('Connection', 'close'),
                    ],
                )
            )
            while stream['made'] < total:
                stopping = asyncio.create_task(stream['stop'].wait())
                await asyncio.wait(
                    {stopping, closing}, timeout=self.event_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                stopping.cancel()
                if stream['stop'].is_set() or closing.done():
                    wire.reset(writer)
                    return
                stream['made'] += 1
                if backup is not None and request_id in backup.backups:
                    backup.backups[request_id] = stream['made']
                writer.write(workers.event(request_id, stream['made']))
                await writer.drain()
                if stream['made'] == ends_at:
                    self.broken_off[request_id] = (
                        time.monotonic(), ends_at, total
                    )
                    break
            else:
                if backup is not None:
                    backup.backups.pop(request_id, None)
            writer.close()
        except ConnectionError:
            pass
        finally:
            closing.cancel()
            self.streams.pop(request_id, None)
            self.running.pop(request_id, None)
