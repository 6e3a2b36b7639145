"""Stand-in for the platform's store: the log of PROTOCOL.md, as far as the system calls it."""
import asyncio
import base64
import struct
from urllib.parse import parse_qs, urlsplit

from .http import Drop, to_json

APPEND_S = 0.004
RECORD_BYTES = 262144
CALL_BYTES = 2097152


class Topic:
    def __init__(self):
        self.first = 0
        self.records = []  # (key, value), from offset `first`
        self.newest = {}  # key -> (value, offset)
        self.producers = {}  # name -> [epoch, next sequence, {sequence: response}]
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, records):
        offset = self.end
        for key, value in records:
            if value:
                self.newest[key] = (value, self.end)
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def forget(self):
        """Deletes all records; the newest of each key is retained."""
        self.first = self.end
        self.records = []


def split_records(body):
    out = []
    while body:
        (n,) = struct.unpack(">I", body[:4])
        record, body = body[4:4 + n], body[4 + n:]
        size = record[0]
        out.append((record[1:1 + size], record[1 + size:]))
    return out


class Store:
    def __init__(self):
        self.topics = {}
        # May return "lose" (done and not answered), or a number of seconds after which the append is done, not answered.
        self.on_append = lambda topic, records: None
        self.appends = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """A record of the operator or of a minion; returns when it is acknowledged."""
        self.topic(topic).add([(key.encode(), value)])

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = query.get("topic", "")
        if url.path == "/api/log-append":
            return await self.append(name, query, body)
        if name not in self.topics:
            return 404, b"{}"
        if url.path == "/api/log-read":
            return await self.read(self.topics[name], query)
        if url.path == "/api/log-newest":
            return self.read_newest(self.topics[name], query)
        return 404, b"{}"

    async def append(self, name, query, body):
        if name in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records = split_records(body)
        if len(body) > CALL_BYTES or any(len(k) + len(v) + 1 > RECORD_BYTES for k, v in records):
            return 400, b"{}"
        self.appends += 1
        trouble = self.on_append(name, records)
        if isinstance(trouble, (int, float)):
            await asyncio.sleep(trouble)
        topic = self.topic(name)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            answer = self.apply(topic, query, records)
        if trouble is not None:
            raise Drop
        return answer

    def apply(self, topic, query, records):
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            producer = topic.producers.get(query["producer"])
            if producer and epoch < producer[0]:
                return 409, to_json({"reason": "fenced"})
            if producer and epoch == producer[0]:
                if sequence in producer[2]:
                    return producer[2][sequence]
                if sequence != producer[1]:
                    return 409, to_json({"reason": "seq", "sequence": producer[1]})
        if "at" in query and int(query["at"]) != topic.end:
            return 412, to_json({"end": topic.end})
        offset = topic.add(records)
        answer = 200, to_json({"offset": offset, "end": topic.end})
        if "producer" in query:
            recent = dict(list(producer[2].items())[-4:]) if producer and producer[0] == epoch else {}
            recent[sequence] = answer
            topic.producers[query["producer"]] = [epoch, sequence + 1, recent]
        return answer

    async def read(self, topic, query):
        start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if start < topic.first:
            return 410, to_json({"first": topic.first})
        if start >= topic.end and wait > 0:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
            if start < topic.first:
                return 410, to_json({"first": topic.first})
        out = struct.pack(">QQ", topic.end, topic.first)
        left = int(query.get("maxKb", 1024)) * 1024
        for key, value in topic.records[start - topic.first:]:
            record = bytes([len(key)]) + key + value
            # At least one record is returned, however large it is.
            if len(out) > 16 and len(record) + 4 > left:
                break
            left -= len(record) + 4
            out += struct.pack(">I", len(record)) + record
        return 200, out

    @staticmethod
    def read_newest(topic, query):
        after = query.get("dependsOn", "").encode()
        keys = sorted(k for k in topic.newest if k > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = topic.newest[key]
            size += len(value)
            if items and size > 1024 * 1024:
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, to_json({"items": items, "hasMore": len(items) < len(keys), "end": topic.end})
