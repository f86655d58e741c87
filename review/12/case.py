"""A wrong digit in the id of one event: the stream is continued elsewhere behind a gap and
ends as complete."""

import asyncio
import random
import re
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from standin import (  # noqa: E402
    TROUBLE, ZONES, Connection, Message, Worker, address, configuration, encode, headers, main)

RATE = 56 / 3  # streams a second at each of three gateways: the sheet of sites/abbf-fitdesk
# The site's `garble`: share 0.35 of the workers (four of twelve), x 0.02, for 5.5 s.
SPOILERS, SPOIL_EACH, SPOIL_S = 4, 50, 5.5
FIRST_EVENT_S = 0.1
TOKENS = 5  # "an event of a stream holds 5 tokens"
EVENTS, GAP_S = 28, 0.03
SPOILED = range(2, 18)  # the events of which one is spoiled: ids 10 to 85
SECONDS = 8.0


class Model(Worker):
    """Numbers each event by the tokens written so far: 5, 10, 15, ... In a spoiled answer
    one digit of one id is too high."""

    async def run(self, request, writer):
        if not request.target.startswith("/notes/"):
            return await super().run(request, writer)
        last = int(request.headers.get("last-event-id", "0"))
        writer.write(encode("HTTP/1.1 200 OK", [
            *self.head(request), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        await writer.drain()
        await asyncio.sleep(FIRST_EVENT_S)
        spoiled = random.choice(SPOILED) if self.case.spoil(self) else None
        for number in range(last // TOKENS + 1, EVENTS + 1):
            found = str(number * TOKENS)
            if number == spoiled:
                found = f"{random.randint(int(found[0]) + 1, 9)}{found[1:]}"
                self.case.record.line(f"answer to {request.headers['attempt-id']} spoiled at "
                                      f"{self.name}: id {number * TOKENS} is now {found}")
            text = f"id: {found}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        return True


async def read_stream(connection):
    """The pieces that arrived, and whether the stream came to its end."""
    received = b""
    try:
        async with asyncio.timeout(9):
            while not received.endswith(b"0\r\n\r\n"):
                part = await connection.reader.read(65536)
                if not part:
                    break
                received += part
    except (OSError, asyncio.TimeoutError):
        pass
    pieces = [int(piece) for piece in re.findall(rb"data: piece (\d+)\n", received)]
    return pieces, received.endswith(b"0\r\n\r\n")


async def play(case):
    case.spoilers, case.spoiled_until, case.spoiled, case.passed = [], 0, 0, 0

    def spoil(worker):
        if worker.name not in case.spoilers or time.monotonic() > case.spoiled_until:
            return False
        case.passed += 1
        case.spoiled += case.passed % SPOIL_EACH == 0
        return case.passed % SPOIL_EACH == 0

    case.spoil = spoil
    await case.open_store()
    for index, zone in enumerate(ZONES):
        await case.add_worker(Model, f"i-desk{index}", "front-desk", zone, 6)
    for index in range(12):
        await case.add_worker(Model, f"i-model{index:02}", "fit-advisor", ZONES[index % 3], 12)
    case.start_beats()
    case.store.put("config", "main", configuration())
    fronts = case.fronts()
    for front in fronts:
        front.start()
    await case.wait_ready(fronts)
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    results = []

    async def call(front, attempt):
        try:
            connection = await Connection(address(front)).open()
            found = headers(attempt, 8000, Model="m", Token_Counts="714,140")
            await connection.send("POST", "/notes/1", found, b"prompt " + attempt.encode())
            head = await connection.receive_head()
            status = head.status if head else None
            pieces, is_whole = await read_stream(connection) if status == 200 else ([], False)
            is_sound = pieces == list(range(1, EVENTS + 1))
            outcome = (status if status != 200 else "cut" if not is_whole
                       else "whole" if is_sound else "complete with pieces missing")
            results.append(outcome)
            if outcome != "whole":
                case.record.line(f"{attempt} at {front.name}: {outcome}, pieces {pieces}")
            connection.close()
        except (OSError, asyncio.TimeoutError) as error:
            results.append(repr(error))

    async def offer(front, rng):
        tasks, started, number = [], time.monotonic(), 0
        while time.monotonic() < started + SECONDS:
            number += 1
            tasks.append(asyncio.create_task(call(front, f"{front.fields['zone']}-{number}")))
            await asyncio.sleep(rng.uniform(0.8, 1.2) / RATE)
        await asyncio.gather(*tasks)

    # The first streams show the gateways how the workers number their events.
    await asyncio.gather(*(offer(front, random.Random(index))
                           for index, front in enumerate(fronts)))
    case.record.line(f"before: {len(results)} streams, {results.count('whole')} whole")
    if TROUBLE:
        case.spoilers = [f"i-model{index:02}" for index in range(SPOILERS)]
        case.spoiled_until = time.monotonic() + SPOIL_S
        case.record.line(f"{case.spoilers} spoil answers for {SPOIL_S} s")
    await asyncio.gather(*(offer(front, random.Random(10 + index))
                           for index, front in enumerate(fronts)))
    case.record.line(f"{case.spoiled} of {case.passed} answers of the spoilers were spoiled")
    counts = {outcome: results.count(outcome) for outcome in set(results)}
    case.record.line(f"{len(results)} streams: {counts}")
    return counts.get("complete with pieces missing", 0) > 0


main(FOLDER, play)
