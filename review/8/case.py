"""LOST: the answer to a batch job is lost; an operator changes the route's limit; the client sends the job again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "fleet2"))
from world import *  # noqa: E402,F403


async def scenario(world):
    world.build_small()
    await world.start()
    await world.add_replica("tokens", "zone-a", slots=8, events=10, pause=0.2)
    await world.begin([batch_route("r-audit", "/audit/", "tokens", max_queued=1400000)],
                      [model_service("tokens")])
    fronts = world.fronts()
    batch_id, items = world.make_batch("/audit/", 20)
    accepted = await world.submit(fronts[0], "/audit/", batch_id, items)
    if accepted is None or accepted.status != 202:
        raise CannotRun("the batch job was not accepted")
    if TROUBLE:
        changed = await world.patch(upsert={"routes": [batch_route("r-audit", "/audit/", "tokens",
                                                                   max_queued=1700000)]})
        if changed is None or changed.status != 200:
            raise CannotRun("the change was not taken")
    await asyncio.sleep(1.5)  # More than settle_ms.
    answers = []
    for machine in fronts[1:4]:
        answer = await world.submit(machine, "/audit/", batch_id, items)
        answers.append(answer.status if answer else None)
    await world.read(fronts[0], batch_id)
    turned_away = [status for status in answers if status is not None and 400 <= status < 500]
    if len(turned_away) >= 3:
        return f"the accepted batch job was turned away when it came again: {answers}"


play(HERE, scenario)
