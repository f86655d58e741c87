"""Two of three entry hosts lose their path to the store just before a key is
revoked. The third, which has its path, goes on with the old configuration."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import *

CUT_S = 5.5                # core_cut: for_s
IN_TOUCH_S = 3.5           # above stable_window_ms
APPLY_S = BOUNDS["config_apply_ms"] / 1000
ROUNDS = 4


def play(world):
    routes = [route("book", "unsafe", "front-desk", timeout_ms=2500)]
    keys = ["key-%d" % number for number in range(ROUNDS + 1)]
    version = 7
    document = lambda: config(version, routes, ["front-desk"], keys)
    world.store.put("config", "main", document())
    world.add_workers("front-desk", 3)
    proxies = [Proxy(world.store.address) for _ in range(3)]
    world.start_gateways(3, stores=[proxy.address for proxy in proxies])
    third = world.gateways[2]
    broken = []
    for turn in range(ROUNDS):
        time.sleep(IN_TOUCH_S)
        # Another worker comes, as at any time: the store has just answered the followers.
        world.add_workers("front-desk", 1)
        time.sleep(0.1)
        if TROUBLE:
            for proxy in proxies[:2]:
                proxy.cut = True
            world.record.write("%s and %s are cut from the store" % tuple(
                gateway.name for gateway in world.gateways[:2]))
        cut_at = time.monotonic()
        time.sleep(0.02)
        key, version = keys.pop(), version + 3
        acknowledged = world.store.put("config", "main", document())
        world.record.write("version %d without %s is acknowledged" % (version, key))
        time.sleep(acknowledged + APPLY_S + 0.02 - time.monotonic())
        number = 0
        while time.monotonic() < cut_at + CUT_S:
            id, number = "t%d-%d" % (turn, number), number + 1
            sent = time.monotonic()
            status, _, _ = call(third.front, "POST", "/book/2f", caller(id, 2500, key), b"x")
            ran = any(id in worker.runs for worker in world.workers)
            world.record.write("request %s with %s, sent to %s %.3f s after the acknowledgement:"
                               " %d%s" % (id, key, third.name, sent - acknowledged, status,
                                          ", run" if ran else ""))
            if ran:
                broken.append(id)
            time.sleep(0.1)
        for proxy in proxies:
            proxy.cut = False
        world.record.write("the cuts have healed")
    world.record.write("run with a revoked key over %.1f s after its removal: %s" % (APPLY_S, broken))
    return bool(broken)


main(__file__, play)
