"""Faults that a test injects at a step, each with its later repair."""

REPAIR_S = 3.0
FREEZE_S = 5.0
DELAY_S = 2.5
REORDER_S = 0.05
CUT_S = 5.0


def drop(world, ends, arrive):
    """Lose one message."""
    return True


def duplicate(world, ends, arrive):
    """Deliver one message twice."""
    world.clock.callLater(0.002, arrive)
    world.clock.callLater(0.1, arrive)
    return True


def delay(world, ends, arrive):
    """Deliver one message much too late."""
    world.clock.callLater(DELAY_S, arrive)
    return True


def reorder(world, ends, arrive):
    """Let later messages overtake one."""
    world.clock.callLater(REORDER_S, arrive)
    return True


def kill_sender(world, ends, arrive):
    """Kill the sender after it sent."""
    kill(world, ends[0])
    return False


def kill_receiver(world, ends, arrive):
    """Kill the receiver before it handles the message."""
    kill(world, ends[1])
    return True


def freeze_sender(world, ends, arrive):
    """Freeze the sender right after it sent."""
    freeze(world, ends[0])
    return False


def freeze_receiver(world, ends, arrive):
    """Freeze the receiver; it handles the message when it wakes."""
    freeze(world, ends[1])
    return False


def cut_both_ways(world, ends, arrive):
    """Cut the way between both ends."""
    return _cut(world, ends, False)


def cut_one_way(world, ends, arrive):
    """Cut the way from sender to receiver only."""
    return _cut(world, ends, True)


def fill_disk(world, ends, arrive):
    """Let the write fail for want of space."""
    vm = world.vm_by_name[ends[0]]
    vm.disk_full = True
    world.clock.callLater(REPAIR_S, _free_disk, world, vm)
    raise OSError(28, "No space left on device")


def tear_write(world, ends, arrive):
    """Crash before the write is synced, with part of it on the disk."""
    vm = world.vm_by_name[ends[0]]
    kill(world, ends[0])
    vm.tear_log(7)
    raise OSError(5, "crashed")


def lose_disk(world, ends, arrive):
    """Crash and lose the whole disk; the VM comes back with a new one."""
    vm = world.vm_by_name[ends[0]]
    kill(world, ends[0])
    vm.lose_disk()
    raise OSError(5, "crashed")


MESSAGE_FAULTS = (
    drop,
    duplicate,
    delay,
    reorder,
    kill_sender,
    kill_receiver,
    freeze_sender,
    freeze_receiver,
    cut_both_ways,
    cut_one_way,
)

DISK_FAULTS = (fill_disk, tear_write, lose_disk)


def kill(world, name):
    """Kill a VM or an endpoint; it is restarted later."""
    vm = world.vm_by_name.get(name)
    if vm is not None:
        if not vm.process.killed:
            vm.kill()
            world.clock.callLater(REPAIR_S, restart, world, name)
        return
    endpoint = world.endpoint_by_name[name]
    if endpoint.alive:
        endpoint.crash()
        world.clock.callLater(REPAIR_S, endpoint.restart)


def restart(world, name):
    """Start a killed VM again."""
    vm = world.vm_by_name[name]
    if vm.process.killed:
        vm.start()


def freeze(world, name):
    """Freeze a VM or an endpoint; it wakes later."""
    vm = world.vm_by_name.get(name)
    if vm is not None:
        vm.freeze()
        process = vm.process
    else:
        process = world.endpoint_by_name[name].process
        process.frozen = True
    world.clock.callLater(FREEZE_S, process.thaw)


def _cut(world, ends, one_way):
    world.cut(*ends, one_way=one_way)
    world.clock.callLater(CUT_S, world.mend, *ends)
    return True


def _free_disk(world, vm):
    vm.disk_full = False
    restart(world, vm.name)
