"""Tool servers forget connections that rest, and the result of a call that a server has raised never reaches it."""

import asyncio
import json
import os
import socket
import struct
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from peers import *  # noqa: E402,F403

FORGOTTEN_AFTER = 0.5
# The server waits nearly as long as its own call may take, the 10 s of a look-up.
BOOKING_TAKES, WAITS_FOR_RESULT = 1.0, 9.5


class ToolServer:
    """A tool server as the project's README describes it. `tools-1` has no place for bookings and turns them away unbegun."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.raised, self.results, self.bookings = [], {}, 0

    async def start(self):
        self.listener, self.address = await listen(quietly(self.serve))

    async def serve(self, reader, writer):
        rested_since = None
        while True:
            first = await reader.readexactly(1)
            rested = time.monotonic() - rested_since if rested_since else 0.0
            if TROUBLE and rested > FORGOTTEN_AFTER:
                self.record.write(self.name, "knows-nothing-of-the-connection", rested_s=round(rested, 2))
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return
            line, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            await self.handle(first.decode() + line, json.loads(body) if body else {}, writer)
            await writer.drain()
            rested_since = time.monotonic()

    async def handle(self, line, message, writer):
        def say(value):
            writer.write(chunk(b"data: " + json.dumps({"jsonrpc": "2.0", **value}).encode() + b"\n\n"))

        def answer(value):
            text = json.dumps({"jsonrpc": "2.0", **value}).encode()
            writer.write(plain("200 OK", text, Content_Type="application/json"))
        if line.startswith("GET"):
            writer.write(plain("200 OK"))
            return
        id = message["id"]
        if "method" not in message:
            self.record.write(self.name, "is-told-the-result", id=id)
            self.results[id].set_result(message)
            writer.write(plain("202 Accepted"))
            return
        tool = message["params"]["name"]
        self.record.write(self.name, "is-called", tool=tool, id=id)
        if tool == "wagon.position":
            answer({"id": id, "result": {"at": "Mombasa"}})
        elif tool == "path.hold" and self.name == "tools-1":
            writer.write(plain("503 Service Unavailable", X_Unprocessed="1"))
        elif tool == "path.hold":
            await asyncio.sleep(BOOKING_TAKES)
            self.bookings += 1
            self.record.write(self.name, "has-booked", id=id)
            answer({"id": id, "result": {"held": True}})
        else:
            nested = f"{self.name}-{len(self.raised)}"
            self.raised.append(nested)
            self.results[nested] = asyncio.get_running_loop().create_future()
            self.record.write(self.name, "raises", id=nested, within=id)
            writer.write(STREAM_HEAD)
            say({"id": nested, "method": "tools/call", "params": {"name": "path.hold", "arguments": {}}})
            await writer.drain()
            try:
                await asyncio.wait_for(asyncio.shield(self.results[nested]), WAITS_FOR_RESULT)
                say({"id": id, "result": {"path": "held"}})
            except asyncio.TimeoutError:
                self.record.write(self.name, "was-never-told-the-result", id=nested)
                say({"id": id, "error": {"code": -32000, "message": "the result of the booking never came"}})
            writer.write(b"0\r\n\r\n")


OPERATOR = """rpc {{
    listen "{listen}"
    path "/rpc"
    zone "nairobi"
    zones "nairobi" "mombasa" "kisumu"
    conductors 3
    class "look-up" repeat="safe" aim="4s" deadline="10s"
    class "booking" repeat="unsafe" aim="4s" deadline="20s" worth=2
    tool "wagon.position" class="look-up"
    tool "path.find" class="look-up"
    tool "path.hold" class="booking"
    limits attempts=4 connect="250ms" idle="15s"
    server "tools-1" address="{first}" zone="nairobi" cell=0
    server "tools-2" address="{second}" zone="mombasa" cell=1
}}
"""


async def case(record, started):
    servers = [ToolServer(record, "tools-1"), ToolServer(record, "tools-2")]
    for server in servers:
        await server.start()
    fleet, discovery = Fleet(record), await Discovery(record).start()
    discovery.put(**(await fleet.add("r0", "reader")).member())
    discovery.put(**(await fleet.add("w0", "writer-a")).member())
    address, rpc = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    with tempfile.NamedTemporaryFile("w", suffix=".kdl") as operator:
        operator.write(OPERATOR.format(listen=rpc, first=servers[0].address, second=servers[1].address))
        operator.flush()
        config = {"name": "n1", "listen": address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
                  "settings": settings()}
        conductor = Conductor(record, "n1", config, arguments=f"serve --operator {operator.name}")
        started.append(conductor)
        await until_up(address)

    async def planner(id, tool):
        body = json.dumps({"jsonrpc": "2.0", "id": id, "method": "tools/call",
                           "params": {"name": tool, "arguments": {}}}).encode()
        record.write("planner", "calls", id=id, tool=tool)
        head = f"POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        answer = await call(rpc, head.encode() + body, 25)
        record.write("planner", "is-answered", id=id, status=answer.status, text=answer.body.decode().split("\n\n"))
    for turn in range(3):
        looks = (planner(10 * turn + number, "wagon.position") for number in range(4))
        finds = (planner(10 * turn + 5 + number, "path.find") for number in range(2))
        await asyncio.gather(*looks, *finds)
    raised = sum(len(server.raised) for server in servers)
    if raised < 3:
        raise CannotRun(f"only {raised} calls were raised")
    lost = [id for server in servers for id in server.raised if not server.results[id].done()]
    return f"{len(lost)} of {raised} calls that servers raised were never answered" if lost else None


play(HERE, case)
