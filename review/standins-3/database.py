"""Stand-in of database instances behind the line protocol."""

import asyncio
import itertools
import json
import random
import time


class Service:
    """The instances of one service and their replication.

    Parameters
    ----------
    lag_seconds : float
        Time until a replica has received and applied a commit, in seconds.
    work : callable
        Returns the seconds for which a statement has its slot.
    """

    def __init__(
        self, *, name, store, record, work, slots=2, queue=16, lag_seconds=0.02
    ):
        self.name = name
        self.store = store
        self.record = record
        self.work = work
        self.slots = slots
        self.queue = queue
        self.lag_seconds = lag_seconds
        self.instances: dict[str, Instance] = {}
        self.many_rows: dict[str, list[str]] = {}
        self.term = 1
        self.tasks: set[asyncio.Task] = set()

    def add(self, zone: str, *, primary: bool = False) -> "Instance":
        """Add an instance with the log of the primary."""
        instance = Instance(service=self, zone=zone)
        instance.primary = primary
        instance.term = self.term
        leading = self.find_primary()
        if leading is not None:
            instance.log = list(leading.log)
        self.instances[instance.id] = instance
        return instance

    def find_primary(self):
        """Return the primary of the newest term, None without one."""
        found = [i for i in self.instances.values() if i.primary]
        return max(found, key=lambda i: i.term, default=None)

    def replicate(self, source: "Instance") -> None:
        """Deliver the log of the primary to the replicas a little later."""
        task = asyncio.get_running_loop().create_task(self._deliver(source))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver(self, source: "Instance") -> None:
        length, term = len(source.log), source.term
        await asyncio.sleep(self.lag_seconds)
        for other in self.instances.values():
            if other is source or other.primary or other.down or other.term > term:
                continue
            if not source.down and len(other.log) < length:
                other.log = source.log[:length]
                other.term = term

    async def promote(self, instance_id: str) -> bool:
        """Make an instance the primary of the next term."""
        target = self.instances.get(instance_id)
        if target is None or target.down:
            return False
        if target.primary and target.term == self.term:
            return True
        await asyncio.sleep(0.6)
        self.term += 1
        old = [i for i in self.instances.values() if i.primary and i is not target]
        target.primary, target.term = True, self.term
        self.record.add(f"{target.id} leads {self.name} in term {self.term}")
        for other in self.instances.values():
            if not other.primary:
                other.log, other.term = list(target.log), self.term
        await target.beat()
        loop = asyncio.get_running_loop()
        for other in old:
            loop.call_later(1.0, other.follow, target)
        return True


class Instance:
    """One instance: primary or replica."""

    _numbers = itertools.count(1)

    def __init__(self, *, service: Service, zone: str) -> None:
        self.service = service
        self.id = f"i-{service.name}-{next(self._numbers)}"
        self.zone = zone
        self.primary = False
        self.term = 1
        self.log: list[tuple[int, int, list]] = []
        self.down = False
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections: set = set()
        self.arrivals: list[tuple[float, str]] = []
        self.waiting = 0
        self.address = ""
        self._slots = asyncio.Semaphore(service.slots)
        self._server = None

    async def start(self, host: str) -> None:
        """Listen and write the registry entry again and again."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=2 * 1024 * 1024
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        await self.beat()
        task = asyncio.get_running_loop().create_task(self._run_beats())
        self.service.tasks.add(task)

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            if not self.down:
                await self.beat()

    async def beat(self) -> None:
        """Write the registry entry."""
        self.sequence += 1
        entry = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }
        self.service.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def follow(self, leading: "Instance") -> None:
        """Become a replica of a newer primary."""
        if not self.down and leading.term > self.term:
            self.primary, self.term = False, leading.term
            self.log = list(leading.log)

    def crash(self) -> None:
        """Reset all connections and accept none."""
        self.down = True
        self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    @property
    def position(self) -> tuple[int, int]:
        """Return term and number of the end of the log."""
        return self.log[-1][:2] if self.log else (1, 0)

    def read(self, item: str) -> str:
        """Return the newest data of an item."""
        for _, _, writes in reversed(self.log):
            for name, data in reversed(writes):
                if name == item:
                    return data
        return f"{self.service.name}-unwritten"

    def commit(self, writes: list) -> None:
        """Append a transaction to the log and replicate it."""
        self.log.append((self.term, len(self.log) + 1, writes))
        self.service.replicate(self)

    async def occupy(self) -> bool:
        """Use a slot for the time of a statement; return False if all are taken."""
        if self._slots.locked() and self.waiting >= self.service.queue:
            return False
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(self.service.work())
        finally:
            self._slots.release()
        return True

    async def _serve(self, reader, writer) -> None:
        connection = Connection(instance=self, reader=reader, writer=writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """One connection to an instance."""

    def __init__(self, *, instance: Instance, reader, writer) -> None:
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.read_only = False
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list = []

    async def run(self) -> None:
        """Check START, then run statements."""
        instance = self.instance
        fields = (await self.reader.readuntil(b"\r\n")).decode().split()
        if fields[1] != instance.service.name or fields[3:4] not in (
            [],
            [instance.id],
        ):
            self.writer.write(b"ERROR WRONGNODE -\r\n")
            return
        self._end([])
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "BYE":
                return
            request, _, text = rest.partition(" ")
            if request != "-":
                record = instance.service.record
                at = record.add(f"{instance.id} gets {request} {text}")
                instance.arrivals.append((at, request))
            rows = await self._execute(text)
            if request != "-":
                outcome = rows[-1].split(" ")[0:2]
                instance.service.record.add(f"{instance.id} ran {request} {outcome}")
            self._end(rows)
            await self.writer.drain()

    def _end(self, rows: list[str]) -> None:
        term, number = self.instance.position
        lines = [*rows, f"READY {self.state} {term}.{number}"]
        self.writer.write(("\r\n".join(lines) + "\r\n").encode())

    def _fail(self, code: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.instance.id}"]

    def _done(self, *rows: str) -> list[str]:
        signature = f"{random.getrandbits(64):x}"
        return [*rows, f"DONE {self.instance.id}.{signature}"]

    async def _execute(self, text: str) -> list[str]:
        instance = self.instance
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            if (int(term), int(number)) > instance.position:
                return self._fail("LAGGING")
        word, _, rest = text.partition(" ")
        if self.state == "E" and word != "ROLLBACK" and word != "COMMIT":
            return self._fail("MALFORMED")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self._run_work(word, rest)
        return self._run_control(word, rest)

    def _run_control(self, word: str, rest: str) -> list[str]:
        instance = self.instance
        if word == "BEGIN":
            if rest != "READ" and not instance.primary:
                return self._fail("READONLY")
            self.state, self.read_only, self.writes = "T", rest == "READ", []
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
        elif word == "DEALLOC":
            self.prepared.pop(rest, None)
        elif word == "RESET":
            self.prepared.clear()
        elif word in ("STATUS", "DEMOTE"):
            if word == "DEMOTE" and int(rest) > instance.term:
                leading = instance.service.find_primary()
                if leading is not instance:
                    instance.follow(leading)
            term, number = instance.position
            role = "primary" if instance.primary else "replica"
            busy = instance.service.slots - instance._slots._value
            count = len(instance.connections)
            row = f"ROW {role} {instance.term} {term}.{number} 0 {busy} {count}"
            return [row, "DONE -"]
        return ["DONE -"]

    async def _run_work(self, word: str, rest: str) -> list[str]:
        instance = self.instance
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._fail("NOSTMT")
            word = self.prepared[name][0]
        if word == "WRITE" and not self._may_write():
            return self._fail("READONLY")
        if not await instance.occupy():
            return self._fail("BUSY")
        if word == "READ":
            rows = instance.service.many_rows.get(rest) or [instance.read(rest)]
            return self._done(*(f"ROW {row}" for row in rows))
        if word == "WRITE":
            return self._write(rest)
        return self._commit()

    def _may_write(self) -> bool:
        return self.instance.primary and not (self.state == "T" and self.read_only)

    def _write(self, rest: str) -> list[str]:
        if not self._may_write():
            return self._fail("READONLY")
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.writes.append((item, data))
        else:
            self.instance.commit([(item, data)])
        return self._done()

    def _commit(self) -> list[str]:
        was_open, self.state = self.state == "T", "I"
        if not was_open or (self.writes and not self.instance.primary):
            return self._fail("READONLY")
        if self.writes:
            self.instance.commit(self.writes)
            self.writes = []
        return self._done()
