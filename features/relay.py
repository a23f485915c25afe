"""A small TCP relay that can be cut, for tests over real processes."""

import selectors
import socket
import threading

CHUNK_BYTES = 65536
POLL_S = 0.05


class Relay:
    """Carries bytes to a target; when cut, it swallows them silently.

    Open connections stay open while it is cut, as they do when something
    between two VMs has lost track of them.
    """

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.listener = socket.create_server((host, 0))
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.is_cut = False
        self.running = True
        self.other_by_socket = {}
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self):
        """Close everything."""
        self.running = False
        self.thread.join()
        self.listener.close()
        for connection in list(self.other_by_socket):
            connection.close()

    def _run(self):
        while self.running:
            for key, _ in self.selector.select(POLL_S):
                if key.fileobj is self.listener:
                    self._accept()
                else:
                    self._carry(key.fileobj)

    def _accept(self):
        near, _ = self.listener.accept()
        try:
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            near.close()
            return
        for one, other in ((near, far), (far, near)):
            self.other_by_socket[one] = other
            self.selector.register(one, selectors.EVENT_READ)

    def _carry(self, connection):
        try:
            data = connection.recv(CHUNK_BYTES)
        except OSError:
            data = b""
        other = self.other_by_socket.get(connection)
        if not data or other is None:
            self._close(connection)
            return
        if self.is_cut:
            return
        try:
            other.sendall(data)
        except OSError:
            self._close(connection)

    def _close(self, connection):
        other = self.other_by_socket.pop(connection, None)
        for one in (connection, other):
            if one is None:
                continue
            self.other_by_socket.pop(one, None)
            try:
                self.selector.unregister(one)
            except (KeyError, ValueError):
                continue
            one.close()


class Isolation:
    """Relays on every way between one control VM and the others.

    Entries reach that VM through a relay too, which is cut by itself.
    """

    def __init__(self, documents, vm_id):
        self.vm_id = vm_id
        self.relays = []
        self.entry_relay = None
        self._reroute(documents)

    def cut(self, entries=False):
        """Cut the VM off from the other control VMs, or from all."""
        for relay in self.relays:
            relay.is_cut = True
        if entries:
            self.entry_relay.is_cut = True

    def heal(self):
        """Mend all ways."""
        for relay in [*self.relays, self.entry_relay]:
            relay.is_cut = False

    def stop(self):
        """Close all relays."""
        for relay in [*self.relays, self.entry_relay]:
            relay.stop()

    def _reroute(self, documents):
        own = self._find(documents.control_settings[0], self.vm_id)
        inbound = Relay(own["raft_address"])
        self.entry_relay = Relay(own["peer_address"])
        self.relays.append(inbound)
        for document in documents.control_settings:
            document["control_vms"] = [
                dict(row) for row in document["control_vms"]
            ]
            for row in document["control_vms"]:
                self._reroute_row(document, row, inbound)
        for document in documents.entry_settings:
            document["control_vms"] = [
                dict(row) for row in document["control_vms"]
            ]
            row = self._find(document, self.vm_id)
            row["peer_address"] = self.entry_relay.address

    def _reroute_row(self, document, row, inbound):
        if document["vm_id"] == self.vm_id and row["vm_id"] != self.vm_id:
            outbound = Relay(row["raft_address"])
            self.relays.append(outbound)
            row["raft_address"] = outbound.address
        elif document["vm_id"] != self.vm_id and row["vm_id"] == self.vm_id:
            row["raft_address"] = inbound.address

    def _find(self, document, vm_id):
        return next(
            row for row in document["control_vms"] if row["vm_id"] == vm_id
        )
