"""Bad clients send hundreds of requests at once, and the conductor goes over its memory limit."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from peers import *  # noqa: E402,F403

MEMORY_MB, SOCKETS = 32, 1024
# Eleven servers, sixteen times; eight processes hold them.
SERVERS, PROCESSES = 11 * 16, 8
BURSTS, AT_ONCE = 7, 335
# The larger reading of a megabyte.
LIMIT = MEMORY_MB * 1024 * 1024


async def case(record, started):
    discovery = await Discovery(record).start()
    processes = []
    for number in range(PROCESSES):
        flavor = "reader" if number % 2 == 0 else "writer-a"
        process = ServerProcess(record, flavor, SERVERS // PROCESSES)
        started.append(process)
        processes.append(process)
        for address in process.addresses:
            place = len(discovery.members)
            member = {"id": f"s-{place:08x}", "host_port": address, "locality": "nairobi", "flavor": flavor,
                      "cell": place % 35, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
            discovery.members[member["id"]] = member
    address = f"127.0.0.1:{free_port()}"
    config = {"name": "n1", "listen": address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": discovery.whole(),
              "settings": settings()}
    conductor = Conductor(record, "n1", config)
    started.append(conductor)
    await until_up(address)
    peak, over = conductor.rss(), None

    async def watch():
        nonlocal peak, over
        while True:
            if conductor.process.poll() is not None:
                over = over or "it ended by itself"
            now = conductor.rss()
            if now > peak:
                peak = now
                record.write("platform", "sees", resident_mb=round(now / 1e6, 1))
            if now > LIMIT and not over:
                over = "its limit is passed"
                record.write("platform", "would-kill-the-conductor", resident_mb=round(now / 1e6, 1), limit_bytes=LIMIT)
            await asyncio.sleep(0.02)
    watching = asyncio.create_task(watch())
    sent = []

    def send(who, number):
        id = f"{who[:1].encode().hex()}{number:014x}"
        sent.append(asyncio.create_task(ask(record, address, f"{who}-{number}", id, "ask", 4900, text_of(id))))
    number = 0
    until = time.monotonic() + 3 + 8 * BURSTS
    next_burst = time.monotonic() + 2
    bursts = 0
    while time.monotonic() < until and not (over and TROUBLE):
        if TROUBLE and bursts < BURSTS and time.monotonic() >= next_burst:
            bursts += 1
            next_burst += 8
            record.write("bad-clients", "send-at-once", requests=AT_ONCE)
            for _ in range(AT_ONCE):
                number += 1
                send("bad", number)
        number += 1
        send("usual", number)
        await asyncio.sleep(0.1)
    if over:
        # How far it goes without a platform that kills it.
        await asyncio.sleep(5)
    watching.cancel()
    record.write("platform", "saw-at-most", resident_mb=round(peak / 1e6, 1), limit_bytes=LIMIT)
    for process in processes:
        process.process.stdin.close()
    return f"{over}: {peak} bytes of {LIMIT}" if over else None


play(HERE, case)
