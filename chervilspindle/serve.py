"""Builds the roles of one process from its settings and runs them."""

import logging
import os
import signal
import typing

from twisted.internet import defer

from chervilspindle.control import leader as leader_module
from chervilspindle.control import member_poll
from chervilspindle.control import node as node_module
from chervilspindle.control import storage as storage_module
from chervilspindle.core import errors
from chervilspindle.core import metrics as metrics_module
from chervilspindle.core import timers as timers_module
from chervilspindle.query import entry as entry_module
from chervilspindle.routing import caller_capacity
from chervilspindle.wire import endpoint_client
from chervilspindle.wire import http_api
from chervilspindle.wire import messages
from chervilspindle.wire import nng
from chervilspindle.wire import peer
from chervilspindle.wire import reactor_server
from chervilspindle.wire import reactor_streams
from chervilspindle.wire import receive_limits

LOGGER = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_STORAGE = 3

BACKLOG = 512

CONTROL_CALLS = (
    messages.Heartbeat,
    messages.Leave,
    messages.ApplyListsCall,
    messages.ClaimCall,
    messages.ResolveCall,
    messages.StatusCall,
    messages.EvacuationCall,
    messages.ListEvacuationsCall,
)


class Roles(typing.NamedTuple):
    """The role objects of a process; None for a role it does not run."""

    entry: entry_module.Entry | None
    node: node_module.ControlNode | None
    leader: leader_module.Leader | None


class Server:
    """One process of the system.

    Parameters
    ----------
    reactor : IReactorTCP, IReactorTime and IReactorFDSet
    settings : Settings
    on_failure : callable
        Called with an exit code when the process has to stop.
    """

    def __init__(self, reactor, settings, on_failure):
        self.reactor = reactor
        self.settings = settings
        self.on_failure = on_failure
        self.timers = timers_module.TimerService(reactor)
        self.metrics = metrics_module.Metrics()
        self.network = peer.PeerNetwork(
            reactor,
            self.timers,
            settings.shared_key.encode(),
            self._handle,
            reactor_streams.ReactorStreams(reactor),
        )
        self.capacity = caller_capacity.build_capacity(
            settings, reactor.seconds, self.metrics.count_refused_caller
        )
        self.network.limit_unverified(
            self.capacity.budget, self.capacity.max_unverified
        )
        self.http_server = None
        self.ports = []
        self.transport = None
        self.roles = Roles(None, None, None)

    @defer.inlineCallbacks
    def start(self):
        """Start all roles that the settings name.

        Raises
        ------
        StorageError
            If the data folder is damaged or not writable.
        """
        node = leader = entry = None
        if "control" in self.settings.roles:
            node = self._build_control()
            leader = leader_module.Leader(
                node, self.timers, timers_module.read_monotonic_ms
            )
            leader.can_members_read = self._build_poll(node).can_members_read
        if "entry" in self.settings.roles:
            entry = self._build_entry()
        self.roles = Roles(entry, node, leader)
        port = yield self.network.listen(self.settings.peer_address)
        self.ports.append(port)
        if entry is not None:
            entry.start()
            port = yield self._listen_http(entry)
            self.ports.append(port)
        self.timers.subscribe("process-state", 0.25, self._update_metrics)
        LOGGER.info("serving", extra={"roles": list(self.settings.roles)})

    @defer.inlineCallbacks
    def stop(self):
        """Drain the entry, then close ports, storage, links and timers."""
        if self.roles.entry is not None:
            yield self.roles.entry.drain()
        for port in self.ports:
            yield defer.maybeDeferred(port.stopListening)
        if self.http_server is not None:
            self.http_server.stop()
        if self.roles.node is not None:
            self.roles.node.stop()
        if self.transport is not None:
            self.transport.close()
        self.network.close()
        self.timers.cancel_all()

    def _build_control(self):
        settings = self.settings
        identity = storage_module.load_identity(settings.data_folder)
        if identity is None:
            identity = storage_module.create_identity(
                settings.data_folder, settings.group, settings.vm_id
            )
            LOGGER.info(
                "joining the control group with an empty data folder",
                extra={"member": identity.member_id},
            )
        self.transport = nng.NngTransport(
            self.reactor, settings.shared_key.encode(), self._receive_raft
        )
        node = node_module.ControlNode(
            identity,
            settings.raft_address,
            {v.vm_id: v.raft_address for v in settings.control_vms},
            storage_module.Storage(settings.data_folder),
            self.transport.send,
            self.timers,
            timers_module.read_monotonic_ms,
            lambda: self.on_failure(EXIT_STORAGE),
        )
        node.start()
        self.transport.listen(settings.raft_address)
        return node

    def _build_poll(self, node):
        settings = self.settings
        return member_poll.MemberPoll(
            node,
            self.network,
            {v.vm_id: v.peer_address for v in settings.control_vms},
            settings.vm_id,
            settings.data_folder,
            self.timers,
        )

    def _build_entry(self):
        receive_budget = receive_limits.ReceiveBudget(
            receive_limits.compute_budget_bytes(self.settings.memory_mb)
        )

        def build_client(address, connections):
            return endpoint_client.EndpointClient(
                self.reactor, address, connections, receive_budget
            )

        return entry_module.Entry(
            self.settings,
            self.network,
            build_client,
            self.timers,
            timers_module.read_monotonic_ms,
            self.metrics,
        )

    def _listen_http(self, entry):
        self.http_server = http_api.HttpApi(entry).build_server(
            self.reactor,
            self.timers,
            self.capacity.budget,
            self.capacity.max_connections,
        )
        return reactor_server.listen(
            self.reactor, self.http_server, self.settings.http_address, BACKLOG
        )

    def _receive_raft(self, data):
        self.roles.node.receive(data)

    def _handle(self, link, message):
        if isinstance(message, CONTROL_CALLS):
            if self.roles.leader is None:
                raise errors.build_error(
                    errors.ErrorKind.NO_LEADER,
                    "this VM does not run a control member",
                )
            return self.roles.leader.handle(message, link.version)
        if self.roles.entry is None:
            raise errors.build_error(
                errors.ErrorKind.NOT_OWNER, "this VM does not run an entry"
            )
        return self.roles.entry.handle(link, message)

    def _update_metrics(self):
        budget = self.capacity.budget
        self.metrics.set_state("caller_bytes", budget.total_bytes)
        node = self.roles.node
        if node is None:
            return
        self.metrics.set_state("term", node.raft.term)
        self.metrics.set_state("leader", int(node.is_leader()))
        self.metrics.set_state("commit_index", node.raft.commit_index)


def run_server(reactor, settings) -> int:
    """Run a process until SIGTERM or SIGINT.

    Returns
    -------
    int
        Exit code: 0 after a clean shutdown, 2 if the start failed for
        another reason than storage, 3 if storage failed.
    """
    exit_codes = [EXIT_OK]
    if "control" in settings.roles:
        # A signal that comes meanwhile ends the process, which has not begun.
        try:
            storage_module.wait_until_writable(
                settings.data_folder, lambda: False
            )
        except OSError as error:
            LOGGER.error("data folder cannot be opened: %s", error)
            return EXIT_STORAGE

    def stop_with_code(code):
        exit_codes[0] = code
        if reactor.running:
            reactor.callLater(0, reactor.stop)

    server = Server(reactor, settings, stop_with_code)

    def start():
        server.start().addErrback(report_start_failure)

    def report_start_failure(failure):
        LOGGER.error("start failed: %s", failure.getErrorMessage())
        storage = failure.check(storage_module.StorageError)
        stop_with_code(EXIT_STORAGE if storage else EXIT_SETTINGS)

    def shut_down(*_):
        reactor.callFromThread(stop_server)

    def stop_server():
        stopping = server.stop()
        stopping.addErrback(
            lambda failure: LOGGER.error("shutdown failed: %s", failure)
        )
        stopping.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    signal.signal(signal.SIGTERM, shut_down)
    signal.signal(signal.SIGINT, shut_down)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]


def bootstrap(settings):
    """Create the first member of a new group in an empty data folder.

    Raises
    ------
    StorageError
        If the folder already belongs to a control member.
    """
    folder = settings.data_folder
    if storage_module.load_identity(folder) is not None:
        raise storage_module.StorageError(f"{folder} is in use already")
    os.makedirs(folder, mode=0o700, exist_ok=True)
    identity = storage_module.create_identity(
        folder, settings.group, settings.vm_id
    )
    storage = storage_module.Storage(folder)
    node = node_module.ControlNode(
        identity,
        settings.raft_address,
        {},
        storage,
        lambda address, data: None,
        timers_module.TimerService(None),
        timers_module.read_monotonic_ms,
        lambda: None,
    )
    node.initialise()
    storage.close()
    return identity
