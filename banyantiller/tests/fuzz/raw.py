"""A server that answers whatever it is asked with the same bytes."""

import asyncio
import itertools

PAUSE_S = 0.01


def parts_of(data, cuts):
    """Cuts bytes into what is sent at once."""
    ends = sorted(cut % (len(data) + 1) for cut in cuts)
    return [data[a:b] for a, b in itertools.pairwise([0, *ends, len(data)])]


async def start(host, port, data, cuts, closes):
    """Starts the server; it ends connections after an answer if told to."""

    async def serve(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                for part in parts_of(data, cuts):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)
