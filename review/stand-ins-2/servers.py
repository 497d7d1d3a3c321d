"""Servers in a process of their own: `servers.py FLAVOR COUNT` listens on COUNT ports, prints them as a JSON list, and
serves until its standard input ends. A reader reads its prompts one after the other, `--reads TOKENS` a second (four characters a token), and a
writer's first token takes `--answers MS`.

They follow the protocol page: calls that let go of a state are answered at once, and so are probes; a read whose caller
has gone is dropped."""

import argparse
import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from peers import DONE, STREAM_HEAD, USAGE, chunk, event, listen, plain, quietly, read_message  # noqa: E402

counts = {"prompts": 0, "releases": 0, "probes": 0, "connections": 0}


def serving(reads, tokens_per_s, answers):
    async def until_gone(reader):
        try:
            await reader.read(1)
        except OSError:
            pass

    async def serve_one(turn, reader, writer):
        counts["connections"] += 1
        while True:
            message = await read_message(reader)
            if message.path.startswith("/kv/leases/"):
                counts["releases"] += 1
                writer.write(plain("204 No Content"))
            elif message.path in ("/alive", "/metrics/load"):
                counts["probes"] += 1
                writer.write(plain("200 OK", b"TEXT load_share=0.1, depth=0, x0=0.2"))
            elif reads:
                counts["prompts"] += 1
                gone = asyncio.ensure_future(until_gone(reader))
                async with turn:
                    if not gone.done():
                        await asyncio.wait({gone}, timeout=len(message.body) / 4 / tokens_per_s)
                if gone.done():
                    return
                gone.cancel()
                await asyncio.wait({gone})
                writer.write(plain("202 Accepted", b'{"cached_tokens":0}', Content_Type="application/json"))
            else:
                counts["prompts"] += 1
                await asyncio.sleep(answers)
                writer.write(STREAM_HEAD + chunk(event("a")) + chunk(event("b", '"stop"')) + chunk(USAGE)
                             + chunk(DONE) + b"0\r\n\r\n")
            await writer.drain()

    turn = asyncio.Lock()
    return quietly(lambda reader, writer: serve_one(turn, reader, writer))


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("flavor")
    parser.add_argument("count", type=int)
    parser.add_argument("--reads", type=float, default=20000.0)
    parser.add_argument("--answers", type=float, default=20.0)
    asked = parser.parse_args()
    listening = []
    for _ in range(asked.count):
        listening.append(await listen(serving(asked.flavor == "reader", asked.reads, asked.answers / 1000)))
    print(json.dumps([address for _, address in listening]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(json.dumps(counts), flush=True)
    os._exit(0)


asyncio.run(main())
