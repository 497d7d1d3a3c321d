import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand import *  # noqa: E402,F403

# Deadlines of a small deployment: 5 s and 7.5 s. The platform counts the longest as 3 s; SIGKILL comes 0.7 s after that.
DEADLINES = {"ask": 5000.0, "book": 7500.0}
KILL_AFTER = 3.0 + 0.7 + 0.3  # no sooner than 3.7 s; a little later, so that it never is
WRITE_FROM, WRITE_TO = 0.3, 1.2  # when the clients' requests begin and end, counted from SIGTERM
CLIENTS, USUAL = 5, 10  # some clients write slowly


async def slow_client(record, address, number, term):
    """A client on a connection that it opened just after SIGTERM; it writes its request slowly."""
    host, port = address.split(":")
    id, body = new_id(), prompt(4000)
    message = request_head(id, len(body), "ask", 5000) + body
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        pieces = 10
        for piece in range(pieces):
            await asyncio.sleep(max(0, term + WRITE_FROM + (WRITE_TO - WRITE_FROM) * piece / (pieces - 1) - record.now()))
            writer.write(message[len(message) * piece // pieces:len(message) * (piece + 1) // pieces])
            await writer.drain()
            if piece == 0:
                record.add(f"client-{number} begins {id}")
        last = record.now()
        record.add(f"client-{number} has written the last byte of {id}, {last - term:.3f} s after SIGTERM")
        status, whole = await read_answer(reader)
        writer.close()
    except OSError as error:
        record.add(f"client-{number} {id}: {error}")
        return id, None, None, False
    record.add(f"client-{number} got {status} for {id}, {'whole' if whole else 'NOT WHOLE'}")
    return id, last, status, whole


async def case(record, folder):
    # Answers of 100 tokens, one every 60 ms: 6 s.
    fleet = Fleet(record, tokens=100, token_s=0.06)
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
        await asyncio.sleep(1)
        # What was taken before 0.7 s after SIGTERM and is unanswered at SIGKILL is excused: these are not judged.
        usual = [asyncio.create_task(ask(record, listen, "ask", 5000, name="usual client")) for _ in range(USUAL)]
        await asyncio.sleep(0.3)
        if TROUBLE:
            n1.signal(signal.SIGTERM)
        term = record.now()
        clients = [asyncio.create_task(slow_client(record, listen, number, term)) for number in range(CLIENTS)]
        if TROUBLE:
            await asyncio.sleep(term + KILL_AFTER - record.now())
            if n1.process.returncode is None:
                n1.signal(signal.SIGKILL)
            else:
                record.add("n1 has ended by itself")
        ends = await asyncio.wait_for(asyncio.gather(*clients), 20)
        await asyncio.gather(*usual)
        if all(end[1] is None and end[2] is None for end in ends) and not TROUBLE:
            return 2, "no request could be sent"
        # One whose connection was closed before it was read whole was not taken; a refusal or a failure is an answer.
        reached = {id for id, *_ in fleet.reads}
        late = [end for end in ends if end[1] is not None and end[1] - term > 0.75 and (end[2] or end[0] in reached)]
        lost = [end[0] for end in late if not end[3]]
        answers = ", ".join(f"{status} {'whole' if whole else 'not whole'}" for _, _, status, whole in ends)
        return (1 if lost else 0), (f"{len(lost)} of {CLIENTS} requests that were whole over 0.75 s after SIGTERM were taken "
                                    f"and lost ({answers})")
    finally:
        await n1.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
