"""Minimal HTTP/1.1 for the stand-ins: a server whose link can be cut, and a client."""
import asyncio
import json


class Link:
    """The network between a server and those who call it: `up`, `silent` (bytes wait for the end of the cut) or `reset`."""

    def __init__(self, delay=0.0):
        self.mode = "up"
        self.delay = delay
        self.is_up = asyncio.Event()
        self.is_up.set()
        self.writers = set()

    def set(self, mode):
        self.mode = mode
        if mode == "up":
            self.is_up.set()
        else:
            self.is_up.clear()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()


class Drop(Exception):
    """The response is lost: the connection returns nothing further."""


async def read_message(reader):
    """Returns (start line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(address, handler, link):
    """Serves `handler(method, target, headers, body) -> (status, body bytes)` behind `link`."""

    async def connected(reader, writer):
        if link.mode == "reset":
            writer.transport.abort()
            return
        link.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, headers, body = message
                method, target, _ = start.split(" ", 2)
                if link.delay:
                    await asyncio.sleep(link.delay)
                await link.is_up.wait()
                # Bytes that a cut held up are lost when their sender has closed the connection meanwhile.
                if reader.at_eof() or writer.transport.is_closing():
                    break
                try:
                    status, answer = await handler(method, target, headers, body)
                except Drop:
                    await asyncio.sleep(30)
                    break
                if link.delay:
                    await asyncio.sleep(link.delay)
                await link.is_up.wait()
                if writer.transport.is_closing():
                    break
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(answer))
                             + answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            link.writers.discard(writer)
            writer.close()

    host, port = address
    return await asyncio.start_server(connected, host, port, limit=4 * 1024 * 1024)


async def call(address, method, target, headers, body=b"", timeout=3.0):
    """One request on a new connection; returns (status, body), or (None, reason) without a response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "closed"
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no response"
    except OSError as e:
        return None, str(e)


def to_json(value):
    return json.dumps(value, separators=(",", ":")).encode()
