"""LOST: an operator gives a batch route another name while items of an accepted batch job wait."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "fleet2"))
from world import *  # noqa: E402,F403


async def scenario(world):
    world.build_small()
    await world.start()
    replica = await world.add_replica("tokens", "zone-a", slots=2, events=5, pause=0.1)
    await world.add_replica("saves", "zone-b", events=0)
    await world.begin([batch_route("r-audit", "/audit/", "tokens"), safe_route("r-read", "/read/", "saves")],
                      [model_service("tokens"), plain_service("saves")])
    fronts = world.fronts()
    batch_id, items = world.make_batch("/audit/", 20)
    accepted = await world.submit(fronts[0], "/audit/", batch_id, items)
    if accepted is None or accepted.status != 202:
        raise CannotRun("the batch job was not accepted")
    await asyncio.sleep(1.2)  # More than settle_ms.
    if TROUBLE:
        # The same host, prefix, service and limits; only the name differs.
        changed = await world.patch(upsert={"routes": [batch_route("r-audits", "/audit/", "tokens")]},
                                    remove={"routes": ["r-audit"]})
        if changed is None or changed.status != 200:
            raise CannotRun("the change was not taken")
    return await world.check_answered(batch_id, [replica])


play(HERE, scenario)
