"""Organisations that share servers which are short of capacity."""

import asyncio
import collections
import math
import random
from types import SimpleNamespace

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    allowance_grants,
    allowance_link,
    allowances,
    relays,
    routes,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import service_load

SEEDS = ("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003")
SERVICE = "feed"
# Requests a second of all 84 organisations, of which the last ones send one in
# two seconds, and the largest a fifth of all.
TOTAL_PER_S = 310.0
ORGANISATIONS = 84
SMALLEST_PER_S = 0.5
WORK_S = 0.25
# Share of the slots that is used without a surge.
USUAL_USE = 0.5
# Servers of which more slots are taken are slower by this factor.
BUSY_SHARE = 0.8
BUSY_SLOWNESS = 1.7
# Time for which requests wait for a slot, and age of the loads at relays.
WAIT_S = 0.4
LOAD_AGE_S = 0.75
SAMPLE_S = 0.05


class Servers:
    """All servers of the service, with one queue.

    Attributes:
        slots: Requests that they execute at once.
        busy: Requests that they execute.
        samples: Loop time and share of free slots, in turn.
    """

    def __init__(self, slots):
        self.slots = slots
        self.busy = 0
        self.waiting = collections.deque()
        self.samples = collections.deque(maxlen=400)
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Executes a request; returns whether it got a slot in time."""
        if self.busy >= self.slots:
            turn = self.loop.create_future()
            self.waiting.append(turn)
            try:
                async with asyncio.timeout(WAIT_S):
                    await turn
            except TimeoutError:
                return False
        self.busy += 1
        slow = self.busy > BUSY_SHARE * self.slots
        await asyncio.sleep(WORK_S * (BUSY_SLOWNESS if slow else 1.0))
        self.busy -= 1
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        return True

    async def sample(self):
        """Records the share of free slots until it is cancelled."""
        while True:
            free = max(0.0, 1 - self.busy / self.slots)
            self.samples.append((self.loop.time(), free))
            await asyncio.sleep(SAMPLE_S)

    def load(self, now, age_s):
        """Returns the load as relays know it."""
        old = [free for at, free in self.samples if at <= now - age_s]
        recent = old[-10:]
        if not recent:
            return None
        free = sum(recent) / len(recent)
        return service_load.ZoneLoad(
            50, free, free, 0.0, 0.0, 0.0, 100.0, age_s
        )


class Counts:
    """Requests of one organisation, by second."""

    def __init__(self):
        self.asked = collections.Counter()
        self.over_share = collections.Counter()
        self.served = collections.Counter()


class Fleet:
    """Daemons, three relays, organisations and the servers of one service.

    Attributes:
        usual: Usual requests a second by organisation.
        factors: Factors on them, by organisation.
        relays: Grants of each relay, or None while it is lost.
        load_known: Whether relays know the load.
        load_age_s: Age of the load that they know.
        service: Service that daemons name; empty for the previous build.
        counts: Counts by organisation.
        limits: Limits of the first organisation over the relays, by time.
        levels: Mean level of the relays, by time.
        messages: Number of messages to relays, by second.
    """

    def __init__(
        self,
        daemons=135,
        use=USUAL_USE,
        seed=1,
        load_known=True,
        load_age_s=LOAD_AGE_S,
        service=SERVICE,
    ):
        self.load_known = load_known
        self.load_age_s = load_age_s
        self.service = service
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        sizes = [1 / (k + 1) ** 1.1 for k in range(ORGANISATIONS)]
        scale = TOTAL_PER_S / sum(sizes)
        self.usual = {
            f"o{k}": max(SMALLEST_PER_S, size * scale)
            for k, size in enumerate(sizes)
        }
        self.organisations = {
            name: types.Organisation(
                name, (), None, per_s * self.random.uniform(8, 12), per_s * 8
            )
            for name, per_s in self.usual.items()
        }
        self.factors = dict.fromkeys(self.usual, 1.0)
        self.servers = Servers(round(TOTAL_PER_S * WORK_S / use))
        self.counts = collections.defaultdict(Counts)
        self.limits = []
        self.levels = []
        self.messages = collections.Counter()
        self.relays = {}
        for index in range(len(SEEDS)):
            self.start_relay(index)
        self.daemons = [self.make_daemon(number) for number in range(daemons)]

    def start_relay(self, index):
        """Starts a relay that knows nothing of earlier grants."""
        document = types.Document(
            1,
            (),
            {SERVICE: types.Service(SERVICE, "/health", 9)},
            organisations=tuple(self.organisations.values()),
        )
        view = SimpleNamespace(routes=routes.RouteTable(document))
        settings = self.settings(SEEDS[index])
        fleet_relays = relays.Relays.from_settings(settings, random.Random(1))
        self.relays[index] = allowance_grants.RelayGrants(
            view,
            fleet_relays,
            lambda: settings,
            lambda service, now: self.load(now),
        )

    def load(self, now):
        """Returns what relays know of the load, or None."""
        return (
            self.servers.load(now, self.load_age_s) if self.load_known else None
        )

    def total(self, kind, names, seconds):
        """Returns a count of organisations over some seconds."""
        return sum(
            getattr(self.counts[name], kind)[second]
            for name in names
            for second in seconds
        )

    def served_share(self, names, seconds):
        """Returns the share of the requests that were served."""
        asked = self.total("asked", names, seconds)
        return self.total("served", names, seconds) / asked

    def settings(self, control=""):
        """Returns the settings of a daemon."""
        return options.Settings(
            daemon="d",
            zone="z",
            callers="",
            ready="",
            store="",
            control=control,
            seeds=SEEDS,
            allowance_slack=20,
        )

    def make_daemon(self, number):
        """Returns the allowances of a daemon that is no relay itself."""
        settings = self.settings()
        rng = random.Random(number)
        fleet_relays = relays.Relays.from_settings(settings, random.Random(1))
        found = allowances.Allowances(None, fleet_relays, lambda: settings, rng)
        found.links = [
            allowance_link.RelayLink(
                lambda fields, index=index: self.send(index, fields)
            )
            for index in range(len(SEEDS))
        ]
        return found

    async def send(self, index, fields):
        """Delivers a message in 2 ms; lost relays time out."""
        self.messages[self.second()] += 1
        if self.relays[index] is None:
            await asyncio.sleep(allowance_link.ASK_TIMEOUT_S)
            return None
        await asyncio.sleep(0.001)
        reply = self.relays[index].grant(fields)
        await asyncio.sleep(0.001)
        return reply

    def second(self):
        """Returns the number of whole seconds since the start."""
        return math.floor(self.loop.time() - self.began)

    async def play(self, for_s):
        """Sends requests of all organisations to random daemons."""
        tasks = [
            self.loop.create_task(self.send_requests(name, for_s))
            for name in self.usual
        ]
        tasks.append(self.loop.create_task(self.keep_house(for_s)))
        sampling = self.loop.create_task(self.servers.sample())
        await asyncio.gather(*tasks)
        sampling.cancel()

    async def send_requests(self, name, for_s):
        """Sends the requests of one organisation at random times."""
        until = self.loop.time() + for_s
        requests = []
        while True:
            per_s = self.usual[name] * self.factors[name]
            await asyncio.sleep(self.random.expovariate(per_s))
            if self.loop.time() >= until:
                break
            daemon = self.random.choice(self.daemons)
            requests.append(self.loop.create_task(self.request(name, daemon)))
        await asyncio.gather(*requests)

    async def request(self, name, daemon):
        """Sends one request."""
        counts, second = self.counts[name], self.second()
        counts.asked[second] += 1
        organisation = self.organisations[name]
        admission = await daemon.admit(organisation, self.service)
        if admission.error_kind is ErrorKind.NO_SERVER:
            counts.over_share[second] += 1
        elif admission.error_kind is None:
            if await self.servers.run():
                counts.served[second] += 1
            else:
                daemon.give_back(organisation, admission)

    async def keep_house(self, for_s):
        """Runs the housekeeping of relays, and records limits."""
        until = self.loop.time() + for_s
        while self.loop.time() < until:
            now = self.loop.time()
            running = [one for one in self.relays.values() if one is not None]
            for relay in running:
                relay.expire(now)
            at = now - self.began
            found = [relay.shares.by_service.get(SERVICE) for relay in running]
            if all(found):
                uses = [one.by_organisation.get("o0") for one in found]
                limits = [use.limit if use else math.inf for use in uses]
                self.limits.append((at, sum(limits)))
                levels = [one.level for one in found]
                self.levels.append((at, sum(levels) / len(SEEDS)))
            await asyncio.sleep(0.25)
