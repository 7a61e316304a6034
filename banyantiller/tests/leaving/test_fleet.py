"""A fleet on a simulated clock: all daemons stop in time, and resume."""

import asyncio
import random
from typing import Any

from banyantiller.bundle import options
from banyantiller.leaving import task
from banyantiller.membership import messages
from banyantiller.tests import base
from banyantiller.vmlist import interface, memory

SIZE = 14
LINKS = 4
STOP_WITHIN_S = 3.0
SERVER = options.BackendServer("s1", "127.0.0.1", 80, vm="vm1")
SERVICE = options.Service("registry", (SERVER,))
LIVE = interface.Vm("vm1", "127.0.0.1", "z1", interface.VmState.LIVE)


class Node:
    """One daemon; records when it stopped sending to the server."""

    def __init__(self, fleet: "Fleet", index: int) -> None:
        self.index = index
        self.fleet = fleet
        self.stopped_at: float | None = None
        self.part = task.LeavingServers.from_settings(
            fleet.vms[index],
            1.0,
            task.Callbacks(
                self.stop_sending, self.resume_sending, self.publish
            ),
        )
        self.part.configure([SERVICE])
        self.tasks = [
            asyncio.create_task(self.part.run()),
            asyncio.create_task(self.part.poll_vm_list()),
        ]

    def stop_sending(self, service: str, server: str, reason: str) -> None:
        self.stopped_at = asyncio.get_running_loop().time()

    def resume_sending(self, service: str, server: str) -> None:
        self.stopped_at = None

    def publish(self, message: Any) -> None:
        for peer in self.fleet.links[self.index]:
            self.fleet.send(peer, messages.encode(message))

    def stop(self) -> None:
        for running in self.tasks:
            running.cancel()


class Fleet:
    """Daemons with a few links each, over a network that loses messages."""

    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.sent = 0
        self.vms = [memory.MemoryVmList((LIVE,), 1.0) for _ in range(SIZE)]
        self.links: list[set[int]] = [set() for _ in range(SIZE)]
        for index in range(SIZE):
            peers = [peer for peer in range(SIZE) if peer != index]
            for peer in self.random.sample(peers, LINKS // 2):
                self.links[index].add(peer)
                self.links[peer].add(index)
        self.nodes = [Node(self, index) for index in range(SIZE)]

    def send(self, to: int, data: bytes) -> None:
        self.sent += 1
        if self.random.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        delay_s = self.random.uniform(0.001, 0.005)
        loop.call_later(delay_s, self.deliver, to, data)

    def deliver(self, to: int, data: bytes) -> None:
        self.nodes[to].part.receive_message(messages.decode(data))

    def restart(self, index: int) -> None:
        self.nodes[index].stop()
        self.nodes[index] = Node(self, index)

    def stop(self) -> None:
        for node in self.nodes:
            node.stop()

    def slowest_stop(self) -> float:
        """Returns when the last daemon stopped sending; all must have."""
        return max(node.stopped_at for node in self.nodes)

    def count_sending(self) -> int:
        return sum(node.stopped_at is None for node in self.nodes)


class FleetTest(base.TestCase):
    def test_one_daemon_learns_and_all_stop_in_time(self) -> None:
        async def scenario(seed: int, loss: float, list_down: bool) -> None:
            fleet = Fleet(seed, loss)
            for vms in fleet.vms:
                vms.down = list_down
            await asyncio.sleep(10)
            fleet.nodes[0].part.record_draining("registry", "s1")
            await asyncio.sleep(STOP_WITHIN_S)
            self.assertEqual(0, fleet.count_sending())
            self.assertTrue(fleet.slowest_stop() <= 10 + STOP_WITHIN_S)
            await asyncio.sleep(150)
            self.assertEqual(0, fleet.count_sending())
            fleet.stop()

        for seed in range(10):
            for loss in (0.0, 0.3):
                self.run_paused(scenario(seed, loss, list_down=seed % 2 == 0))

    def test_return_reaches_all_and_stays_without_more_messages(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet(1)
            fleet.nodes[0].part.record_draining("registry", "s1")
            await asyncio.sleep(60)
            now = asyncio.get_running_loop().time()
            fleet.nodes[3].part.record_not_draining("registry", "s1", now)
            await asyncio.sleep(2)
            self.assertEqual(SIZE, fleet.count_sending())
            sent = fleet.sent
            await asyncio.sleep(600)
            self.assertEqual(SIZE, fleet.count_sending())
            self.assertEqual(sent, fleet.sent)
            fleet.stop()

        self.run_paused(scenario())

    def test_new_daemon_learns_from_a_reminder(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(2)
            fleet.nodes[0].part.record_draining("registry", "s1")
            await asyncio.sleep(100)
            fleet.restart(7)
            await asyncio.sleep(6)
            self.assertEqual(0, fleet.count_sending())
            fleet.stop()

        self.run_paused(scenario())

    def test_notice_of_a_restarted_daemon_expires(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(3, loss=0.1)
            fleet.nodes[0].part.record_draining("registry", "s1")
            await asyncio.sleep(50)
            fleet.restart(0)
            await asyncio.sleep(60)
            self.assertEqual(SIZE, fleet.count_sending())
            fleet.stop()

        self.run_paused(scenario())

    def test_vm_list_read_by_some_daemons_stops_all(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(4)
            for index in range(1, SIZE):
                fleet.vms[index].down = index % 2 == 0
            leaving = LIVE._replace(state=interface.VmState.LEAVING)
            for vms in fleet.vms[:7]:
                vms.put(leaving)
            await asyncio.sleep(STOP_WITHIN_S)
            self.assertEqual(0, fleet.count_sending())
            fleet.stop()

        self.run_paused(scenario())

    def test_number_of_messages_is_bounded_while_a_server_leaves(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(5)
            fleet.nodes[0].part.record_draining("registry", "s1")
            await asyncio.sleep(100)
            links = sum(len(linked) for linked in fleet.links)
            self.assertTrue(fleet.sent <= links * (4 + 100 / 5 + 1))
            self.assertTrue(fleet.sent >= links * 4)
            fleet.stop()

        self.run_paused(scenario())
