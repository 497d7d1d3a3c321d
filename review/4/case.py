import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand import *  # noqa: E402,F403

# Deadlines of a small deployment: 5 s and 7.5 s. SIGKILL comes no sooner than 3 s (as which a longer deadline counts) and
# 0.7 s after SIGTERM. This platform gives its processes 30 s, so that SIGKILL is not what cuts an answer here.
DEADLINES = {"ask": 5000.0, "book": 7500.0}
NO_SOONER_THAN, KILL_AFTER = 3.7, 30.0
CLIENTS, TOKENS, TOKEN_S = 5, 200, 0.07  # answers of 14 s


async def case(record, folder):
    fleet = Fleet(record, tokens=TOKENS, token_s=TOKEN_S)
    await fleet.start()
    discovery = Discovery(record, fleet.members)
    await discovery.start()
    listen = "127.0.0.1:%d" % free_ports(1)[0]
    n1 = Conductor(record, folder)
    n1.configure(discovery.address, discovery.list(), listen=listen, settings={"Classes": classes_with(DEADLINES)})
    await n1.start()
    try:
        if not await n1.ready():
            return 2, "the conductor was not ready"
        await asyncio.sleep(0.5)
        ids = [new_id() for _ in range(CLIENTS)]
        clients = [asyncio.create_task(ask(record, listen, "book", 7500, id=id)) for id in ids]
        for _ in range(100):
            if len(fleet.runs) == CLIENTS:
                break
            await asyncio.sleep(0.02)
        else:
            return 2, f"only {len(fleet.runs)} of {CLIENTS} requests ran"
        await asyncio.sleep(0.5)
        ended = None
        if TROUBLE:
            n1.signal(signal.SIGTERM)
            term = record.now()
            try:
                await asyncio.wait_for(n1.process.wait(), KILL_AFTER)
                ended = record.now() - term
                record.add(f"the conductor has ended by itself, {ended:.2f} s after SIGTERM, "
                           f"while {CLIENTS - sum(task.done() for task in clients)} clients await the rest of their answers")
            except asyncio.TimeoutError:
                n1.signal(signal.SIGKILL)
        ends = await asyncio.wait_for(asyncio.gather(*clients), 40)
        lost = sum(not whole for _, whole in ends)
        own = "" if ended is None else f"; the conductor ended by itself {ended:.2f} s after SIGTERM"
        broken = lost and (ended is not None and ended < KILL_AFTER)
        return (1 if broken else 0), f"{lost} of {CLIENTS} answers were cut{own}"
    finally:
        await n1.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
