"""A model runner as a process: streams events, and writes what it did to a file, a line each.

Its behaviour is in a JSON file: `events` an answer has, `gap_s` between writes, `batch` events in a write,
`first_s` until the first one, `resumed_first_s`
until that of a stream that goes on; `garble_each`: every so many answers, a few bytes in the middle of one write are
wrong; `full_after_s`: from that time on it refuses as full.
"""

import asyncio
import json
import sys
import time

from fleet import read_body, read_head

SETTINGS = json.load(open(sys.argv[1], encoding="utf-8"))
LOG = open(SETTINGS["log"], "a", encoding="utf-8")
STATE = {"running": 0, "answers": 0}


def now():
    return time.monotonic() - SETTINGS["start"]


def log(what, request, **fields):
    LOG.write(json.dumps({"at": round(now(), 3), "what": what, "request": request, **fields}) + "\n")
    LOG.flush()


def head(status, request, *lines, length=None):
    text = [f"HTTP/1.1 {status}", f"Ibishill-Instance-Id: {SETTINGS['id']}",
            f"Ibishill-Server-Load: {STATE['running']},0,{SETTINGS['slots']}"]
    if request is not None:
        text.append(f"Ibishill-Attempt-Id: {request}")
    text += lines
    text.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    return ("\r\n".join(text) + "\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


async def refuse(writer, status, request):
    log("refused", request, status=status)
    writer.write(head(status, request, "Ibishill-Not-Run: 1", length=0))
    await writer.drain()


async def stream(reader, writer, request, headers):
    first = int(headers.get("last-event-id", "0")) + 1
    last, batch = SETTINGS.get("events", 12), SETTINGS.get("batch", 1)
    gap, before = SETTINGS.get("gap_s", 0.1), SETTINGS.get("first_s", 0.05)
    if first > 1:
        # It has to read the prompt and all that was made of the answer.
        before = SETTINGS.get("resumed_first_s", before)
    deadline = time.monotonic() + int(headers.get("ibishill-deadline-ms", "60000")) / 1000
    STATE["answers"] += 1
    each = SETTINGS.get("garble_each", 0)
    is_garbled = each > 0 and STATE["answers"] % each == 0
    STATE["running"] += 1
    log("begins", request, after=first - 1)
    # The caller sends nothing more: whatever arrives is the end of its connection.
    gone = asyncio.ensure_future(reader.read(1))

    async def pause(seconds):
        done, _ = await asyncio.wait({gone}, timeout=min(seconds, max(deadline - time.monotonic(), 0)))
        if done:
            raise ConnectionResetError
        if time.monotonic() >= deadline:
            raise TimeoutError

    try:
        await pause(before)
        stamp = f"Ibishill-Server-Stamp: {SETTINGS['id']}.{request}"
        writer.write(head("200 OK", request, stamp, "Content-Type: text/event-stream"))
        writes = 0
        while first <= last:
            end = min(first + batch, last + 1)
            pieces = [b"id: %d\ndata: piece %d of %s\n\n" % (n, n, request.encode()) for n in range(first, end)]
            writes += 1
            if is_garbled and writes == 3 and len(pieces) > 2:
                middle = len(pieces) // 2
                pieces[middle] = b"########" + pieces[middle][8:]
                log("garbles", request, event=first + middle)
            writer.write(chunk(b"".join(pieces)))
            await writer.drain()
            log("writes", request, events=[first, end - 1])
            first = end
            await pause(gap)
        writer.write(chunk(b""))
        await writer.drain()
        log("done", request)
    except TimeoutError:
        log("stops at its deadline", request)
        writer.close()
    except ConnectionError:
        log("caller gone", request)
        writer.close()
    finally:
        STATE["running"] -= 1
        gone.cancel()


async def plain(writer, request):
    STATE["running"] += 1
    log("begins", request)
    try:
        await asyncio.sleep(SETTINGS.get("work_s", 0.015))
        log("done", request)
        stamp = f"Ibishill-Server-Stamp: {SETTINGS['id']}.{request}"
        data = (f"answer to {request} " * 40).encode()
        writer.write(head("200 OK", request, stamp, length=len(data)) + data)
        await writer.drain()
    finally:
        STATE["running"] -= 1


async def serve(reader, writer):
    try:
        first, headers = await read_head(reader)
        method, path, _ = first.split(" ")
        body = await read_body(reader, headers)
        request = headers.get("ibishill-attempt-id")
        if path in ("/healthz", "/-/report"):
            found = {"waiting": 0, "running": STATE["running"], "kv-used": 0, "kv-total": 600000}
            data = json.dumps(found).encode()
            writer.write(head("200 OK", None, length=len(data)) + data)
            await writer.drain()
            return
        log("arrives", request, after=headers.get("last-event-id"), deadline=headers.get("ibishill-deadline-ms"),
            method=method, path=path, body=len(body), tenant=headers.get("ibishill-tenant"))
        if headers.get("ibishill-expect-instance", SETTINGS["id"]) != SETTINGS["id"]:
            return await refuse(writer, "421 Misdirected Request", request)
        full = SETTINGS.get("full_after_s")
        if STATE["running"] >= SETTINGS["slots"] or (full is not None and now() >= full):
            return await refuse(writer, "503 Service Unavailable", request)
        if "ibishill-token-counts" in headers:
            await stream(reader, writer, request, headers)
        else:
            await plain(writer, request)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def run():
    server = await asyncio.start_server(serve, "127.0.0.1", SETTINGS["port"], backlog=512)
    async with server:
        await server.serve_forever()


asyncio.run(run())
