"""Stand-in of a service: one primary and its replicas behind the line protocol.

What PROTOCOL.md says of instances holds: a statement of an open transaction runs
inside it, a connection that closes rolls back, replicas receive commits later, a
promoted instance leads the next term with what it had received, the old primary
goes on until it is demoted or, one second after it can reach the new one, by itself.
"""

import asyncio
import itertools

import attrs

FOLLOW_SECONDS = 1.0
PROMOTE_SECONDS = 0.3

_connection_numbers = itertools.count(1)
_transaction_numbers = itertools.count(1)


@attrs.define(kw_only=True)
class Run:
    """A client's statement that an instance ran.

    Attributes
    ----------
    transaction : int
        Number of the instance's transaction, 0 outside one.
    committed : bool
        Whether what it wrote was committed.
    """

    instance: str
    connection: int
    transaction: int
    request: str
    text: str
    committed: bool = False


@attrs.frozen(kw_only=True)
class Entry:
    """One commit in a log, with the requests that wrote it."""

    term: int
    number: int
    requests: tuple[str, ...]
    data: tuple[tuple[str, str], ...]


class Service:
    """The instances of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    record : Record
        Gets a line for each statement.
    sync_replicas : int
        1 if a commit is acknowledged only once a replica has received it.

    Attributes
    ----------
    promoted : list of (str, list of Entry)
        Promoted instances, each with its log at that time.
    on_change : callable
        Called when an instance changes its role.
    """

    def __init__(self, *, name: str, record, sync_replicas: int = 0) -> None:
        self.name = name
        self.record = record
        self.sync_replicas = sync_replicas
        self.instances: dict[str, Instance] = {}
        self.runs: list[Run] = []
        self.term = 1
        self.promoted: list[tuple[str, list[Entry]]] = []
        self.on_change = lambda: None

    def add(self, instance: "Instance") -> None:
        """Add an instance; the first one is the primary."""
        instance.primary = not self.instances
        self.instances[instance.id] = instance

    async def promote(self, instance_id: str) -> int:
        """Promote an instance; return the status of the call."""
        target = self.instances.get(instance_id)
        if target is None or target.crashed:
            return 409
        if target.primary and target.term == self.term:
            return 200
        asyncio.get_running_loop().create_task(self._lead(target))
        return 200

    async def _lead(self, target: "Instance") -> None:
        await asyncio.sleep(PROMOTE_SECONDS)
        if target.primary or target.crashed:
            return
        self.term += 1
        target.primary, target.term = True, self.term
        self.promoted.append((target.id, list(target.log)))
        self.record.write(
            target.id, f"leads term {self.term}, log ends at {target.format_position()}"
        )
        for other in self.instances.values():
            if other is not target and not other.primary:
                other.follow(target)
        self.on_change()
        await asyncio.sleep(FOLLOW_SECONDS)
        for other in self.instances.values():
            if other.primary and other.term < target.term and not other.crashed:
                other.demote(target)


class Instance:
    """One instance.

    Parameters
    ----------
    receive_seconds : float
        Time until this instance, as a replica, receives a commit.
    slots : int
        Statements that run at a time.
    work_seconds : float
        Time for which a statement has its slot.
    """

    def __init__(
        self,
        *,
        id: str,
        service: Service,
        place: str,
        slots: int = 3,
        maximum_connections: int = 22,
        work_seconds: float = 0.004,
        receive_seconds: float = 0.008,
    ) -> None:
        self.id = id
        self.service = service
        self.place = place
        self.slots = slots
        self.maximum_connections = maximum_connections
        self.work_seconds = work_seconds
        self.receive_seconds = receive_seconds
        self.primary = False
        self.term = 1
        self.log: list[Entry] = []
        self.busy = 0
        self.crashed = False
        self.connections: set[Connection] = set()
        self.semaphore = asyncio.Semaphore(slots)
        self.address = ""
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def crash(self) -> None:
        """Stop listening and break all connections."""
        self.crashed = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def format_position(self) -> str:
        """Return the end of the log as TERM.NUMBER."""
        if not self.log:
            return "1.0"
        return f"{self.log[-1].term}.{self.log[-1].number}"

    def contains(self, position: str) -> bool:
        """Return whether the log has reached a position."""
        term, _, number = position.partition(".")
        if int(number) == 0:
            return True
        return any(
            entry.number == int(number) and entry.term == int(term)
            for entry in reversed(self.log)
        )

    def follow(self, leader: "Instance") -> None:
        """Drop what the leader does not have and receive from it."""
        common = 0
        for mine, theirs in zip(self.log, leader.log, strict=False):
            if mine != theirs:
                break
            common += 1
        self.log = self.log[:common]
        self.log += leader.log[common:]
        self.term = leader.term

    def demote(self, leader: "Instance") -> None:
        """Become a replica."""
        self.service.record.write(self.id, f"becomes a replica of {leader.id}")
        self.primary = False
        self.follow(leader)
        self.service.on_change()

    async def commit(self, requests, data) -> None:
        """Append a commit and send it to the replicas."""
        number = self.log[-1].number + 1 if self.log else 1
        entry = Entry(
            term=self.term,
            number=number,
            requests=tuple(requests),
            data=tuple(data),
        )
        self.log.append(entry)
        received = [
            asyncio.get_running_loop().create_task(other.receive(self, entry))
            for other in self.service.instances.values()
            if other is not self and not other.primary
        ]
        if self.service.sync_replicas:
            for task in asyncio.as_completed(received):
                if await task:
                    return
            await asyncio.Event().wait()  # nobody has it, so it is never acknowledged

    async def receive(self, leader: "Instance", entry: Entry) -> bool:
        """Receive a commit after its way through the network; return whether it came.

        What was on its way from a primary that crashed meanwhile is lost.
        """
        await asyncio.sleep(self.receive_seconds)
        if leader.crashed or self.crashed or self.primary or leader.term < self.term:
            return False
        if len(self.log) < entry.number:
            self.log = leader.log[: entry.number]
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
            connection.roll_back()
            writer.close()


class Connection:
    """One connection to an instance."""

    def __init__(self, *, instance: Instance, reader, writer) -> None:
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.number = next(_connection_numbers)
        self.state = "I"
        self.transaction = 0
        self.read_only = False
        self.open_runs: list[Run] = []
        self.open_data: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    async def run(self) -> None:
        """Answer START, then statements in order."""
        instance = self.instance
        start = (await self.reader.readuntil(b"\r\n")).decode().split()
        if start[1] != instance.service.name or start[3:] not in ([], [instance.id]):
            self.writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if len(instance.connections) > instance.maximum_connections:
            self.writer.write(b"ERROR TOOMANY -\r\n")
            return
        self._send_ready()
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "BYE":
                return
            request, _, text = rest.partition(" ")
            rows = await self._answer(request, text)
            if instance.crashed:
                return
            self.writer.write("".join(f"{row}\r\n" for row in rows).encode())
            self._send_ready()

    def roll_back(self) -> None:
        """Drop the open transaction."""
        if self.state != "I":
            self._note("-", "rolled back")
        self.state, self.transaction = "I", 0
        self.open_runs, self.open_data = [], []

    def _send_ready(self) -> None:
        position = self.instance.format_position()
        self.writer.write(f"READY {self.state} {position}\r\n".encode())

    def _note(self, request: str, what: str) -> None:
        where = f"connection {self.number}"
        if self.transaction:
            where += f" transaction {self.transaction}"
        self.instance.service.record.write(
            self.instance.id, f"{where}: {request} {what}"
        )

    def _fail(self, code: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.instance.id}"]

    async def _answer(self, request: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "DEMOTE"):
            return self._command(word, rest)
        if word in ("RESET", "ROLLBACK"):
            if word == "ROLLBACK":
                self.roll_back()
            else:
                self.values.clear()
                self.prepared.clear()
            return ["DONE -"]
        if self.state == "E":
            return ["ERROR MALFORMED -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["DONE -"]
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return ["DONE -"]
        if word == "AFTER":
            position, _, rest = rest.partition(" ")
            if not self.instance.contains(position):
                return self._fail("LAGGING")
            word, _, rest = rest.partition(" ")
        if word == "BEGIN":
            return self._begin(rest)
        return await self._access(request, text, word, rest)

    def _command(self, word: str, rest: str) -> list[str]:
        instance = self.instance
        if word == "DEMOTE" and instance.primary and instance.term < int(rest):
            leaders = [i for i in instance.service.instances.values() if i.primary]
            instance.demote(max(leaders, key=lambda i: i.term))
        return self._answer_status()

    def _answer_status(self) -> list[str]:
        instance = self.instance
        if instance.busy >= instance.slots:
            self._note("-", "STATUS: BUSY")
            return ["ERROR BUSY -"]
        role = "primary" if instance.primary else "replica"
        count = len(instance.connections)
        position = instance.format_position()
        self._note("-", f"STATUS: {role} {position}")
        return [
            f"ROW {role} {instance.term} {position} 0 0 {instance.busy} {count}",
            "DONE -",
        ]

    def _begin(self, rest: str) -> list[str]:
        if self.state == "T":
            return self._fail("MALFORMED")
        if rest != "READ" and not self.instance.primary:
            return self._fail("READONLY")
        self.state, self.read_only = "T", rest == "READ"
        self.transaction = next(_transaction_numbers)
        return ["DONE -"]

    async def _access(self, request, text, word, rest) -> list[str]:
        instance = self.instance
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._fail("NOSTMT")
            word = self.prepared[name][0]
        async with instance.semaphore:
            instance.busy += 1
            await asyncio.sleep(instance.work_seconds)
            instance.busy -= 1
        if instance.crashed:
            return []
        writes = word == "WRITE" or (word == "COMMIT" and bool(self.open_data))
        plain = self.state == "T" and not self.read_only
        if not instance.primary and (writes or (plain and word != "COMMIT")):
            return self._fail("READONLY")
        run = Run(
            instance=instance.id,
            connection=self.number,
            transaction=self.transaction,
            request=request,
            text=text,
        )
        instance.service.runs.append(run)
        self._note(request, text)
        rows = [f"ROW {self._read(rest)}"] if word == "READ" else []
        if word == "WRITE":
            await self._write(run, rest)
        elif word == "COMMIT":
            await self._commit()
        return [*rows, f"DONE {instance.id}.{request}"]

    async def _write(self, run: Run, rest: str) -> None:
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.open_runs.append(run)
            self.open_data.append((item, data))
        else:
            run.committed = True
            await self.instance.commit([run.request], [(item, data)])

    async def _commit(self) -> None:
        runs, data = self.open_runs, self.open_data
        self.state, self.transaction = "I", 0
        self.open_runs, self.open_data = [], []
        if data:
            for run in runs:
                run.committed = True
            await self.instance.commit([run.request for run in runs], data)

    def _read(self, item: str) -> str:
        for name, data in reversed(self.open_data):
            if name == item:
                return data
        for entry in reversed(self.instance.log):
            for name, data in reversed(entry.data):
                if name == item:
                    return data
        return "-"
