"""Simulation of a database group and its nodes that controls each message."""

import random

from result import Err

from hyssopshelf import base, blackboard, messages, peer_events
from hyssopshelf.failover import (
    confirmation,
    detection,
    pending_confirmations,
    promotion,
)
from hyssopshelf.standins import database

DATABASE = "p/d"
PLACES = ("x", "y", "z")


class SimulatedGroup:
    """Nodes, endpoints and the messages in flight between them.

    Attributes
    ----------
    silent : set of str
        Endpoints that answer no call of a node and do not replicate.
    dead : set of str
        Endpoints whose calls fail at once and that do not replicate.
    isolated : set of str
        Endpoints that answer nodes but do not replicate.
    stopped : set of str
        Hosts that do not run.
    pending : list of tuple
        Messages in flight: the sending or receiving host and the message.
    logs : list of tuple
        Logged events: time, host, name and fields.
    promoted : dict of int to tuple
        First promoted endpoint of each term and the time of its promotion.
    """

    def __init__(self, hosts=3):
        self.now = 10.0
        self.random = random.Random(1)
        self.names = tuple(f"{DATABASE}/{name}" for name in "abc")
        self.instances = {name: database.Instance(name=name) for name in self.names}
        for instance in self.instances.values():
            instance.open_connection("c")
        self.silent, self.dead, self.isolated, self.stopped = set(), set(), set(), set()
        self.pending, self.logs, self.promoted = [], [], {}
        self.writes = 0
        self.boards = {}
        for number in range(hosts):
            self.start_host(f"h{number}")

    def start_host(self, host):
        """Start a node; a restarted node starts without its earlier state."""
        number = int(host[1:])
        old = self.boards.get(host)
        identity = blackboard.Identity(
            host=host,
            address=host,
            place=PLACES[number % 3],
            incarnation=old.identity.incarnation + 1 if old else 0,
        )
        board = blackboard.Blackboard(identity=identity, random=random.Random(number))
        self.boards[host] = board
        for other in self.boards:
            for one, two in ((host, other), (other, host)):
                self.boards[one].hosts[two] = blackboard.HostRecord(
                    name=two, address=two, place=PLACES[int(two[1:]) % 3]
                )
        board.databases[DATABASE] = blackboard.DatabaseRecord(
            name=DATABASE, pool="p", endpoints=self.names
        )
        for name, place in zip(self.names, PLACES, strict=True):
            board.endpoints[name] = blackboard.EndpointRecord(
                name=name, pool="p", database=DATABASE, place=place, address=""
            )

    def tick(self, host):
        board = self.boards[host]
        detection.step(board, self.now)
        promotion.step(board, self.now)
        confirmation.start_due_rounds(board, self.now)
        self.collect(host)

    def collect(self, host):
        """Take the actions of a node and put them in flight or into the logs."""
        board = self.boards[host]
        for action in board.actions:
            if isinstance(action, base.Log):
                self.logs.append((self.now, host, action.event.name, action.fields))
            else:
                self.pending.append((host, action))
        board.actions.clear()

    def deliver(self, index):
        source, item = self.pending.pop(index)
        if source in self.stopped:
            return
        match item:
            case base.SendPeer():
                event = peer_events.PeerReceived(host=source, message=item.message)
                self.pending.append((item.host, event))
            case base.ProbeStatus() | base.CallControl():
                self.call_endpoint(source, item)
            case base.CallStore():
                answer = base.StoreAnswered(call_id=item.call_id, result=Err("down"))
                self.pending.append((source, answer))
            case _:
                self.handle(source, item)

    def call_endpoint(self, host, action):
        instance = self.instances[action.endpoint]
        if action.endpoint in self.silent:
            return
        probing = isinstance(action, base.ProbeStatus)
        if action.endpoint in self.dead:
            result = None
        elif probing:
            result = instance.report_status(self.now)
        else:
            result = self.control(instance, action.operation)
        if probing:
            event = base.StatusReceived(
                endpoint=instance.name, probe_id=action.probe_id, status=result
            )
        else:
            event = base.ControlAnswered(
                endpoint=instance.name, call_id=action.call_id, answer=result
            )
        self.pending.append((host, event))

    def control(self, instance, operation):
        match operation:
            case messages.Fence():
                return instance.fence(operation, self.now)
            case messages.Follow():
                return instance.follow(operation, self.now)
        answer = instance.promote(operation, self.now)
        if answer.granted:
            self.promoted.setdefault(operation.term, (instance.name, self.now))
        return answer

    def handle(self, host, event):
        board = self.boards[host]
        match event:
            case base.StatusReceived():
                for module in (confirmation, detection):
                    module.receive_status(
                        board, event.endpoint, event.probe_id, event.status, self.now
                    )
            case peer_events.PeerReceived():
                base.receive(event.message, board, event.host, self.now)
            case base.ControlAnswered():
                base.handle(event, board, self.now)
        self.collect(host)

    def replicate(self, name):
        """Let an endpoint fetch once if it and its primary can reach each other."""
        instance = self.instances[name]
        request = instance.request_fetch(self.now)
        primary = self.instances.get(instance.primary)
        lost = {name, instance.primary} & (self.isolated | self.silent | self.dead)
        if request is not None and primary is not None and not lost:
            answer = primary.serve_fetch(request, self.now)
            instance.receive_fetch(answer, self.now, self.now)

    def run(self, seconds):
        """Advance the time by some seconds, with immediate delivery of all messages."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.05
            for host in self.boards:
                if host not in self.stopped:
                    self.tick(host)
            while self.pending:
                self.deliver(0)
            for name in self.names:
                self.replicate(name)

    def write(self, name):
        """Write at an endpoint; return (position, value) or None if refused."""
        self.writes += 1
        value = f"w{self.writes}"
        request = messages.EndpointRequest(
            operation=messages.Operation.APPEND, key="k", value=value
        )
        answer = self.instances[name].execute("c", request, self.now)
        return (answer.written, value) if answer.error is None else None

    def request_confirmation(self, host, position, level):
        board = self.boards[host]
        pending = pending_confirmations.PendingConfirmation(
            id=f"t{self.writes}",
            database=DATABASE,
            level=level,
            position=position,
            requested_at=self.now,
            deadline=self.now + 5,
        )
        board.pending_confirmations[pending.id] = pending
        confirmation.start_due_rounds(board, self.now)
        self.collect(host)
        return pending

    def find_primary(self):
        """Return the name of the primary of the highest term, or an empty string."""
        found = [i for i in self.instances.values() if i.role is messages.Role.PRIMARY]
        return max(found, key=lambda i: i.term).name if found else ""
