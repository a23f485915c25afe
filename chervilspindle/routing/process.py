"""Processes of a routed deployment: entries and control members.

Entries accept requests of callers and send them to endpoints; they watch
control for changes. Control members keep the replicated log, the endpoints'
announcements and the routing document.
"""

from collections import abc
import logging
import os
import signal
import typing

from twisted.internet import defer

from chervilspindle.accounts import quota_links
from chervilspindle.control import frontend as frontend_module
from chervilspindle.control import node as node_module
from chervilspindle.control import storage as storage_module
from chervilspindle.control import watch as watch_module
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import loops
from chervilspindle.core import timers as timers_module
from chervilspindle.policy import shared_limits
from chervilspindle.routing import caller_capacity
from chervilspindle.routing import connection_prewarmer
from chervilspindle.routing import contexts
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import entry as entry_module
from chervilspindle.routing import evacuation_monitor
from chervilspindle.routing import metrics as metrics_module
from chervilspindle.routing import peer_messages
from chervilspindle.routing import retry_budget
from chervilspindle.routing import watch_client
from chervilspindle.wire import http_server
from chervilspindle.wire import messages
from chervilspindle.wire import peer
from chervilspindle.wire import streams
from chervilspindle.wire import versions

LOGGER = logging.getLogger(__name__)

GROUP_NAME = "routing"
BACKLOG = 512
STOP_CHECK_INTERVAL_S = 0.05
FLUSH_S = 0.05  # for the last answers to leave
CONTROL_LINGER_S = 0.2
CONTROL_STOP_S = 1.5  # longer than a call to the leader may take
LEAVE_TIMEOUT_S = 4.0  # an election and the changes of the configuration
SETTINGS_CHECK_INTERVAL_S = 2.0
CRASH_REPORT_TIMEOUT_S = 1.0
CONTROL_LIMITS = http_server.ServerLimits(16384, 4194304, 5000.0, 30000.0)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

EXIT_OK = 0
EXIT_STORAGE = 3


class RoutingSettings(typing.NamedTuple):
    """Settings of one process of a routed deployment.

    Parameters
    ----------
    vm_id, zone : str
    peer_address : str
        ``IP:PORT`` for links between processes of the system.
    metrics_address : str
    seeds : tuple of str
        Peer addresses of some control members.
    shared_key : str
        Authenticates links between processes of the system.
    entry_address, ready_address : str
        Where requests of callers and the balancer's readiness checks are
        accepted; empty for a process that is not an entry.
    control_address : str
        Where calls of endpoints and operators are accepted; empty for a
        process that is not a control member.
    data_folder : str
    first_start : bool
        Whether the whole system starts for the first time, so that the
        first seed may bootstrap the Raft group.
    voters : int
        Number of voting members of the Raft group.
    budget : retry_budget.Rule
    grace_s : float
        Time between SIGTERM and SIGKILL.
    core_share : float
        Share of a CPU core that the process may use.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    memory_mb : float
        Memory that the process may use, in MB.
    quota_rule : shared_limits.QuotaRule or None
        None where quotas of client accounts are not in force.
    cold_rule : shared_limits.ColdRule or None
        None where endpoints that are cold have no limit.
    spread_load : bool
        Whether entries choose endpoints as `spreading` describes.
    caller_memory_mb : float or None
        Memory that may be held for callers; None for a share of `memory_mb`.
    caller_connections : int or None
        Connections of callers; None for a share of the descriptors.
    """

    vm_id: str
    zone: str
    peer_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    shared_key: str
    entry_address: str
    ready_address: str
    control_address: str
    data_folder: str
    first_start: bool
    voters: int
    budget: retry_budget.Rule
    grace_s: float
    core_share: float
    link_mbps: float
    memory_mb: float
    quota_rule: shared_limits.QuotaRule | None = None
    cold_rule: shared_limits.ColdRule | None = None
    spread_load: bool = False
    caller_memory_mb: float | None = None
    caller_connections: int | None = None


class Adapter(typing.NamedTuple):
    """Platform-specific names, formats and handlers.

    Parameters
    ----------
    names : endpoint_calls.HeaderNames
    ready_path : bytes
    decode_document : callable
        ``decode_document(data)`` returns a `documents.Document`.
    build_control_handler : callable
        ``build_control_handler(frontend)`` returns an HTTP handler.
    read_settings : callable
        Reads and returns the current `RoutingSettings`.
    """

    names: endpoint_calls.HeaderNames
    ready_path: bytes
    decode_document: abc.Callable
    build_control_handler: abc.Callable
    read_settings: abc.Callable


class Process:
    """Base of entry and control processes.

    Parameters
    ----------
    reactor, loop
    settings : RoutingSettings
    adapter : Adapter
    stop_reactor : callable
        ``stop_reactor(code)`` stops the reactor and sets the exit code.
    """

    def __init__(self, reactor, loop, clock, settings, adapter, stop_reactor):
        self.loop = loop
        self.settings = settings
        self.adapter = adapter
        self.stop_reactor = stop_reactor
        self.timers = timers_module.TimerService(clock)
        self.network = peer.PeerNetwork(
            reactor,
            self.timers,
            settings.shared_key.encode(),
            self.handle,
            streams.LoopStreams(loop),
        )
        self.metrics = metrics_module.RoutingMetrics()
        self.capacity = caller_capacity.build_capacity(
            settings, loop.time, self.metrics.count_refused_caller
        )
        self.network.limit_unverified(
            self.capacity.budget, self.capacity.max_unverified
        )
        self.servers = []
        self.starting = None  # the task, once it runs
        self.serving = False
        self.stopping = False
        self.drain_started_s = None

    def handle(self, link, message):
        """Handle a message from another process and return the answer."""
        raise errors.build_error(
            errors.ErrorKind.NO_LEADER, "this process is not a control member"
        )

    async def start(self):
        """Start to serve."""
        raise NotImplementedError

    def drain(self):
        """Finish what is in progress, then close."""
        raise NotImplementedError

    def launch(self):
        """Start to serve, unless told to stop before.

        Returns
        -------
        Deferred
            Fires once the process serves.
        """
        self.starting = self.loop.create_task(self.start())
        return defer.Deferred.fromFuture(self.starting)

    def stop(self):
        """Stop: at once while starting, else after a drain."""
        if self.stopping:
            return
        self.stopping = True
        if self.serving:
            self.drain()
            return
        LOGGER.info("stopping during the start")
        if self.starting is not None:
            self.starting.cancel()
        self.close()

    def start_serving(self, role):
        """Record that the start has ended."""
        self.serving = True
        LOGGER.info(
            "serving",
            extra={"role": role, "peer_version": versions.CURRENT},
        )

    async def listen(
        self, name, address, handler, read_limits, max_connections=None
    ):
        """Start an HTTP server at an address.

        `max_connections` is by default that of servers not for callers.
        """
        if max_connections is None:
            max_connections = self.capacity.max_side
        server = http_server.HttpServer(
            self.loop,
            self.timers,
            name,
            handler,
            read_limits,
            self.capacity.budget,
            max_connections,
        )
        await server.listen(address, BACKLOG)
        self.servers.append(server)
        return server

    async def listen_metrics(self):
        """Start the server of counters and histograms."""
        await self.listen(
            "metrics",
            self.settings.metrics_address,
            self._answer_metrics,
            lambda: CONTROL_LIMITS,
        )

    def _answer_metrics(self, exchange):
        self.metrics.set_peer_links(self.network.count_links_by_version())
        self.metrics.set_caller_bytes(self.capacity.budget.total_bytes)
        body, headers = self.metrics.render([])
        packed = tuple(
            (k.encode(), v.encode())
            for k, v in headers.items()
            if k.lower() != "content-length"
        )
        exchange.respond(200, packed, body)

    def close(self):
        """Close servers, links and timers, and stop the reactor."""
        for server in self.servers:
            server.stop()
        self.network.close()
        self.timers.cancel_all()
        LOGGER.info("stopped")
        self.stop_reactor(EXIT_OK)


class EntryProcess(Process):
    """An entry: serves callers, and other entries as a relay."""

    def __init__(self, *args):
        super().__init__(*args)
        settings = self.settings
        context = contexts.build_context(
            self.loop,
            contexts.VmProfile(
                settings.vm_id,
                settings.zone,
                settings.core_share,
                settings.link_mbps,
                settings.memory_mb,
            ),
            self.adapter.names,
            settings.budget,
            self.network,
            self.metrics,
            f"{settings.vm_id} {os.getpid()}",
            settings.quota_rule,
            settings.spread_load,
            settings.cold_rule,
            self.capacity.budget,
        )
        self.context = context
        self.entry_peer = peer_messages.EntryPeer(context)
        self.entry = entry_module.RoutingEntry(context)
        self.prewarmer = connection_prewarmer.ConnectionPrewarmer(
            self.entry, self.timers, settings.vm_id, settings.core_share
        )
        self.watch_client = watch_client.WatchClient(
            watch_client.EntryInfo(
                settings.vm_id, settings.zone, settings.peer_address
            ),
            settings.seeds,
            self.network.call,
            self.timers,
            self._apply_delta,
            self._update_totals,
            self.context.budget.read_peak_requests,
            self._apply_relays,
        )
        self.issuer_links = None
        if context.quotas is not None:
            self.watch_client.on_contact = context.quotas.issuer.record_contact
            self.issuer_links = quota_links.IssuerLinks(
                context.quotas, self.timers
            )
        context.quarantine.send_report = self._send_crash_report
        self.evacuation_monitor = evacuation_monitor.EntryMonitor(context)
        self.caller_server = None

    def _send_crash_report(self, report):
        """Send a `CrashReport` or a `TrialRequest` to control."""
        address = self.watch_client.member_address
        if address is None:
            return defer.fail(
                errors.build_error(
                    errors.ErrorKind.NO_LEADER, "no control member is known"
                )
            )
        return self.network.call(address, report, CRASH_REPORT_TIMEOUT_S)

    def handle(self, link, message):
        """Handle a message from another entry."""
        return self.entry_peer.handle(link, message)

    async def start(self):
        """Start the servers and watch control."""
        settings = self.settings
        listening = self.network.listen(settings.peer_address)
        await listening.asFuture(self.loop)
        self.caller_server = await self.listen(
            "front",
            settings.entry_address,
            self.entry.handle,
            self.entry.read_limits,
            self.capacity.max_connections,
        )
        await self.listen(
            "ready",
            settings.ready_address,
            self._answer_ready,
            lambda: CONTROL_LIMITS,
        )
        await self.listen_metrics()
        self.watch_client.start()
        self.start_serving("entry")

    def reload(self, settings):
        """Apply changed settings."""
        self.settings = settings
        self.watch_client.set_seeds(settings.seeds)

    def drain(self):
        """Drain and stop.

        Readiness checks fail from now on, and requests that can't end in
        time are refused; once none can, neither are new connections
        accepted. The process stops once the balancer had time to
        notice and requests in progress have ended. Those that are left
        `drain.STOP_MARGIN_S` before the end of the grace period are answered
        without a result.
        """
        self.drain_started_s = self.loop.time()
        self.entry.start_draining(self.settings.grace_s)
        self.watch_client.stop_relaying()
        if self.context.quotas is not None:
            self.context.quotas.issuer.start_draining()
        self.caller_server.start_closing()
        self.timers.subscribe("stop", STOP_CHECK_INTERVAL_S, self._check_stop)
        LOGGER.info(
            "draining", extra={"in_progress": self.caller_server.count_busy()}
        )

    def _check_stop(self):
        elapsed = self.loop.time() - self.drain_started_s
        self.entry.refuse_waiting()
        if not self.entry.takes_any():
            # A refused connection costs a caller less than a refusal.
            self.caller_server.stop_listening()
        if elapsed < drain.compute_notice_s(self.settings.grace_s):
            return
        self.caller_server.close_idle()
        busy = self.caller_server.count_busy() + self.entry_peer.count_busy()
        has_time = self.context.drain.get_left_s() > 0.0
        if has_time and (busy or self.caller_server.count_new()):
            return
        self.timers.cancel("stop")
        self.watch_client.stop()
        if has_time:
            self.close()
            return
        if busy:
            LOGGER.warning(
                "stopping with requests in progress",
                extra={"in_progress": busy},
            )
        self.entry.end_requests()
        self.entry_peer.end_requests()
        self.timers.call_later(FLUSH_S, self.close)

    def _answer_ready(self, exchange):
        if exchange.request.target != self.adapter.ready_path:
            exchange.respond(404)
            return
        exchange.respond(200 if self.entry.is_ready() else 503)

    def _apply_delta(self, delta):
        table = self.context.table
        # Before the endpoints: to those of evacuated zones nothing is sent.
        self.evacuation_monitor.apply(delta)
        for endpoint in delta.endpoints:
            self._put_endpoint(endpoint)
        for endpoint_id in delta.gone_endpoints:
            table.drop(endpoint_id, "forgotten")
        if delta.full:
            table.retain({e.endpoint_id for e in delta.endpoints})
            loops.freeze_heap()
        self.context.quarantine.apply(
            delta.crashes, delta.gone_crashes, delta.full
        )
        self.evacuation_monitor.check_all_evacuated()
        self.context.relays.table.add_endpoint_zones(table.list_zones())
        if delta.document is not None and delta.document.version >= 0:
            self._apply_document(delta.document)

    def _apply_relays(self, fingerprint, relays):
        self.context.relays.table.set_relays(fingerprint, relays)
        if self.context.quotas is not None:
            self.context.quotas.issuer.update_entries()
            self.issuer_links.check_soon()

    def _put_endpoint(self, endpoint):
        """Apply one row; a row that fails must not hold up the others."""
        try:
            self.context.table.put(endpoint)
        except Exception as error:
            self.metrics.count_unusable("endpoint")
            LOGGER.warning(
                "endpoint cannot be applied",
                exc_info=not isinstance(error, ValueError),
                extra={
                    "endpoint": endpoint.endpoint_id,
                    "incarnation": endpoint.incarnation,
                    "why": str(error),
                },
            )

    def _apply_document(self, stored):
        try:
            document = self.adapter.decode_document(stored.data)
        except ValueError as error:
            self.metrics.count_unusable("document")
            LOGGER.error(
                "document cannot be decoded, keeping the old one",
                extra={"version": stored.version, "why": str(error)},
            )
            return
        if self.entry.update_document(document):
            self.context.relays.table.update_document(document)
            self._update_connection_limits()
            if self.issuer_links is not None:
                self.issuer_links.check_soon()

    def _update_totals(self, vms, requests):
        budget = self.context.budget
        previous_vms = budget.vms
        budget.update_totals(vms, requests)
        rate = requests / budget.rule.window_s if vms else None
        self.context.relays.table.set_query_rate(rate)
        if vms != previous_vms:
            self._update_connection_limits()

    def _update_connection_limits(self):
        document = self.entry.document
        if document is None:
            return
        connections_by_service = {
            s.name: s.connections for s in document.service_by_name.values()
        }
        self.context.table.set_connections(
            connections_by_service, self.context.budget.vms
        )


class ControlProcess(Process):
    """A control member: replicates the state and serves its clients."""

    def __init__(self, *args):
        super().__init__(*args)
        settings = self.settings
        storage, identity = open_storage(settings)
        read_clock = timers_module.read_monotonic_ms
        self.node = node_module.ControlNode(
            identity,
            settings.peer_address,
            {},
            storage,
            self._send_raft_message,
            self.timers,
            read_clock,
            lambda: self.stop_reactor(EXIT_STORAGE),
            seeds=settings.seeds,
            voters=settings.voters,
        )
        self.node.read_version = self.network.read_version
        if settings.first_start and settings.peer_address == settings.seeds[0]:
            bootstrap_group(self.node, storage)
        self.frontend = frontend_module.ControlFrontend(
            self.node,
            self.network,
            self.timers,
            read_clock,
            messages.MemberPlace(
                settings.zone, settings.peer_address, settings.control_address
            ),
            settings.data_folder,
            self._read_service_names,
        )
        self.watch = watch_module.WatchServer(
            self.node, self.frontend, self.timers, read_clock
        )
        self.evacuation_monitor = evacuation_monitor.MemberMonitor(
            self.node, self.metrics
        )
        self.drain_started_s = None

    async def start(self):
        """Recover the state from disk and start the servers."""
        self.node.start()
        listening = self.network.listen(self.settings.peer_address)
        await listening.asFuture(self.loop)
        await self.listen(
            "control",
            self.settings.control_address,
            self.adapter.build_control_handler(self.frontend),
            lambda: CONTROL_LIMITS,
            self.capacity.max_connections,
        )
        await self.listen_metrics()
        self.start_serving("control")

    def reload(self, settings):
        """Apply changed settings."""
        self.settings = settings
        self.node.seeds = settings.seeds

    def drain(self):
        """Finish requests in progress, hand over the vote, then stop.

        The vote goes to another control member if one waits for a vote. It
        has it before this process ends, so that losses right after are borne.
        """
        LOGGER.info("stopping")
        for server in self.servers:
            server.start_closing()
        self.node.leave()
        self.drain_started_s = self.loop.time()
        self.timers.subscribe("stop", STOP_CHECK_INTERVAL_S, self._check_stop)

    def _check_stop(self):
        elapsed = self.loop.time() - self.drain_started_s
        if elapsed < CONTROL_LINGER_S:
            return
        for server in self.servers:
            server.stop_listening()
        end_s = drain.compute_end_s(self.settings.grace_s)
        busy = sum(server.count_busy() for server in self.servers)
        if busy and elapsed < min(CONTROL_STOP_S, end_s):
            return
        has_vote = not self.node.free_to_leave
        if has_vote and elapsed < min(LEAVE_TIMEOUT_S, end_s):
            return
        self.timers.cancel("stop")
        if busy or has_vote:
            LOGGER.warning(
                "stopping with work in progress",
                extra={"in_progress": busy, "has_vote": has_vote},
            )
        self.close()

    def handle(self, link, message):
        """Handle a message from another process and return the answer."""
        if isinstance(message, messages.Replicate):
            self.node.receive(message.data, message.address)
            return None
        if isinstance(message, messages.WatchCall):
            return self._watch(link, message)
        if isinstance(message, messages.CrashReport):
            return self.frontend.report_crash(message)
        if isinstance(message, messages.TrialRequest):
            return self.frontend.request_trial(message)
        return self.frontend.answer(message)

    def _watch(self, link, call):
        """Answer once it is known which version the entry reads."""
        learning = self.network.learn_version(link, call.relay_address)
        return learning.addCallback(
            lambda _: self.watch.watch(call, link.version)
        )

    def _send_raft_message(self, address, data):
        message = messages.Replicate(data, self.settings.peer_address)
        self.network.send(address, message)

    def _read_service_names(self, data):
        return self.adapter.decode_document(data).service_by_name

    def close(self):
        """Close the storage as well."""
        self.node.stop()
        super().close()


def open_storage(settings: RoutingSettings):
    """Open the data folder; create an identity if it has none.

    Returns
    -------
    storage, identity : Storage, Identity

    Raises
    ------
    StorageError
    """
    folder = settings.data_folder
    identity = storage_module.load_identity(folder)
    if identity is None:
        identity = storage_module.create_identity(
            folder, GROUP_NAME, settings.vm_id
        )
        LOGGER.info("new disk", extra={"member": identity.member_id})
    return storage_module.Storage(folder), identity


def bootstrap_group(node, storage):
    """Make this member the first voter of a new group.

    Does nothing if the storage already holds a log or a snapshot.
    """
    recovered = storage.recover()
    if recovered.log or recovered.snapshot.mark.index:
        storage.close()
        return
    storage.close()
    node.initialise()
    storage.close()
    logs.log_decision("group-started", member=node.identity.member_id)


def remember_signals() -> set:
    """Catch signals until the event loop runs, which then handles them.

    Returns
    -------
    set of int
        The signals that have come; grows.
    """
    early = set()

    def remember(number, frame):
        early.add(number)

    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, remember)
    return early


def wait_for_disk(settings: RoutingSettings, signals) -> bool:
    """Wait until the disk of a control member takes writes.

    Returns
    -------
    bool
        False if one of `STOP_SIGNALS` is among `signals` before that.

    Raises
    ------
    OSError
        If the data folder cannot be used.
    """
    return storage_module.wait_until_writable(
        settings.data_folder, lambda: signals.intersection(STOP_SIGNALS)
    )


def read_settings_again(adapter: Adapter, settings) -> RoutingSettings:
    """Return the settings as they are now, the old ones if unreadable."""
    try:
        return adapter.read_settings()
    except (OSError, ValueError) as error:
        LOGGER.error(
            "settings cannot be read, keeping the old ones",
            extra={"why": str(error)},
        )
        return settings


def run(reactor, loop, clock, adapter: Adapter) -> int:
    """Run a process until it is stopped by a signal or a failure.

    Returns
    -------
    int
        Exit code: 0 after a clean shutdown, 3 if the disk or the start
        failed.
    """
    exit_codes = [EXIT_OK]

    def stop_reactor(code):
        exit_codes[0] = code
        if reactor.running:
            reactor.callLater(0, reactor.stop)

    early = remember_signals()
    settings = adapter.read_settings()
    process_class = EntryProcess if settings.entry_address else ControlProcess
    try:
        if process_class is ControlProcess:
            if not wait_for_disk(settings, early):
                LOGGER.info("stopped before the start")
                return EXIT_OK
            # The first start of the group may be over since.
            settings = read_settings_again(adapter, settings)
        process = process_class(
            reactor, loop, clock, settings, adapter, stop_reactor
        )
    except (storage_module.StorageError, OSError) as error:
        LOGGER.error("data folder cannot be opened: %s", error)
        return EXIT_STORAGE

    def reload():
        new_settings = read_settings_again(adapter, process.settings)
        if new_settings != process.settings:
            LOGGER.info(
                "settings changed", extra={"seeds": new_settings.seeds}
            )
            process.reload(new_settings)

    def on_start_failed(failure):
        if process.stopping:
            return
        LOGGER.error("start failed: %s", failure.getTraceback())
        stop_reactor(EXIT_STORAGE)

    def start():
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, process.stop)
        loop.add_signal_handler(signal.SIGHUP, reload)
        if early.intersection(STOP_SIGNALS):
            process.stop()
            return
        process.launch().addErrback(on_start_failed)
        process.timers.subscribe("settings", SETTINGS_CHECK_INTERVAL_S, reload)
        if signal.SIGHUP in early:
            reload()
        loops.freeze_heap()

    # The reactor's own hooks run before the loop does, which loses signals
    # that come before it runs.
    loop.call_soon(start)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]
