"""Stand-ins for clients, servers, discovery and the platform, as the protocol page describes them. All of them run on one
asyncio loop and on loopback addresses; the conductor is a process of its own, started by the deploy file's `run`."""

import asyncio
import json
import logging
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
# Tasks that end with a connection that the conductor has closed are no news.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


PROCESSES = []  # all that were started


class Record:
    """What was sent, answered and run, in seconds since the start of the case."""

    def __init__(self, folder):
        self.path, self.start, self.lines = os.path.join(folder, "record.txt"), time.monotonic(), []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self):
        with open(self.path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


def free_ports(count):
    """Returns ports that are free on 127.0.0.1 at this moment."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader):
    """Reads the head of an HTTP message; returns its first line and its headers, or None at the connection's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def plain(status, body=b"", extra=""):
    return (f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n").encode() + body


class Fleet:
    """Readers and writers that share the read states of all requests, as the platform's servers do."""

    def __init__(self, record, read_s=0.02, tokens=10, token_s=0.02):
        self.record, self.read_s, self.tokens, self.token_s = record, read_s, tokens, token_s
        self.states, self.runs, self.reads, self.servers, self.members = set(), [], [], [], []

    async def start(self, readers=2, writers=2):
        for role, count in (("reader", readers), ("writer", writers)):
            for number in range(count):
                name = f"s-{role}-{number}"

                async def serve(reader, writer, name=name, role=role):
                    try:
                        await self.connection(reader, writer, name, role)
                    except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                            asyncio.CancelledError):
                        pass
                    finally:
                        writer.close()

                server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
                self.servers.append(server)
                port = server.sockets[0].getsockname()[1]
                self.members.append({"id": name, "host_port": f"127.0.0.1:{port}", "locality": "nairobi",
                                     "flavor": role, "cell": 0, "phase": "in_service", "size": 1.0,
                                     "up_since_ms": 0})

    async def connection(self, reader, writer, name, role):
        while (head := await read_head(reader)) is not None:
            line, headers = head
            await read_body(reader, headers)
            method, path = line.split(" ")[:2]
            if path.startswith("/kv/leases/"):
                if method == "DELETE":
                    self.states.discard(path.rsplit("/", 1)[1])
                writer.write(plain("204 No Content") if method == "DELETE" else plain("404 Not Found"))
            elif path in ("/metrics/load", "/alive"):
                writer.write(plain("200 OK", b"TEXT util=0.1, queue=0, x0=0.1"))
            else:
                await self.request(writer, name, role, headers.get("x-correlation-id", "-"))
            await writer.drain()

    async def request(self, writer, name, role, id):
        if role == "reader":
            self.record.add(f"{name} reads {id}")
            self.reads.append((id, name, self.record.now()))
            await asyncio.sleep(self.read_s)
            self.states.add(id)
            writer.write(plain("202 Accepted", b'{"cached_tokens":0}'))
            return
        if id not in self.states:
            self.record.add(f"{name} has no state for {id}")
            writer.write(plain("410 Gone", b"", "X-Unprocessed: 1\r\n"))
            return
        self.states.discard(id)
        self.runs.append((id, name))
        self.record.add(f"{name} runs {id}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.tokens):
            await self.event(writer, json.dumps({"choices": [{"index": 0, "delta": {"content": f"t{number} "},
                                                              "finish_reason": None}]}))
            await asyncio.sleep(self.token_s)
        await self.event(writer, json.dumps({"choices": [], "usage": {"prompt_tokens": 100, "completion_tokens":
                         self.tokens, "prompt_tokens_details": {"cached_tokens": 0}}}))
        await self.event(writer, "[DONE]")
        writer.write(b"0\r\n\r\n")
        self.record.add(f"{name} has answered {id}")

    @staticmethod
    async def event(writer, data):
        text = f"data: {data}\n\n".encode()
        writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
        await writer.drain()


class Discovery:
    """The agent of discovery, which answers at once with what it has."""

    def __init__(self, record, members, delay_s=0.0):
        self.delay_s = delay_s
        self.record, self.members, self.revision, self.changed = record, members, 1, asyncio.Event()
        self.changes = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def tell(self, entries):
        """Takes changed entries in, and answers the watches that wait."""
        changed = {entry["id"]: entry for entry in entries}
        kept = [changed.get(member["id"], member) for member in self.members]
        self.members = [member for member in kept if member["phase"] != "terminated"]
        self.revision += 1
        self.changes[self.revision] = entries
        self.record.add(f"discovery has {', '.join(e['id'] + ' ' + e['phase'] for e in entries)}")
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                query = dict(part.split("=") for part in head[0].split(" ")[1].partition("?")[2].split("&") if part)
                if int(query.get("from", -1)) == self.revision:
                    try:
                        await asyncio.wait_for(self.changed.wait(), int(query.get("hold_ms", 0)) / 1000)
                    except asyncio.TimeoutError:
                        pass
                # A slow discovery takes so much longer for each answer.
                await asyncio.sleep(self.delay_s)
                since = int(query.get("from", -1))
                if all(number in self.changes for number in range(since + 1, self.revision + 1)) and since > 0:
                    entries = [e for number in range(since + 1, self.revision + 1) for e in self.changes[number]]
                    answer = {"revision": self.revision, "complete": False, "members": entries}
                else:
                    answer = self.list()
                writer.write(plain("200 OK", json.dumps(answer).encode(), "Content-Type: application/json\r\n"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def example():
    """The configuration that the project gives as an example."""
    with open(os.path.join(ROOT, "deploy", "examples", "reli", "config.json")) as file:
        return json.load(file)


def classes_with(deadlines):
    """The example's classes with other deadlines."""
    return [{**one, "DeadlineMs": deadlines[one["Name"]]} for one in example()["settings"]["Classes"]]


class Conductor:
    """One process of the program, started by the deploy file's `run`."""

    def __init__(self, record, folder, name="n1"):
        self.record, self.folder, self.name, self.process = record, folder, name, None

    def configure(self, discovery, known, listen=None, admin=None, limits=None, settings=None):
        config = example()
        config["settings"].update(settings or {})
        config.update({"name": self.name, "listen": listen or "", "discovery": discovery, "known": known,
                       "seed": os.urandom(8).hex(),
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})}})
        if admin:
            config["admin"] = admin
        self.config, self.listen, self.admin = os.path.join(self.folder, f"{self.name}.json"), listen, admin
        with open(self.config, "w") as file:
            json.dump(config, file)

    async def start(self, env=None, pass_fds=(), arguments=""):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run + arguments, cwd=ROOT, stdout=self.log, stderr=self.log, pass_fds=pass_fds,
            env={**os.environ, "LB_CONFIG": self.config, "LB_NAME": self.name, "TMPDIR": self.folder, **(env or {})})
        PROCESSES.append(self.process)
        self.record.add(f"{self.name} started as process {self.process.pid}")

    def signal(self, number):
        self.record.add(f"{self.name} gets {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self, seconds=30):
        """Waits until `GET /up` answers 200."""
        host, port = self.listen.split(":")
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    self.record.add(f"{self.name} is ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
        if self.process:
            await self.process.wait()
            self.log.close()


def new_id():
    return os.urandom(8).hex()


def request_head(id, body_length, service="ask", time_left_ms=4800):
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n"
            f"X-Service-Class: {service}\r\nX-Session-Key: {new_id()}\r\nX-Time-Left-Ms: {time_left_ms}\r\n"
            f"X-Facts: prompt_len={max(1, body_length // 4)},max_out=200\r\n"
            f"Content-Type: application/json\r\nContent-Length: {body_length}\r\n\r\n").encode()


def prompt(length=400):
    """A body of exactly this many bytes."""
    frame = '{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"%s"}]}'
    return (frame % ("a" * (length - len(frame) + 2))).encode()


async def read_answer(reader):
    """Reads an answer; returns its status (None: closed with no answer) and whether it came whole."""
    head = await read_head(reader)
    if head is None:
        return None, False
    status = int(head[0].split(" ")[1])
    try:
        await read_body(reader, head[1])
        return status, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, False


async def ask(record, address, service="ask", time_left_ms=4800, body=None, id=None, name="client"):
    """One usual request on a new connection."""
    id, body = id or new_id(), body or prompt()
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_head(id, len(body), service, time_left_ms) + body)
        await writer.drain()
        record.add(f"{name} sent {id} ({service}, {time_left_ms} ms left)")
        status, whole = await read_answer(reader)
        writer.close()
    except OSError as error:
        record.add(f"{name} {id}: {error}")
        return None, False
    record.add(f"{name} got {status} for {id}, {'whole' if whole else 'not whole'}")
    return status, whole


async def bounded(case, record, temporary, seconds):
    """Runs the case; whoever ends this script, or its time, ends the case in good order."""
    task = asyncio.ensure_future(case(record, temporary))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    done, _ = await asyncio.wait([task], timeout=seconds)
    if not done:
        task.cancel()
        await asyncio.wait([task], timeout=5)
        return 2, f"the case did not end within {seconds} s"
    if task.cancelled():
        return 2, "the case was ended from outside"
    return task.result()


def play(case, folder, seconds=90):
    """Runs a case: `case(record, temporary folder)` returns the exit code and what it found."""
    record = Record(os.path.abspath(folder))
    with tempfile.TemporaryDirectory(prefix="birchspur-review-") as temporary:
        try:
            code, found = asyncio.run(bounded(case, record, temporary, seconds))
        except Exception as error:  # whatever went wrong, the case was not played
            code, found = 2, f"the case could not run: {type(error).__name__}: {error}"
        finally:
            for process in PROCESSES:
                if process.returncode is None:
                    try:
                        os.kill(process.pid, signal.SIGKILL)
                    except ProcessLookupError:
                        pass
        for name in sorted(os.listdir(temporary)):
            if name.endswith(".log"):
                with open(os.path.join(temporary, name), errors="replace") as file:
                    record.lines.extend(f"    {name}: {line.rstrip()}" for line in file.readlines()[-20:])
    record.add(f"result {code}: {found}")
    record.write()
    print(f"{'TROUBLE' if TROUBLE else 'no trouble'}: exit {code}: {found}")
    sys.exit(code)
