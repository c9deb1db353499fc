"""LOST: replicas lose a few answers while batch jobs of one item come one after the other."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "fleet2"))
from world import *  # noqa: E402,F403

FOR_S = 4.0      # answer_lost: for_s
LOSE_EVERY = 20  # x = 0.05
PERIODS = 6      # One of the three replicas at a time: share 0.5, rounded down.


async def run_job(world, number):
    """Hands in a batch job of one item and reads until it is listed. @return its id and whether it was listed."""
    fronts = world.fronts()
    batch_id, items = world.make_batch("/audit/", 1)
    accepted = await world.submit(fronts[number % len(fronts)], "/audit/", batch_id, items)
    if accepted is None or accepted.status != 202:
        raise CannotRun("the batch job was not accepted")
    until = world.now() + 12
    while world.now() < until:
        listed = await world.read(fronts[0], batch_id)
        if listed and listed["results"]:
            return batch_id, True
        await asyncio.sleep(0.01)
    return batch_id, False


async def scenario(world):
    world.build_small()
    await world.start()
    replicas = [await world.add_replica("tokens", zone, slots=8, events=2, pause=0.005) for zone in ZONES]
    await world.begin([batch_route("r-audit", "/audit/", "tokens")], [model_service("tokens")])
    number = 0
    for period in range(PERIODS):
        hit = replicas[period % len(replicas)]
        if TROUBLE:
            world.note("platform", f"answer_lost (reset) at {hit.id} in {hit.zone} begins")
            hit.lose_every = LOSE_EVERY
        until = world.now() + FOR_S
        open_job = None
        while world.now() < until and open_job is None:
            batch_id, listed = await run_job(world, number)
            open_job = None if listed else batch_id
            number += 1
        hit.lose_every = 0
        world.note("platform", f"answer_lost ends; answers lost so far: {sum(r.lost for r in replicas)} of "
                               f"{sum(len(r.runs) for r in replicas)}")
        if open_job is not None:
            return await world.check_answered(open_job, replicas)
    world.note("check", f"{number} batch jobs were completed")
    return None


play(HERE, scenario)
