"""A booking is open at the old process of a replacement, and a bad client sends its id to the new one."""

import asyncio
import os
import signal
import socket
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from peers import *  # noqa: E402,F403

BOOKING = "9b1f03aa5c7e2d41"


async def case(record, started):
    fleet = Fleet(record)
    # The booking's answer goes on for some seconds, as it does while a replacement is under way.
    fleet.first_token_takes, fleet.events, fleet.between_events = 0.2, 40, 0.1
    discovery = await Discovery(record).start()
    for number in range(4):
        discovery.put(**(await fleet.add(f"r{number}", "reader", cell=number)).member())
        discovery.put(**(await fleet.add(f"w{number}", "writer-a", cell=number)).member())
    # The platform holds the clients' listening socket; each process inherits it as descriptor 7.
    front = socket.socket()
    front.bind(("127.0.0.1", 0))
    front.listen(1024)
    address = f"127.0.0.1:{front.getsockname()[1]}"
    with tempfile.TemporaryDirectory(prefix="birchspur-review-") as shared:
        def start(name):
            admin = f"127.0.0.1:{free_port()}"
            config = {"name": "n1", "listen": address, "admin": admin, "discovery": discovery.address,
                      "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                      "known": discovery.whole(), "settings": settings()}
            conductor = Conductor(record, name, config, {"LB_ACCEPT_FD": "7", "LB_ADMIN": admin, "TMPDIR": shared},
                                  inherit=front.fileno())
            conductor.admin = admin
            started.append(conductor)
            return conductor
        old = start("old")
        await until_up(old.admin, "/healthcheck")
        text = text_of(BOOKING)
        booking = asyncio.create_task(ask(record, address, "client", BOOKING, "book", 14000, text))
        await asyncio.sleep(1.0)
        new = start("new")
        await until_up(new.admin, "/healthcheck")
        old.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        if TROUBLE:
            # The same request once more, with the id of the open one, under another class.
            await ask(record, address, "bad-client", BOOKING, "ask", 4900, text)
        else:
            await ask(record, address, "other-client", "5d3a91c47b684591", "ask", 4900, text_of("other"))
        status, _, whole = await booking
        await asyncio.sleep(0.5)
    if status != 200 or not whole:
        raise CannotRun("the booking itself was not served")
    runs = len(fleet.runs_of(BOOKING))
    record.write("servers", "ran-the-booking", times=runs)
    return None if runs == 1 else f"the booking {BOOKING} ran {runs} times"


play(HERE, case)
