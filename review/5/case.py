"""ROUTE: an operator replaces two routes by name while accepted work of the old routes waits."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "fleet2"))
from world import *  # noqa: E402,F403


async def scenario(world):
    world.build_small()
    await world.start()
    tokens = await world.add_replica("tokens", "zone-a", slots=2, events=5, pause=0.4)
    saves = await world.add_replica("saves", "zone-a", slots=1, events=0, pause=1.0)
    notes = await world.add_replica("notes", "zone-b", slots=6, events=0)
    mail = await world.add_replica("mail", "zone-c", slots=6, events=0)
    await world.begin([batch_route("r-1", "/audit/", "tokens"), safe_route("r-2", "/read/", "saves")],
                      [model_service("tokens"), plain_service("saves"), plain_service("notes"),
                       plain_service("mail")])
    fronts = world.fronts()
    batch_id, items = world.make_batch("/audit/", 20)
    accepted = await world.submit(fronts[0], "/audit/", batch_id, items)
    if accepted is None or accepted.status != 202:
        raise CannotRun("the batch job was not accepted")
    # Four reads at a replica that works on one at a time: three wait at the front.
    reads = [asyncio.create_task(world.call(fronts[1], f"/read/{number}")) for number in range(4)]
    await asyncio.sleep(0.5)
    if TROUBLE:
        changed = await world.patch(upsert={"routes": [safe_route("r-1", "/notes/", "notes"),
                                                       safe_route("r-2", "/mail/", "mail")]})
        if changed is None or changed.status != 200:
            raise CannotRun("the change was not taken")
    await asyncio.gather(*reads)
    await asyncio.sleep(5)
    await world.read(fronts[2], batch_id)
    allowed = {"/audit/": tokens, "/read/": saves}
    wrong = [run for replica in (tokens, saves, notes, mail) for run in replica.runs
             if allowed.get(run["path"][:run["path"].index("/", 1) + 1]) is not replica]
    for prefix in allowed:
        count = sum(run["path"].startswith(prefix) for run in wrong)
        world.note("check", f"{count} runs of requests for {prefix} at a service that no configuration allows")
    if wrong:
        return f"{len(wrong)} runs at services that no configuration ever sent allows"


play(HERE, scenario)
