"""A stand-in of a rank group: its passes, reports, orders and expert maps, as
PROTOCOL.md describes them."""

import asyncio
import json
import time
import zlib

from standin import Server, encode


def digest(assignment):
    """A short mark of a map's content."""
    return f"{zlib.crc32(json.dumps(assignment).encode()):08x}"


class Rank:
    def __init__(self, index, experts):
        self.index = index
        self.map, self.experts = 0, experts
        self.assignment = None  # the whole map, by set and rank
        self.prepared = None  # (version, whole map), once the copy is complete
        self.copying = None  # (version, whole map, time of completion)
        self.highest = 0
        self.armed = self.held = None
        self.sequence = 0
        self.counts = None
        self.address = None


class Group:
    """`order_filter(rank, order)` returns whether an order gets no answer; it may carry
    it out later with `carry_out`. `demand(step)` returns the choices of a pass by set
    and expert."""

    def __init__(self, case, ips, sets, experts, places, spare, copy_s, pass_s, demand):
        self.case, self.sets, self.experts = case, sets, experts
        self.places, self.spare = places, spare
        self.copy_s, self.pass_s, self.demand = copy_s, pass_s, demand
        self.step, self.epoch = 0, 1
        self.traffic = False
        self.mismatches = []
        self.orders = []
        self.order_filter = lambda rank, order: False
        size = len(ips)
        first = [[[e for e in range(experts) if e % size == rank] for rank in range(size)]
                 for _ in range(sets)]
        self.ranks = []
        for index, ip in enumerate(ips):
            rank = Rank(index, [first[s][index] for s in range(sets)])
            rank.assignment = first
            rank.counts = [[0] * experts for _ in range(sets)]
            rank.server = Server(ip, 0, lambda request, writer, rank=rank:
                                 self.serve(rank, request, writer))
            self.ranks.append(rank)

    async def start(self):
        for rank in self.ranks:
            await rank.server.start()
        self.task = asyncio.create_task(self.run())
        return self

    async def run(self):
        while True:
            if not self.traffic or any(rank.held == self.step + 1 for rank in self.ranks):
                await asyncio.sleep(0.005)
                continue
            self.begin_pass()
            await asyncio.sleep(self.pass_s)

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                version, assignment = rank.prepared
                rank.map, rank.assignment = version, assignment
                rank.experts = [assignment[s][rank.index] for s in range(self.sets)]
                rank.prepared = rank.armed = None
                self.case.record.line(f"rank {rank.index} uses map {version} from pass "
                                      f"{self.step} on")
        first = self.ranks[0]
        different = [rank.index for rank in self.ranks
                     if rank.map != first.map or rank.assignment != first.assignment]
        if different:
            self.mismatches.append(self.step)
            if len(self.mismatches) == 1:
                self.case.record.line(
                    f"pass {self.step} begins while the maps differ: "
                    + ", ".join(f"rank {rank.index} has version {rank.map}, content "
                                f"{digest(rank.assignment)}"
                                for rank in self.ranks))
        choices = self.demand(self.step)
        for rank in self.ranks:
            for counts, more in zip(rank.counts, choices):
                for expert, count in enumerate(more):
                    counts[expert] += count

    def settle(self, rank):
        if rank.copying and time.monotonic() >= rank.copying[2]:
            rank.prepared = rank.copying[:2]
            rank.copying = None
            self.case.record.line(f"rank {rank.index} has prepared {rank.prepared[0]}")

    async def serve(self, rank, request, writer):
        self.settle(rank)
        status, body = 200, {}
        if request.target == "/api/report":
            body = self.report(rank)
        elif request.target == "/api/order":
            order = json.loads(request.body)
            self.orders.append((rank.index, order))
            if self.order_filter(rank, order):
                return False
            status = self.carry_out(rank, order)
        elif "lists" in request.target:
            body = {"step": self.step, "epoch": self.epoch,
                    "map": {"version": rank.map, "experts": rank.experts},
                    "prepared": rank.prepared and {
                        "version": rank.prepared[0],
                        "experts": [rank.prepared[1][s][rank.index] for s in range(self.sets)]}}
        else:
            body = {"step": self.step, "epoch": self.epoch, "counts": rank.counts}
        writer.write(encode(f"HTTP/1.1 {status} x", [("Content-Type", "application/json")],
                            json.dumps(body).encode()))
        await writer.drain()
        return True

    def report(self, rank):
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": rank.copying is not None, "sequence": rank.sequence,
            "waiting_requests": 0, "running_requests": 0, "kv_cache_used": 0,
            "kv_cache_total": 280000, "handles": 0, "pace": 1.0,
            "group": {"name": "g", "epoch": self.epoch, "rank": rank.index, "state": "open"},
            "size": len(self.ranks), "step": self.step, "map": rank.map,
            "prepared": rank.prepared[0] if rank.prepared else None,
            "armed": rank.armed and {"version": rank.armed[0], "step": rank.armed[1]},
            "held": rank.held, "born": 1,
        }

    def carry_out(self, rank, order):
        self.settle(rank)
        status = self.decide(rank, order)
        if status == 202:
            rank.sequence += 1
        shown = {name: value for name, value in order.items() if name != "map"}
        if "map" in order:
            shown["content"] = digest(order["map"])
        self.case.record.line(f"order to rank {rank.index}: {json.dumps(shown)} -> {status}")
        return status

    def decide(self, rank, order):
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        if order.get("expect", rank.sequence) != rank.sequence:
            return 409
        operation, version, step = order["operation"], order.get("version"), order.get("step")
        if operation == "prepare":
            if version <= rank.highest or rank.armed:
                return 409
            held = [set(each) for each in rank.experts]
            if rank.prepared:
                for s in range(self.sets):
                    held[s] |= set(rank.prepared[1][s][rank.index])
            wanted = [set(order["map"][s][rank.index]) for s in range(self.sets)]
            if any(len(wanted[s] - set(rank.experts[s])) > self.spare
                   or len(wanted[s]) > self.places for s in range(self.sets)):
                return 409
            new = sum(len(wanted[s] - held[s]) for s in range(self.sets))
            rank.highest = version
            rank.copying = (version, order["map"], time.monotonic() + new * self.copy_s)
            self.settle(rank)
            return 202
        if operation == "arm":
            if rank.armed == (version, step):
                return 200
            if rank.armed or not rank.prepared or rank.prepared[0] != version or step <= self.step:
                return 409
            rank.armed = (version, step)
            return 202
        if operation == "disarm":
            if rank.map == version:
                return 409
            if not rank.armed or rank.armed[0] != version:
                return 200
            rank.armed = None
            return 202
        if operation == "hold":
            if rank.held == step:
                return 200
            if rank.held is not None or step <= self.step:
                return 409
            rank.held = step
            return 202
        if operation == "go":
            if rank.held != step:
                return 200
            rank.held = None
            return 202
        return 400
