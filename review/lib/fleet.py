"""Stand-ins and helpers of the review's scripts: the platform's store, relays as processes, and clients.

All addresses are on loopback and all ports are free ones. Nothing outside the case's folder and a temporary
folder is written.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "key-of-the-shop"
TENANT = "shop"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class PortTaken(CannotRun):
    """Another process took a port between its choice and its use."""


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


def free_port(ip="127.0.0.1"):
    """A free port below those that outgoing connections get, so that none takes it meanwhile."""
    for _ in range(1000):
        port = random.randint(15000, 30000)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind((ip, port))
                datagrams.bind((ip, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Record:
    """Writes what was sent, answered and run to `record.txt`, a line each."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():8.3f} {kind} {text}\n")
        self.file.flush()


# Reads the head of an HTTP message; returns its first line and its headers in lower case.
async def read_head(reader):
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
        if not line:
            return first, headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store, in memory: rows, the feed and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.ver = 0
        self.changed = asyncio.Condition()
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        async with self.changed:
            self.ver += 1
            data = None if value is None else json.dumps(value).encode()
            self.rows[(table, key)] = (self.ver, data)
            self.changed.notify_all()
        self.record.line("store", table=table, key=key, removed=value is None, ver=self.ver)

    def wire(self, table, key, ver, data):
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if data is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(data).decode()
        return row

    def answer(self, rows):
        stamp = int(now() * 1000)
        return {"rows": rows, "truncated": False, "ver": self.ver, "now-ms": stamp}

    async def call(self, method, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/-/rows-get":
            start = query.get("from", "")
            rows = [
                self.wire(table, key, ver, data)
                for (table, key), (ver, data) in sorted(self.rows.items())
                if table == query["table"] and key >= start and data is not None
            ]
            return 200, self.answer(rows)
        if path == "/-/rows-feed":
            since, wait = int(query["since-rev"]), int(query.get("wait-ms", "0")) / 1000
            until = time.monotonic() + wait
            while True:
                found = sorted(
                    (ver, key, data)
                    for (table, key), (ver, data) in self.rows.items()
                    if table == query["table"] and ver > since
                )
                left = until - time.monotonic()
                if found or left <= 0:
                    rows = [self.wire(query["table"], key, ver, data) for ver, key, data in found]
                    return 200, self.answer(rows)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/-/rows-tx":
            call = json.loads(body)
            at = lambda row: self.rows.get((row["table"], row["key"]), (0, None))
            stale = [
                row for row in call.get("expected-rev", [])
                if (at(row)[0] if at(row)[1] is not None else 0) != row["ver"]
            ]
            if stale:
                rows = [self.wire(r["table"], r["key"], *at(r)) for r in stale if at(r)[1] is not None]
                return 412, self.answer(rows)
            async with self.changed:
                self.ver += 1
                for row in call.get("writes", []):
                    data = base64.b64decode(row["value"])
                    self.rows[(row["table"], row["key"])] = (self.ver, data)
                    self.record.line("written", table=row["table"], key=row["key"], value=data.decode())
                for row in call.get("remove", []):
                    self.rows[(row["table"], row["key"])] = (self.ver, None)
                self.changed.notify_all()
            return 200, self.answer([])
        return 404, {}

    async def serve(self, reader, writer):
        from urllib.parse import parse_qsl, urlsplit

        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                status, found = await self.call(method, url.path, query, body)
                data = json.dumps(found).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Fleet:
    """Processes of one run: relays by the command of the deploy file, and runners."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = Record(folder)
        self.store = Store(self.record)
        self.temporary = Path(tempfile.mkdtemp(prefix="ibishill-review-"))
        self.processes = []
        self.relays = []
        self.runners = []
        self.count = 0

    def settings(self, index, zone, seeds, address):
        text = {
            "node-name": f"front-{zone}-{index}", "role": "relay", "machine-class": "front",
            "serves": ["front", "control"], "ip": address["ip"], "zone": zone, "region": "region-1",
            "internal-ports": [7340, 7355], "seeds": seeds, "bootstrap": False,
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in text.items()]
        return "\n".join(lines) + f"""
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
front = "{address['front']}"
ready-addr = "{address['ready']}"
control = "{address['control']}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
regression-ms = 250
outer-ms = 5000
retry-budget-ratio = 0.9
budget-window-s = 10
budget-slack = 52
expose-share = 0.15
expose-slack = 30
rollback-ms = 5000
cold-overshoot = 1.5
cold-slack = 5
evacuate-ms = 5000
recovery-s = 12
pass-ms = 120
session-s = 5
[platform]
address = "{self.store.address}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
"""

    def start_relays(self, count):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["relay"]["run"].split(" ")
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        addresses = []
        for _ in range(count):
            ip = "127.0.0.1"
            ports = {name: f"{ip}:{free_port()}" for name in ("front", "ready", "control")}
            addresses.append({"ip": ip, "metrics": free_port(), **ports})
        seeds = [address["control"] for address in addresses[:3]]
        for index, address in enumerate(addresses):
            zone = "zone-a" if index % 2 == 0 else "zone-b"
            path = self.temporary / f"relay-{index}.toml"
            path.write_text(self.settings(index, zone, seeds, address))
            environment = {
                "PATH": os.environ.get("PATH", ""), "IBISHILL_SETTINGS": str(path),
                "IBISHILL_METRICS_PORT": str(address["metrics"]),
            }
            log = open(self.temporary / f"relay-{index}.log", "wb")
            process = subprocess.Popen(
                [str(program), *command[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
            self.processes.append(process)
            self.relays.append({"process": process, "log": log.name, **address})

    async def wait_ready(self):
        for relay in self.relays:
            until = time.monotonic() + 20
            while not await self.is_ready(relay):
                ended = relay["process"].poll()
                if ended is not None or time.monotonic() > until:
                    self.keep_log(relay)
                    if "Address already in use" in Path(relay["log"]).read_text(errors="replace"):
                        raise PortTaken("a port was taken")
                    raise CannotRun(f"a relay did not get ready within 20 s, or ended ({ended})")
                await asyncio.sleep(0.1)

    def keep_log(self, relay):
        for line in Path(relay["log"]).read_text(errors="replace").splitlines()[-20:]:
            self.record.line("log", text=line)

    async def is_ready(self, relay):
        ip, port = relay["ready"].split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
            return " 200" in first
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def start_runner(self, service, zone, behaviour, version="v1", slots=64):
        """Starts a runner as a process of its own and registers it."""
        index = self.count
        self.count += 1
        port, name = free_port(), f"i-{random.Random(index).getrandbits(32):08x}"
        path = self.temporary / f"runner-{index}.json"
        log = self.temporary / f"runner-{index}.runs"
        path.write_text(json.dumps({
            "id": name, "port": port, "slots": slots, "log": str(log), "start": START, **behaviour
        }))
        # A session of its own: a group that loses its parent's shell wakes the processes that are stopped.
        process = subprocess.Popen(
            [sys.executable, str(LIB / "runner.py"), str(path)], start_new_session=True
        )
        self.processes.append(process)
        runner = {"process": process, "id": name, "port": port, "log": log, "service": service,
                  "zone": zone, "version": version, "slots": slots}
        until = time.monotonic() + 10
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except OSError:
                if time.monotonic() > until:
                    raise CannotRun("a runner did not start") from None
                await asyncio.sleep(0.05)
        await self.register(runner)
        self.runners.append(runner)
        return runner

    async def register(self, runner, state="ready"):
        await self.store.put("servers", runner["id"], {
            "service": runner["service"], "address": f"127.0.0.1:{runner['port']}",
            "zone": runner["zone"], "version": runner["version"], "slots": runner["slots"],
            "state": state, "cold-remaining-ms": 0, "call-seq": 0, "born": 1,
        })

    def runs(self):
        """What all runners say they did, in the order of time."""
        found = []
        for runner in self.runners:
            if runner["log"].exists():
                for line in runner["log"].read_text().splitlines():
                    found.append({"runner": runner["id"], **json.loads(line)})
        return sorted(found, key=lambda entry: entry["at"])

    def end(self):
        """Ends all processes of the run, and keeps what they did in the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for entry in self.runs():
            rest = {name: value for name, value in entry.items() if name != "at"}
            self.record.file.write(f"{entry['at']:8.3f} runner " + json.dumps(rest) + "\n")
        self.record.file.close()
        if os.environ.get("KEEP"):
            print(self.temporary, file=sys.stderr)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Answer:
    """What a client has seen of one request."""

    def __init__(self, request):
        self.request = request
        self.sent = None
        self.status = None
        self.headers = {}
        self.body = b""
        # complete, cut, none (closed without an answer) or left (the client gave up)
        self.end = None
        self.ended = None
        self.last_byte = None

    def events(self):
        ids = []
        for event in self.body.split(b"\n\n"):
            for line in event.split(b"\n"):
                if line.startswith(b"id: ") and line[4:].isdigit():
                    ids.append(int(line[4:]))
        return ids


async def send(record, address, path, request, headers, body=b"", method="POST",
               patience=None, deadline=None, stall=None):
    """Sends a request on a connection of its own and reads its answer.

    Gives up after `deadline` seconds, after a gap of `patience` seconds in a stream, and `stall` seconds after
    the first byte of the answer if that is given.
    """
    answer = Answer(request)
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Ibishill-Attempt-Id: {request}",
             f"Ibishill-Key: {KEY}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    answer.sent = now()
    answer.last_byte = answer.sent
    record.line("sent", request=request, to=address, path=path)
    until = answer.sent + deadline if deadline else None

    async def read(work):
        limits = []
        if until:
            limits.append(until - now())
        if patience:
            limits.append(answer.last_byte + patience - now())
        found = await asyncio.wait_for(work, max(min(limits), 0) if limits else None)
        answer.last_byte = now()
        return found

    try:
        first, answer.headers = await read(read_head(reader))
        answer.status = int(first.split(" ")[1])
        record.line("head", request=request, status=answer.status)
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await read(reader.readuntil(b"\r\n"))).split(b";")[0], 16)
                part = await read(reader.readexactly(size + 2))
                if size == 0:
                    break
                answer.body += part[:-2]
        else:
            answer.body = await read(reader.readexactly(int(answer.headers.get("content-length", "0"))))
        answer.end = "complete"
    except asyncio.TimeoutError:
        answer.end = "left"
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.end = "cut" if answer.status else "none"
    answer.ended = now()
    writer.close()
    record.line("ended", request=request, status=answer.status, end=answer.end,
                events=",".join(map(str, answer.events())), after=f"{answer.ended - answer.sent:.3f}")
    return answer


def stream_headers(deadline_ms, tokens="1460,80", number=0):
    """Headers of a prompt; each has a last segment of its own."""
    return {
        "Ibishill-Deadline-Ms": deadline_ms, "Ibishill-Model": "model-a",
        "Ibishill-Token-Counts": tokens,
        "Ibishill-Prompt-Prefix": f"5c1e07a2:800,{0x10000000 + number:x}:250",
        "Session": f"session-{number}",
    }


def stream_route(**changes):
    route = {
        "name": "chat", "host": HOST, "prefix": "/chat/", "kind": "stream", "timeout-ms": 20000,
        "target-latency-ms": 3000, "gap-aim-ms": 1200, "priority": 1, "service": "llm",
        "max-attempts": 3, "public": False, "session-affinity": True, "stream-resume": True,
    }
    return {**route, **changes}


def config(version, routes):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": "llm", "health-path": "/healthz", "max-connections": 360, "protocol": "h1",
             "tls": False, "cold-start-s": 3.0, "cold-per-s": 13.0,
             "engine": {"slots": 64, "kv-capacity": 623351, "kv-token-bytes": 18432,
                        "models": [{"name": "model-a", "cost": 0.24}]}},
            {"name": "ledger", "health-path": "/healthz", "max-connections": 96, "protocol": "h1",
             "tls": False, "cold-start-s": 0.0, "cold-per-s": 0.0},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


def main(file, case):
    """Runs a case: exits with 1 if it returns a broken rule, 0 if none, 2 if it could not run."""
    folder = Path(file).resolve().parent
    fleets = []

    # Leaves without waiting for the stand-ins' own tasks, which may still wait for their callers.
    def leave(code, text=""):
        if text:
            print(text, flush=True)
        os._exit(code)

    # Ends what was started also when the script itself is ended.
    def end(*_):
        fleets[-1].end()
        leave(2)

    async def once():
        fleet = Fleet(folder)
        fleets.append(fleet)
        try:
            await fleet.store.start()
            fleet.record.line("case", trouble=TROUBLE)
            broken = await asyncio.wait_for(case(fleet), 100)
            fleet.record.line("result", broken=broken or "no rule")
            return broken
        finally:
            fleet.end()

    async def run():
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, end)
        try:
            try:
                broken = await once()
            except PortTaken:
                broken = await once()
        except Exception as error:  # noqa: BLE001: whatever it was, the rule was not judged
            leave(2, f"could not run: {error!r}")
        leave(1 if broken else 0, broken or "held")

    asyncio.run(run())
