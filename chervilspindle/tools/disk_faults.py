"""Runs one process on a disk that fails when it is told to.

    python -m chervilspindle.tools.disk_faults CONTROL-FILE FOLDER [COMMAND...]

The process is one of the platform, or with a COMMAND such as ``serve
--settings FILE`` one of the product's own deployments. Only files in FOLDER
are affected. CONTROL-FILE holds the name of the present fault, nothing while
the disk is sound, and is read at each operation, so that a fault also outlasts
a restart. Each operation that meets a fault leaves a line in CONTROL-FILE.log.
"""

import builtins
import errno
import os
import sys
import time

SLOW_S = 0.2  # by which each operation is late
POLL_S = 0.01  # between two looks whether a disk still hangs

# What a disk refuses under each fault. The first write to a full disk still
# finds room for some bytes.
REFUSED_BY_FAULT = {
    "full": ("write",),
    "read_only": ("write", "sync", "create", "rename", "truncate"),
}
FAULTS = ("full", "read_only", "slow", "hang")


class DiskSwitch:
    """Sets the fault of a process's disk from outside.

    Parameters
    ----------
    path : str
        Path of the control file.
    """

    def __init__(self, path: str):
        self.path = path

    def set_fault(self, fault: str):
        """Let the disk fail from now on; with an empty name it is sound."""
        with open(self.path + ".new", "w", encoding="ascii") as handle:
            handle.write(fault)
        os.replace(self.path + ".new", self.path)

    def read_met(self) -> list[list[str]]:
        """Return each operation that met a fault: time, fault, what, where."""
        try:
            with open(self.path + ".log", encoding="ascii") as handle:
                return [line.split() for line in handle]
        except FileNotFoundError:
            return []


class FaultyDisk:
    """Replaces the functions of `os` that write to the files of a folder.

    Parameters
    ----------
    control : str
        Path of the control file.
    folder : str
        Folder whose files are on the disk.
    """

    def __init__(self, control: str, folder: str):
        self.control = control
        self.prefix = os.path.join(os.path.abspath(folder), "")
        self.path_by_descriptor = {}
        self.has_room = True
        self.open = os.open
        self.write = os.write
        self.close = os.close
        self.fsync = os.fsync
        self.replace = os.replace
        self.ftruncate = os.ftruncate
        self.open_file = builtins.open

    def install(self):
        """Replace the functions for the rest of the process's life."""
        os.open = self._open
        os.write = self._write
        os.close = self._close
        os.fsync = self._fsync
        os.replace = self._replace
        os.ftruncate = self._ftruncate
        builtins.open = self._open_file

    def read_fault(self) -> str:
        """Return the name of the present fault, empty if there is none."""
        try:
            with self.open_file(self.control, encoding="ascii") as handle:
                return handle.read().strip()
        except FileNotFoundError:
            return ""

    def is_on_disk(self, path) -> bool:
        """Tell whether a path belongs to the folder; a descriptor doesn't."""
        if not isinstance(path, (str, os.PathLike)):
            return False
        path = os.path.abspath(os.fspath(path))
        return os.path.join(path, "").startswith(self.prefix)

    def meet(self, operation: str, name: str):
        """Let an operation wait for, or fail on, the present fault.

        Raises
        ------
        OSError
            If the disk refuses the operation.
        """
        fault = self.read_fault()
        if not fault:
            self.has_room = True
            return
        refused = operation in REFUSED_BY_FAULT.get(fault, ())
        if not refused and fault in REFUSED_BY_FAULT:
            return
        self._record(fault, operation, name)
        if fault == "slow":
            time.sleep(SLOW_S)
        while fault == "hang" and self.read_fault() == fault:
            time.sleep(POLL_S)
        if refused:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), name)

    def meet_at(self, descriptor: int, operation: str):
        """Do the same for a descriptor, if its file is on the disk."""
        name = self.path_by_descriptor.get(descriptor)
        if name is not None:
            self.meet(operation, name)

    def _record(self, fault, operation, name):
        line = f"{time.time():.3f} {fault} {operation} {name}\n"
        with self.open_file(self.control + ".log", "a") as handle:
            handle.write(line)

    def _open(self, path, flags, *args, **options):
        is_ours = self.is_on_disk(path)
        if is_ours and flags & (os.O_CREAT | os.O_TRUNC):
            self.meet("create", str(path))
        descriptor = self.open(path, flags, *args, **options)
        if is_ours:
            self.path_by_descriptor[descriptor] = str(path)
        return descriptor

    def _write(self, descriptor, data):
        try:
            self.meet_at(descriptor, "write")
        except OSError:
            if not self.has_room:
                raise
            self.has_room = False
            return self.write(descriptor, bytes(data[: len(data) // 2]))
        return self.write(descriptor, data)

    def _close(self, descriptor):
        self.path_by_descriptor.pop(descriptor, None)
        self.close(descriptor)

    def _fsync(self, descriptor):
        self.meet_at(descriptor, "sync")
        self.fsync(descriptor)

    def _replace(self, source, target, **options):
        if self.is_on_disk(target):
            self.meet("rename", str(target))
        self.replace(source, target, **options)

    def _ftruncate(self, descriptor, length):
        self.meet_at(descriptor, "truncate")
        self.ftruncate(descriptor, length)

    def _open_file(self, file, mode="r", *args, **options):
        if self.is_on_disk(file) and set(mode) & set("wax+"):
            # The content is written as the file is closed, if not before.
            self.meet("write", str(file))
        return self.open_file(file, mode, *args, **options)


def main() -> int:
    """Run the process; return its exit code."""
    control, folder, *command = sys.argv[1:]
    FaultyDisk(control, folder).install()
    if command:
        from chervilspindle import cli

        sys.argv[1:] = command
        return cli.main()
    from chervilspindle.platform import __main__ as program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
