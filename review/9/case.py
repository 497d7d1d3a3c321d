"""Bad clients use up the conductor's memory, and it cuts off the sound streams of usual clients."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from peers import *  # noqa: E402,F403

MEMORY_MB, SOCKETS = 32, 1024
USUAL, AT_ONCE, SILENT, BYTES = 30, 340, 100, 32000


async def case(record, started):
    fleet = Fleet(record)
    # A stream of 6 s. Its events come in pieces, some milliseconds apart.
    fleet.events, fleet.between_events, fleet.pieces = 60, 0.09, True
    discovery = await Discovery(record).start()
    for number in range(4):
        discovery.put(**(await fleet.add(f"p{number}", "prefill", cell=number)).member())
        fleet.servers[-1].reads = True
        discovery.put(**(await fleet.add(f"d{number}", "decode", cell=number)).member())
    address = f"127.0.0.1:{free_port()}"
    config = {"name": "n1", "listen": address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": discovery.whole(),
              "settings": obedar_settings()}
    conductor = Conductor(record, "n1", config)
    started.append(conductor)
    await until_up(address)
    streams = []
    for number in range(USUAL):
        id = f"{0xa000 + number:016x}"
        name, left = ("order-set", 7400) if number % 4 == 0 else ("menu-question", 4900)
        streams.append(asyncio.create_task(ask(record, address, f"usual-{number}", id, name, left, text_of(id))))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.5)
    others, silent = [], []
    if TROUBLE:
        # The readers have much to read from now on.
        fleet.read_takes = 2.0
        record.write("bad-clients", "send-at-once", requests=AT_ONCE, bytes=BYTES)
        for number in range(AT_ONCE):
            id = f"{0xb0000 + number:016x}"
            others.append(asyncio.create_task(ask(record, address, f"bad-{number}", id, "menu-question", 4900,
                                                  text_of(id, BYTES), facts="prompt_len=10,max_out=50")))
        await asyncio.sleep(0.7)
        record.write("bad-clients", "connect-and-say-nothing", connections=SILENT)
        host, _, port = address.partition(":")
        for _ in range(SILENT):
            try:
                silent.append(await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1))
            except (OSError, asyncio.TimeoutError):
                break
    results = await asyncio.gather(*streams)
    await asyncio.gather(*others)
    for _, writer in silent:
        writer.close()
    started_streams = [result for result in results if result[0] == 200]
    if len(started_streams) < USUAL:
        raise CannotRun(f"only {len(started_streams)} usual clients had their streams begun")
    cut = sum(1 for _, _, whole in started_streams if not whole)
    record.write("usual-clients", "were-cut-off", streams=cut, of=len(started_streams))
    return f"{cut} of {len(started_streams)} sound streams were cut off" if cut else None


play(HERE, case)
