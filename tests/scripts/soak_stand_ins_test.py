#!/usr/bin/env python3
"""Tests of what the soaks share that needs no processes: the end of the stand-ins' tasks."""
import asyncio
import unittest

from load_script import load_script

STAND_INS = load_script("soak_stand_ins.py")
LIMIT_S = 10


async def ignore_one_cancellation():
    try:
        await asyncio.sleep(3600)
    except asyncio.CancelledError:
        await asyncio.sleep(3600)


async def start_task():
    task = asyncio.create_task(ignore_one_cancellation())
    await asyncio.sleep(0)
    return task


class CancelTasksTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a soak that never ends, since a client went on after its cancellation (issue 51).
    async def test_ends_a_task_that_ignored_its_cancellation(self):
        task = await start_task()
        await asyncio.wait_for(STAND_INS.cancel_tasks([task]), LIMIT_S)
        self.assertTrue(task.cancelled())

    async def test_accepts_that_there_is_no_task(self):
        await asyncio.wait_for(STAND_INS.cancel_tasks([]), LIMIT_S)

    def test_ends_what_is_left_when_a_soak_ends(self):
        async def play():
            task = await start_task()
            await STAND_INS.cancel_other_tasks()
            return task

        self.assertTrue(asyncio.run(play()).cancelled())

    async def test_reports_no_error_of_a_cancelled_task(self):
        async def fail():
            raise ValueError

        await asyncio.wait_for(STAND_INS.cancel_tasks([asyncio.create_task(fail())]), LIMIT_S)


if __name__ == "__main__":
    unittest.main()
