"""A worker spoils one byte of one event's id. The event before it, which came in
the same piece, never reaches the client."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import *

STREAMS = 288          # 12 workers, 24 answers each on average
SPOILING_WORKERS = 4   # garble: share 0.35 of 12 workers
SPOILED_SHARE = 0.02   # garble: x = 0.02 of the answers of these workers
EVENTS_PER_WRITE = 2
PASS_S = 0.03


def play(world):
    lock = threading.Lock()
    answers = {"by spoiling workers": 0, "spoiled": 0}

    def serve(worker, stream, first, headers):
        stream.body(headers)
        id, last = headers["attempt-id"], last_event(headers)
        worker.runs.append(id)
        spoils = False
        if TROUBLE and worker in world.workers[:SPOILING_WORKERS]:
            with lock:
                answers["by spoiling workers"] += 1
                limit = answers["by spoiling workers"] * SPOILED_SHARE
                spoils = last == 0 and answers["spoiled"] + 1 <= limit
                answers["spoiled"] += spoils
        world.record.write("worker %s runs request %s from event %d%s" % (
            worker.name, id, last + 1, ", with a wrong byte in the id of event 4" if spoils else ""))
        stream.sock.sendall(stream_head(worker, id))
        numbers = list(range(last + 1, EVENTS + 1))
        while numbers:
            time.sleep(PASS_S)
            piece = b"".join(event(number) for number in numbers[:EVENTS_PER_WRITE])
            if spoils:
                piece = piece.replace(b"id: 4", b"id: 0")
            numbers = numbers[EVENTS_PER_WRITE:]
            stream.sock.sendall(chunk(piece))
        stream.sock.sendall(b"0\r\n\r\n")
        return True

    world.store.put("config", "main", config(7, [advice()], ["fit-advisor"]))
    world.add_workers("fit-advisor", 12, slots=12, behave=serve)
    world.start_gateways(3)
    time.sleep(1)
    broken, kept = [], []

    def client(number):
        for turn in range(STREAMS // 12):
            id = "r%d-%d" % (number, turn)
            got = receive(world.gateways[number % 3].front, prompt(id))
            world.record.write("client gets %s: %s" % (id, got))
            whole = list(range(1, EVENTS + 1))
            (broken if got.complete and got.ids != whole else kept).append(id)

    clients = [threading.Thread(target=client, args=(number,)) for number in range(12)]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    world.record.write("answers: %s" % answers)
    world.record.write("complete streams with a missing event: %s, others: %d" % (broken, len(kept)))
    if TROUBLE and not answers["spoiled"]:
        raise RuntimeError("no answer was spoiled")
    return bool(broken)


main(__file__, play)
