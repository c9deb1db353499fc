"""A machine that slept through the end of one evacuation carries it out during the next one (EVAC)."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

ZONE = s.ZONES[2]
FREEZE_S = 3.2  # node_freeze in the site file: for_s = 3.2
CALLS_PER_S = 40
WATCH_S = 6.0  # How long the calls go on after the bound of the second evacuation has passed.


async def live_calls(deployment):
    """Clients call the machines that are not frozen, on new connections."""
    numbers = iter(range(1, 1_000_000))
    tasks = set()
    while True:
        number = next(numbers)
        machine = deployment.random.choice([front for front in deployment.fronts if not front.frozen])
        task = asyncio.create_task(deployment.live_call(number, machine))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / CALLS_PER_S)


async def main(deployment):
    await deployment.start(s.configuration(1, [s.stream_route("live", "/live/")], [s.service("kertoja")]))
    calls = asyncio.create_task(live_calls(deployment))
    sleeper = deployment.fronts[-1]  # Without a disk: its loss does not count.
    others = [machine for machine in deployment.fronts[3:] if machine is not sleeper]
    start, end = f"/evacuate/{ZONE}/start", f"/evacuate/{ZONE}/end"
    await asyncio.sleep(2)
    await deployment.order_until_acknowledged(start, others[:1])
    await asyncio.sleep(s.EVAC_S)

    if s.trouble():
        sleeper.freeze()
        thaw = asyncio.get_running_loop().call_later(FREEZE_S, sleeper.thaw)
    # The operator takes the evacuation back. It happens to ask the sleeping machine first.
    taken_back = await deployment.order_until_acknowledged(end, [sleeper, *others])
    # The zone is still not well, so the operator evacuates it once more.
    evacuated = await deployment.order_until_acknowledged(start, others)
    deployment.record.write("second_evacuation", taken_back=f"{taken_back:.3f}", acknowledged=f"{evacuated:.3f}")
    if s.trouble() and not sleeper.frozen:
        thaw.cancel()
        raise s.CannotRun("the machine woke before the second evacuation was acknowledged")
    await asyncio.sleep(max(s.EVAC_S, FREEZE_S) + WATCH_S)
    calls.cancel()
    return find_breaches(deployment, sleeper, evacuated)


def find_breaches(deployment, sleeper, evacuated):
    """EVAC: a request from a machine in touch reaches a replica of the zone later than evac_ms after the ack."""
    names = {machine.address: machine.name for machine in deployment.fronts}
    late = [(at, names[sender], request, replica.id) for replica in deployment.replicas if replica.zone == ZONE
            for at, sender, request, _ in replica.runs
            if at > evacuated + s.EVAC_S and sender != sleeper.address]
    served = sum(at > evacuated + s.EVAC_S for replica in deployment.replicas for at, *_ in replica.runs)
    if served == 0:
        raise s.CannotRun("no request was served after the evacuation")
    if not late:
        return []
    first = min(late)
    return [f"{len(late)} of {served} requests reached replicas of {ZONE} more than {s.EVAC_S:.0f} s after its "
            f"evacuation was acknowledged and before it was taken back, from {len({name for _, name, *_ in late})} "
            f"machines that were never disturbed; the first {first[0] - evacuated:.3f} s after the acknowledgement, "
            f"request {first[2]} from {first[1]} to {first[3]}"]


s.run_case(main)
