"""The last keys are taken away: a configuration that has client accounts, but no key."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from standins import (CannotRun, Client, STABLE_WINDOW_S, Store, TROUBLE, Worker, gateways, main, now,
                      service_route, start_all)

CONFIG_APPLY_S = 2.0
SENDING_S = 12.0
ZONES = ["accra-bench", "kumasi-bench", "tema-store"]


def config(version, keys):
    return {
        "version": version,
        "routes": [service_route("book-deposit", "desk.example", "/book/", "unsafe", "front-desk", 2500, 150),
                   service_route("scan-read", "desk.example", "/scan/", "safe", "front-desk", 2500, 150)],
        "services": [{"name": "front-desk"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "bench", "api_keys": keys, "priority": 1}],
    }


async def send(front, key, record, sent, ends):
    """A connected client that goes on with its key."""
    client, number = Client(front, "desk.example", key), 0
    while now() < ends:
        attempt, at = f"{key}.{front.name}.{number}", now()
        method, target = [("POST", "/book/bench"), ("GET", f"/scan/{number}")][number % 2]
        answer = await client.send(attempt, method, target, b"", 2500)
        sent[attempt] = (key, at, answer[0] if answer else None)
        record.line(f"{attempt} {target}: {sent[attempt][2]}")
        number += 1
        await asyncio.sleep(0.2)


async def revoke(store, record):
    """The operator takes the keys away, one after the other, and returns when the last
    version was acknowledged."""
    await asyncio.sleep(3.0)
    for version, keys in [(4, ["key-1"]), (7, [])]:
        await store.put("config", "main", config(version, keys))
        record.line(f"version {version} acknowledged, keys {keys}")
        await asyncio.sleep(1.0)
    return now() - 1.0


async def play(record, scratch, fronts):
    store = Store(record)
    await store.start()
    await store.put("config", "main", config(3, ["key-1", "key-2"]))
    workers = [Worker(store, record, "front-desk", zone, f"127.0.0.{31 + index}")
               for index, zone in enumerate(ZONES)]
    for worker in workers:
        await worker.start()
    fronts += gateways(3, store, scratch, ZONES)
    await start_all(fronts)
    await asyncio.sleep(STABLE_WINDOW_S)
    sent, ends = {}, now() + SENDING_S
    clients = [asyncio.ensure_future(send(front, key, record, sent, ends))
               for front in fronts for key in ("key-1", "key-2", "never-held")]
    revoked = await revoke(store, record) if TROUBLE else float("inf")
    await asyncio.gather(*clients)
    ran = {run[1]: run for worker in workers for run in worker.runs}
    dropped = [name for name, (key, at, _) in sent.items()
               if key != "never-held" and at > revoked + CONFIG_APPLY_S and name in ran]
    unknown = [name for name, (key, _, _) in sent.items() if key == "never-held" and name in ran]
    record.line(f"{len(sent)} requests sent, {len(ran)} ran")
    record.line(f"CONFIG: {len(dropped)} ran with a dropped key, sent later than {CONFIG_APPLY_S} s"
                " after its removal was acknowledged")
    record.line(f"ROUTE: {len(unknown)} ran with a key that no configuration ever held")
    if sum(status == 200 for key, at, status in sent.values() if key == "key-1" and at < revoked) < 10:
        raise CannotRun("too few requests were served before the keys were taken away")
    return not dropped and not unknown


if __name__ == "__main__":
    main(HERE, play)
