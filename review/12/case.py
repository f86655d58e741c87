"""Requests within the limits, with many short header fields and bodies that stop short of
their end, take more memory than the machine has."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from standin import (  # noqa: E402
    TROUBLE, ZONES, Connection, Message, NotRun, Worker, address, ask, configuration, headers, main)

CROWD = 700
FIELDS = 1900
MEMORY_MB, DESCRIPTORS = 260, 4200  # `front` machines of sites/abbf-fitdesk
HEADER_BYTES = 16384  # `max_header_bytes`
BODY_BYTES = 1000


def head(number, fields):
    lines = [f"POST /book/{number} HTTP/1.1"]
    lines += [f"{name}:{value}" for name, value in headers(f"crowd{number}")]
    lines += [f"a{field:x}:" for field in range(fields)]
    lines.append(f"Content-Length:{BODY_BYTES}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def play(case):
    await case.open_store()
    for index, zone in enumerate(ZONES):
        await case.add_worker(Worker, f"i-desk{index}", "front-desk", zone, 6)
    for index in range(12):
        await case.add_worker(Worker, f"i-model{index:02}", "fit-advisor", ZONES[index % 3], 12)
    case.start_beats()
    case.store.put("config", "main", configuration())
    fronts = case.fronts(memory_mb=MEMORY_MB, descriptors=DESCRIPTORS)
    for front in fronts:
        front.start()
    await case.wait_ready(fronts)
    await asyncio.sleep(3)
    front = fronts[0]

    # One such request that is whole is served: it is within the limits.
    fields = FIELDS if TROUBLE else 0
    assert len(head(0, fields)) < HEADER_BYTES
    connection = await Connection(address(front)).open()
    connection.writer.write(head(0, fields) + b"x" * BODY_BYTES)
    answer = await connection.receive(5)
    connection.close()
    status = answer.status if isinstance(answer, Message) else answer
    case.record.line(f"a whole request with a head of {len(head(0, fields))} bytes: {status}")
    if status != 200:
        raise NotRun("a single request of the crowd isn't served")
    case.record.line(f"memory before the crowd: {front.memory_mb():.0f} MB")

    crowd, most = [], 0.0
    for number in range(1, CROWD + 1):
        try:
            connection = await Connection(address(front)).open()
            connection.writer.write(head(number, fields) + b"x" * (BODY_BYTES - 1))
            await connection.writer.drain()
            crowd.append(connection)
        except (ConnectionError, asyncio.TimeoutError):
            pass  # to refuse such a client is allowed
        if number % 100 == 0:
            case.record.line(f"{number} requests without the last byte of their bodies: "
                             f"{front.memory_mb() or 0:.0f} MB")
    for _ in range(50):
        await asyncio.sleep(0.1)
        most = max(most, front.memory_mb() or 0.0)
    case.record.line(f"most memory beside the crowd: {most:.0f} MB, limit {MEMORY_MB} MB; "
                     f"alive: {front.is_alive()}")
    answer = await ask(address(front), "POST", "/book/1", headers("ordinary"), b"deposit")
    case.record.line(f"an ordinary request: {answer.status if isinstance(answer, Message) else answer}")
    for connection in crowd:
        connection.close()
    return most > MEMORY_MB or not front.is_alive()


main(FOLDER, play)
