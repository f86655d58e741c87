"""Entries of another writer whose names have a space keep gateways that start from ever
learning the back ends."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from standin import (  # noqa: E402
    BOUNDS, TROUBLE, ZONES, Message, NotRun, Worker, address, ask, configuration, headers, main)

PAGE = 500  # "about 500"
FOREIGN = 520


async def offer(case, fronts, seconds, name):
    """Sends a lookup to each front ten times a second. Returns the share that is served."""
    statuses, tasks, number = {}, [], 0

    async def look_up(front, attempt):
        try:
            answer = await ask(address(front), "GET", "/scan/1", headers(attempt), timeout=3)
        except OSError:
            answer = None
        status = answer.status if isinstance(answer, Message) else str(answer)
        statuses[status] = statuses.get(status, 0) + 1

    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for front in fronts:
            number += 1
            tasks.append(asyncio.create_task(look_up(front, f"{name}{number}")))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    case.record.line(f"{name}: {len(tasks)} requests sent, answers by status {statuses}")
    return statuses.get(200, 0) / len(tasks)


async def play(case):
    await case.open_store(page=PAGE)
    case.store.server.on_malformed = lambda line: case.record.line(f"call to the store: {line!r}")
    for index, zone in enumerate(ZONES):
        await case.add_worker(Worker, f"i-desk{index}", "front-desk", zone, 6)
    for index in range(12):
        await case.add_worker(Worker, f"i-model{index:02}", "fit-advisor", ZONES[index % 3], 12)
    case.start_beats()
    case.store.put("config", "main", configuration())
    fronts = case.fronts()
    for front in fronts:
        front.start()
    await case.wait_ready(fronts)
    await asyncio.sleep(3)
    # Entries without an address: they name no worker to use.
    between = " " if TROUBLE else "-"
    for number in range(FOREIGN):
        name = f"old{between}desk{between}{number:03}"
        case.store.put("servers", name, {"service": "front-desk", "sequence": 1})
    case.record.line(f"another writer has left {FOREIGN} entries, the last one {name!r}")
    before = await offer(case, fronts, 5, "before")
    if before < 0.25:
        raise NotRun("not served before the final fault")
    case.store.put("config", "main", configuration(8))
    for front in fronts:
        front.kill()
    await asyncio.sleep(0.6)
    for front in fronts:
        front.start()
    back = time.monotonic()
    await asyncio.sleep(BOUNDS["recovery_s"])
    after = await offer(case, fronts, 15, "after")
    ready = [await case.is_ready(front) for front in fronts]
    case.record.line(f"{time.monotonic() - back:.0f} s after the machines are back: ready {ready}; "
                     f"served before {before:.2f}, after {after:.2f}")
    return after < 0.25


main(FOLDER, play)
