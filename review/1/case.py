import os
import struct
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand import *  # noqa: E402,F403

CALLS, RETRIES = 5, 2  # clients retry by themselves up to 2 times
# What the program says of its own codes: refused; the deadline has passed, no booking was placed by this call; failed, no
# booking was placed by this call. Of any other error the client has to look before it repeats.
HARMLESS = (-32001, -32002, -32003)

OPERATOR = """
rpc {{
    listen "{listen}"
    path "/rpc"
    zone "nairobi"
    zones "nairobi"
    class "look-up" repeat="safe" aim="4s" deadline="10s"
    class "booking" repeat="unsafe" aim="4s" deadline="20s" worth=2
    tool "path.find" class="look-up"
    tool "wagon.position" class="look-up"
    tool "path.hold" class="booking"
    limits attempts=4 connect="250ms" idle="15s"
    {servers}
}}
"""


class ToolServer:
    """Serves three tools: `path.find` calls `wagon.position`, which calls `path.hold`, which places a booking."""

    def __init__(self, record, name, placed, broken):
        self.record, self.name, self.placed, self.broken, self.results = record, name, placed, broken, {}
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def die(self):
        """As a process that dies: its connections are reset, and new ones are refused."""
        self.server.close()
        for writer in list(self.connections):
            # With no time to linger a close resets the connection.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if head[0].startswith("GET /alive"):
                    writer.write(plain("200 OK"))
                else:
                    message = json.loads(body)
                    if "method" not in message:  # the result of a call of this server's own
                        writer.write(plain("202 Accepted"))
                        self.results.pop(message["id"]).set_result(message)
                    elif not await self.call(writer, message):
                        return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, writer, message):
        tool, arguments = message["params"]["name"], message["params"]["arguments"]
        self.record.add(f"{self.name} runs {tool} for {arguments['path']}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        if tool == "path.hold":
            self.placed.append(arguments["path"])
            self.record.add(f"{self.name} places the booking of {arguments['path']}")
        else:
            inner = {"path.find": "wagon.position", "wagon.position": "path.hold"}[tool]
            id = f"{self.name}-{new_id()}"
            self.results[id] = asyncio.get_running_loop().create_future()
            await Fleet.event(writer, json.dumps({"jsonrpc": "2.0", "id": id, "method": "tools/call",
                                                  "params": {"name": inner, "arguments": arguments}}))
            result = await asyncio.wait_for(self.results[id], 9)
            self.record.add(f"{self.name} has the result of {inner} for {arguments['path']}: {result.get('result')}")
            if TROUBLE and tool == "path.find" and not self.broken:
                self.broken.add(self.name)
                self.record.add(f"{self.name} dies amid {tool} for {arguments['path']}")
                self.die()
                return False
        await Fleet.event(writer, json.dumps({"jsonrpc": "2.0", "id": message["id"], "result": {"done": tool}}))
        writer.write(b"0\r\n\r\n")
        return True


async def call(record, address, number, path):
    """Calls `path.find` once, and returns the final answers of the call."""
    host, port = address.split(":")
    body = json.dumps({"jsonrpc": "2.0", "id": number, "method": "tools/call",
                       "params": {"name": "path.find", "arguments": {"path": path}}}).encode()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /rpc HTTP/1.1\r\nHost: rpc\r\nX-Session-Key: planner-1\r\nContent-Type: application/json\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
    record.add(f"the client calls path.find for {path} with id {number}")
    head = await read_head(reader)
    text = (await read_body(reader, head[1])).decode()
    writer.close()
    messages = [json.loads(line[5:]) for line in text.split("\n") if line.startswith("data:")]
    answers = [message for message in messages if message.get("id") == number]
    record.add(f"the client gets {answers}")
    return answers


async def case(record, folder):
    placed, broken = [], set()
    tools = [ToolServer(record, f"tools-{number}", placed, broken) for number in (1, 2)]
    for server in tools:
        await server.start()
    listen, rpc = (f"127.0.0.1:{port}" for port in free_ports(2))
    operator = os.path.join(folder, "operator.kdl")
    with open(operator, "w") as file:
        file.write(OPERATOR.format(listen=rpc, servers="\n    ".join(
            f'server "{server.name}" address="{server.address}" zone="nairobi" cell=0' for server in tools)))
    n1 = Conductor(record, folder)
    n1.configure("", {"revision": 0, "complete": True, "members": []}, listen=listen)
    await n1.start(arguments=f" serve --operator {operator}")
    try:
        if not await n1.ready():
            return 2, "the conductor was not ready"
        await asyncio.sleep(0.5)
        number, ends, untrue = 0, [], 0
        for one in range(CALLS):
            path = f"path-{one}"
            for _ in range(1 + RETRIES):
                number += 1
                before = placed.count(path)
                answers = await asyncio.wait_for(call(record, rpc, number, path), 15)
                if len(answers) != 1:
                    return 2, f"{len(answers)} final answers"
                code = answers[0].get("error", {}).get("code")
                ends.append(code or "result")
                untrue += code in HARMLESS and placed.count(path) > before
                if code not in HARMLESS:
                    break
                await asyncio.sleep(answers[0]["error"].get("data", {}).get("retry_after_ms", 100) / 1000)
        counts = [placed.count(f"path-{one}") for one in range(CALLS)]
        if 0 in counts:
            return 2, f"not every call led to a booking: {counts}"
        return (1 if max(counts) > 1 else 0), (f"bookings placed for each of {CALLS} calls: {counts}; answers {ends}; "
                                               f"{untrue} answers said that no booking was placed after one was")
    finally:
        await n1.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
