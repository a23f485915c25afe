"""Finds out what the other control members read, also before they are down.

The members of the product's own deployments replicate over links that state
no version. Each member therefore opens a peer link to each other one now and
then, and keeps the versions for restarts: any of them may become the leader
at the moment at which others are lost.
"""

from chervilspindle.control import member_versions
from chervilspindle.control import raft
from chervilspindle.wire import messages
from chervilspindle.wire import versions

POLL_PERIOD_S = 2.0
CALL_TIMEOUT_S = 1.0


class MemberPoll:
    """Knows the versions of the members of a group.

    Parameters
    ----------
    node : ControlNode
    network : PeerNetwork
    address_by_vm : dict of str to str
        Peer addresses of all control VMs.
    vm_id : str
        Of this member.
    folder : str
        Where versions are kept.
    timers : TimerService
    """

    def __init__(self, node, network, address_by_vm, vm_id, folder, timers):
        self.node = node
        self.network = network
        self.folder = folder
        self.address_by_vm = {
            vm: address for vm, address in address_by_vm.items() if vm != vm_id
        }
        self.vm_id = vm_id
        self.stored = member_versions.load(folder)
        network.record_versions(self.stored.items())
        timers.call_later(0, self.poll)
        timers.subscribe("member-poll", POLL_PERIOD_S, self.poll)

    def poll(self):
        """Open links to the others, and store the versions known so far."""
        # Not known to builds before version 6, which are not sent it; the
        # link alone tells their version.
        message = messages.ListEvacuationsCall()
        for address in self.address_by_vm.values():
            deferred = self.network.call(address, message, CALL_TIMEOUT_S)
            deferred.addErrback(lambda failure: None)
        known = {
            address: self.network.version_by_address[address]
            for address in self.address_by_vm.values()
            if address in self.network.version_by_address
        }
        if known != self.stored and member_versions.save(self.folder, known):
            self.stored = known

    def can_members_read(self, version: int) -> bool:
        """Tell whether all members are known to read a version."""
        vm_ids = {
            raft.get_vm_id(member.member_id)
            for member in self.node.raft.members
        }
        return all(
            self._read_version(vm_id) >= version
            for vm_id in vm_ids
            if vm_id != self.vm_id
        )

    def _read_version(self, vm_id):
        address = self.address_by_vm.get(vm_id)
        if address is None:
            return versions.OLDEST
        return self.network.read_version(address)
