"""Two ranks begin a pass with the same map version and different experts."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from ranks import Group  # noqa: E402
from standin import ENGINE, TROUBLE, NotRun, configuration, free_ports, main  # noqa: E402

# further/ztdp-wisteria: 12 ranks, 3 sets of 96 experts, 2,200 MB over 44,000 Mbit/s.
RANKS, SETS, EXPERTS, PLACES, SPARE = 12, 3, 96, 11, 4
COPY_S, PASS_S = 0.4, 0.06
CHANGES = {"slots": 12, "kv_cache_tokens": 280000, "link_mbps": 44000.0, "stride": 4,
           "step_ms": 4.55, "per_seq_ms": 0.905, "sets": SETS, "experts": EXPERTS,
           "places": PLACES, "spare": SPARE, "expert_mb": 2200.0}

SHIFT_SHARE = 0.65  # the site's own `expert_shift`
LATE_S = 2.0  # an order without an answer is carried out 2 to 12 s later
RESTART_S = 1.75


def liked(seed, choices=4096):
    """Choices of a pass by set and expert."""
    rng = random.Random(seed)
    found = []
    for _ in range(SETS):
        weights = [rng.paretovariate(1.0) for _ in range(EXPERTS)]
        found.append([int(choices * weight / sum(weights)) for weight in weights])
    return found


def shifted(seed, share):
    """The first demand, with the choices of a share of the experts dealt anew."""
    rng = random.Random(seed)
    found = liked(1)
    for choices in found:
        chosen = rng.sample(range(EXPERTS), int(share * EXPERTS))
        dealt = [choices[expert] for expert in chosen]
        rng.shuffle(dealt)
        for expert, count in zip(chosen, dealt):
            choices[expert] = count
    return found


class Trouble:
    """Leaves the first hold, and the next map's prepare order to the same rank, without
    an answer, and kills the leader that ordered the hold."""

    def __init__(self, case, group, leader):
        self.case, self.group, self.leader = case, group, leader
        self.first_version = 0
        self.hold = self.holder = self.held_at = None
        self.second_version = 0
        self.prepares = []
        self.over = False

    def filter(self, rank, order):
        if order["operation"] == "prepare" and not self.first_version:
            self.first_version = order["version"]
            # Other experts are in demand from now on.
            self.group.demand = lambda step: shifted(4, SHIFT_SHARE)
        if not TROUBLE:
            return False
        if order["operation"] == "hold" and self.hold is None:
            self.hold, self.holder, self.held_at = order, rank, time.monotonic()
            self.case.record.line(f"hold of pass {order['step']} at rank {rank.index} gets no "
                                  f"answer; the last pass is {self.group.step}")
            self.group.traffic = False
            self.leader.kill()
            return True
        is_next = order["operation"] == "prepare" and order["version"] > self.first_version
        if self.hold and not self.over and is_next:
            if not self.second_version:
                self.second_version = order["version"]
                self.case.record.line(f"map {order['version']} is planned")
            if rank is self.holder:
                self.case.record.line(f"prepare order to rank {rank.index} gets no answer")
                self.prepares.append((time.monotonic(), order))
                return True
        return False

    async def play(self):
        group = self.group
        while self.hold is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(RESTART_S)
        self.leader.start()
        # A few passes, all before the one that the late hold names.
        next_pass = time.monotonic() + 0.3
        while time.monotonic() < self.held_at + LATE_S + 6 and not self.second_version:
            await asyncio.sleep(0.002)
            if time.monotonic() >= next_pass and group.step < self.hold["step"] - 1:
                group.begin_pass()
                next_pass += 0.3
        await asyncio.sleep(max(0.06, self.held_at + LATE_S - time.monotonic()))
        late = time.monotonic() - self.held_at
        self.case.record.line(f"the hold is carried out {late:.2f} s after it was sent")
        group.carry_out(self.holder, self.hold)
        self.over = True
        await asyncio.sleep(LATE_S)
        for _, order in self.prepares:
            group.carry_out(self.holder, order)


async def play(case):
    await case.open_store()
    config = configuration()
    config["services"][0]["engine"] = {**ENGINE, **CHANGES}
    case.store.put("config", "main", config)
    ips = [f"127.0.2.{1 + index}" for index in range(RANKS)]
    group = Group(case, ips, SETS, EXPERTS, PLACES, SPARE, COPY_S, PASS_S,
                  lambda step: liked(1))
    await group.start()
    link, operations = free_ports("127.0.0.1", 2)
    agents = []
    for index, ip in enumerate(ips):
        zone = f"ljubljana-{'abc'[index // 4]}"
        agents.append(case.process(f"side-{zone}-{1 + index % 4}", "agent", {
            "ip_address": ip, "zone": zone, "app": group.ranks[index].server.address,
            "service": "fit-advisor", "internal_ports": [link, operations],
            "limits": {"link_mbps": 20.0}}))
    for agent in agents:
        agent.start()
    await asyncio.sleep(10)
    trouble = Trouble(case, group, agents[0])
    group.order_filter = trouble.filter
    group.traffic = True
    if TROUBLE:
        await trouble.play()
        group.traffic = True
    await asyncio.sleep(8)
    late = len(trouble.prepares) + (trouble.hold is not None)
    case.record.line(f"{group.step} passes, {len(group.mismatches)} of them with maps that "
                     f"differ; {len(group.orders)} orders, {late} of them late")
    if TROUBLE and not trouble.second_version:
        raise NotRun("the leader planned no second map")
    return bool(group.mismatches)


main(FOLDER, play)
