"""Stand-in of a service: a primary and its replicas behind the line protocol.

It does what PROTOCOL.md says of instances; they keep their logs.
"""

import asyncio
import itertools
import json
import random

_ids = itertools.count(1)


class Database:
    """The instances of one service.

    Attributes
    ----------
    arrivals : list of dict
        Statements of clients as they reached an instance: time, instance, request id,
        text, and whether the connection was inside a transaction.
    commits : list of dict
        Commits that wrote: time, instance, term, number, and the writes.
    logs_read : dict of str to list of dict
        Log of the instance as a read ran there, by the read's request id.
    lists : dict of str to list of str
        Rows of the items that have more than one.
    promotions : list of (float, str, int)
        Time at which an instance began to lead, the instance and its term.
    """

    def __init__(self, name, now, platform, *, lag=0.02, promote=0.6, seed=1) -> None:
        self.name = name
        self.now = now
        self.platform = platform
        self.lag = lag
        self.promote_seconds = promote
        self.random = random.Random(seed)
        self.instances: dict[str, Instance] = {}
        self.term = 1
        self.arrivals: list[dict] = []
        self.logs_read: dict[str, list[dict]] = {}
        self.lists: dict[str, list[str]] = {}
        self.commits: list[dict] = []
        self.promotions: list = []
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work) -> None:
        """Run a coroutine as a task that is kept."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def add(self, place, *, slots, limit, work, heartbeat, address=None, log=()):
        """Start an instance; the first one leads."""
        instance = Instance(self, place, slots, limit, work, heartbeat)
        instance.leads = not self.instances
        instance.term = self.term
        instance.log = list(log)
        self.instances[instance.id] = instance
        await instance.listen(address)
        return instance

    async def promote(self, name: str) -> bool:
        """Let an instance lead the next term with what it has received."""
        target = self.instances.get(name)
        if target is None or not target.running:
            return False
        if target.leads and target.term == self.term:
            return True
        await asyncio.sleep(self.promote_seconds)
        if not target.running:
            return False
        if target.leads and target.term == self.term:
            return True
        self.term += 1
        old = [i for i in self.instances.values() if i.leads and i is not target]
        target.leads, target.term = True, self.term
        target.promoted_at = self.now()
        self.promotions.append((self.now(), target.id, self.term))
        for other in self.instances.values():
            if other is not target and not other.leads:
                other.follow(target)
        target.register()
        for instance in old:
            self.spawn(self._step_down(instance, self.term))
        return True

    async def _step_down(self, instance, term: int) -> None:
        await asyncio.sleep(1.0)
        if instance.running and instance.term < term:
            instance.follow(self.leader())

    def leader(self):
        """Return the instance that leads the newest term."""
        leading = [i for i in self.instances.values() if i.leads]
        return max(leading, key=lambda i: i.term)

    async def deliver(self, source, entry) -> None:
        """Bring a commit to the replicas."""
        await asyncio.sleep(self.lag * self.random.uniform(0.5, 1.5))
        for instance in self.instances.values():
            if not instance.leads and instance.running and instance.term <= source.term:
                instance.term = source.term
                if len(instance.log) < entry["number"]:
                    instance.log = source.log[: entry["number"]]


class Instance:
    """One instance."""

    def __init__(self, database, place, slots, limit, work, heartbeat) -> None:
        self.id = f"i-{next(_ids):04x}"
        self.database = database
        self.place = place
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.limit = limit
        self.work = work
        self.heartbeat = heartbeat
        self.leads = False
        self.term = 1
        self.log: list[dict] = []
        self.running = False
        self.state = "ready"
        self.draining_at = None
        self.address = ""
        self.busy = 0
        self.sequence = 0
        self.connections: set[Session] = set()
        self._server = None
        self._beats = None
        self.born = 0

    async def listen(self, address=None) -> None:
        """Start, and register in the store."""
        host, port = ("127.0.0.1", 0)
        if address:
            host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=4 * 1024 * 1024
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.born = int(self.database.now() * 1000) + 1_700_000_000_000
        self.running = True
        self.sequence = 0
        self.register()
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def register(self) -> None:
        """Write the entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.database.name,
            "address": self.address,
            "zone": self.place,
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.leads else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }
        self.database.platform.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat)
            self.register()

    def drain(self) -> None:
        """Report a planned shutdown; the store accepts it now."""
        self.state = "draining"
        self.register()
        self.draining_at = self.database.now()

    def crash(self) -> None:
        """End at once; the entry goes after three heartbeat intervals."""
        self.stop(remove=False)

        async def forget():
            await asyncio.sleep(3 * self.heartbeat)
            if not self.running:
                self.database.platform.delete(f"servers/{self.id}")

        self.database.spawn(forget())

    def stop(self, *, remove: bool = True) -> None:
        """End the process."""
        self.running = False
        if self._beats is not None:
            self._beats.cancel()
        self._server.close()
        for session in list(self.connections):
            session.writer.transport.abort()
        if remove:
            self.database.platform.delete(f"servers/{self.id}")

    async def restart(self) -> None:
        """Start again with the log."""
        if self.term < self.database.term:
            self.follow(self.database.leader())
        await self.listen(self.address)

    def follow(self, leader) -> None:
        """Become a replica; what the leader lacks is rolled back."""
        changed = self.leads
        self.leads = False
        self.term = leader.term
        self.log = [entry for entry in self.log if entry in leader.log]
        if changed:
            for session in list(self.connections):
                session.lose_lead()
            self.register()

    @property
    def position(self):
        """Return term and number of the end of the log."""
        number = self.log[-1]["number"] if self.log else 0
        return (self.term, number)

    def find(self, item: str) -> str:
        """Return the data of an item."""
        for entry in reversed(self.log):
            for name, data, _ in entry["writes"]:
                if name == item:
                    return data
        return "-"

    def commit(self, writes) -> None:
        """Append a commit and send it to the replicas."""
        number = len(self.log) + 1
        entry = {"term": self.term, "number": number, "writes": tuple(writes)}
        self.log.append(entry)
        self.database.commits.append(
            {"at": self.database.now(), "instance": self.id, **entry}
        )
        self.database.spawn(self.database.deliver(self, entry))

    async def _serve(self, reader, writer) -> None:
        session = Session(self, reader, writer)
        if len(self.connections) >= self.limit:
            writer.write(b"ERROR TOOMANY -\r\n")
            writer.close()
            return
        self.connections.add(session)
        try:
            await session.run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(session)
            writer.transport.abort()


class Session:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer) -> None:
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.read_only = False
        self.lost = False
        self.writes: list = []
        self.prepared: dict = {}
        self.values: dict = {}

    def lose_lead(self) -> None:
        """Note that a plain transaction has lost its instance's lead."""
        self.lost = self.state != "I" and not self.read_only

    async def run(self) -> None:
        """Answer messages until the other side leaves."""
        line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        fields = line.split(" ")
        wrong = len(fields) > 3 and fields[3] != self.instance.id
        if fields[1] != self.instance.database.name or wrong:
            self.writer.write(b"ERROR WRONGNODE -\r\n")
            return
        async with self.instance.slots:
            await asyncio.sleep(0.012)
        self._ready()
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            if line == "BYE":
                return
            _, request, text = line.split(" ", 2)
            lines = await self._execute(request, text)
            self.writer.write("".join(f"{row}\r\n" for row in lines).encode())
            self._ready()
            await self.writer.drain()

    def _ready(self) -> None:
        term, number = self.instance.position
        self.writer.write(f"READY {self.state} {term}.{number}\r\n".encode())

    def _fail(self, code: str):
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.instance.id}"]

    def _done(self, request: str):
        return [f"DONE sig.{self.instance.id}.{request}"]

    async def _execute(self, request: str, text: str):
        instance, database = self.instance, self.instance.database
        if request != "-":
            database.arrivals.append(
                {
                    "at": database.now(),
                    "instance": instance.id,
                    "request": request,
                    "text": text,
                    "inside": self.state != "I",
                }
            )
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            place, _, text = rest.partition(" ")
            term, _, number = place.partition(".")
            if (int(term), int(number)) > instance.position:
                return self._fail("LAGGING")
            word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED -"]
        if self.state == "T" and self.lost and word in ("READ", "WRITE", "EXECUTE"):
            return self._fail("READONLY")
        handler = getattr(self, f"_run_{word.lower()}", None)
        if handler is None:
            return ["ERROR MALFORMED -"]
        return await handler(request, rest)

    async def _run_status(self, request, rest):
        return self._status()

    async def _run_demote(self, request, rest):
        if int(rest) > self.instance.term and self.instance.leads:
            self.instance.follow(self.instance.database.leader())
        return self._status()

    async def _run_reset(self, request, rest):
        self.values.clear()
        self.prepared.clear()
        return ["DONE -"]

    async def _run_set(self, request, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return ["DONE -"]

    async def _run_prepare(self, request, rest):
        name, kind, shape = rest.split(" ", 2)
        self.prepared[name] = (kind, shape)
        return ["DONE -"]

    async def _run_begin(self, request, rest):
        if rest != "READ" and not self.instance.leads:
            return self._fail("READONLY")
        self.state, self.read_only, self.lost = "T", rest == "READ", False
        self.writes = []
        return ["DONE -"]

    async def _run_rollback(self, request, rest):
        self.state, self.writes = "I", []
        return ["DONE -"]

    async def _run_execute(self, request, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            return self._fail("NOSTMT")
        if self.prepared[name][0] == "READ":
            return await self._run_read(request, arguments)
        return await self._run_write(request, arguments)

    def _status(self):
        instance = self.instance
        role = "primary" if instance.leads else "replica"
        term, number = instance.position
        if instance.busy >= instance.slot_count:
            return [f"ERROR BUSY {instance.id}"]
        return [
            f"ROW {role} {instance.term} {term}.{number} 0 0 {instance.busy} "
            f"{len(instance.connections)}",
            "DONE -",
        ]

    async def _occupy(self, seconds: float) -> None:
        instance = self.instance
        async with instance.slots:
            instance.busy += 1
            try:
                await asyncio.sleep(seconds)
            finally:
                instance.busy -= 1

    async def _run_commit(self, request, rest):
        await self._occupy(0.003)
        state, self.state = self.state, "I"
        writes, self.writes = self.writes, []
        if state != "T":
            return ["ERROR ABORTED -"]
        if writes and (self.lost or not self.instance.leads):
            return self._fail("READONLY")
        if writes:
            self.instance.commit(writes)
        return self._done(request)

    async def _run_read(self, request, rest):
        instance = self.instance
        item = rest.split(" ")[0]
        await self._occupy(instance.work(item))
        rows = instance.database.lists.get(item) or [instance.find(item)]
        instance.database.logs_read[request] = list(instance.log)
        return [*(f"ROW {row}" for row in rows), *self._done(request)]

    async def _run_write(self, request, rest):
        instance = self.instance
        if not instance.leads or (self.state == "T" and self.read_only):
            return self._fail("READONLY")
        item, _, data = rest.partition(" ")
        await self._occupy(instance.work(item))
        if not instance.leads:
            return self._fail("READONLY")
        if self.state == "T":
            self.writes.append((item, data, request))
        else:
            instance.commit([(item, data, request)])
        return self._done(request)
