"""A control VM of the product's own deployment starts on a full disk."""

import pathlib
import signal
import subprocess
import sys

import pytest

from chervilspindle.tools import disk_faults
from features import processes

LIMIT_S = 20.0


class FullDiskStart:
    """The only control VM of a new group, started while its disk is full."""

    def __init__(self, folder):
        self.deployment = processes.Deployment(folder, 1, 1)
        settings = self.deployment.documents.control_settings[0]
        path = self.deployment.path_by_name[settings["vm_id"]]
        created = self.deployment.run("init", "--settings", path)
        assert created.returncode == 0, created.stderr
        self.disk = disk_faults.DiskSwitch(str(folder / "disk"))
        self.disk.set_fault("full")
        self.log = folder / "control.log"
        command = (self.disk.path, settings["data_folder"])
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", disk_faults.__name__, *command]
                + ["serve", "--settings", path],
                stdout=log,
                stderr=log,
            )

    def wait_until_logged(self, text):
        self.deployment.wait_until(
            lambda: text in self.log.read_text(), LIMIT_S
        )

    def stop(self):
        self.process.kill()
        self.process.wait()


@pytest.fixture
def start(tmp_path):
    started = FullDiskStart(pathlib.Path(tmp_path))
    try:
        started.wait_until_logged(
            "disk refuses writes, waiting before the start"
        )
        yield started
    finally:
        started.stop()


def test_a_control_vm_leads_once_its_disk_that_was_full_has_room(start):
    """Guards against a VM that its supervisor gives up on."""
    assert start.process.poll() is None
    assert start.disk.read_met()
    start.disk.set_fault("")
    start.wait_until_logged('"message": "leadership"')
    start.process.send_signal(signal.SIGTERM)
    assert start.process.wait(LIMIT_S) == 0
    last = start.log.read_text().splitlines()[-1]
    assert '"message": "process ends", "code": 0' in last


def test_a_control_vm_that_waits_for_its_disk_obeys_sigterm(start):
    start.process.send_signal(signal.SIGTERM)
    assert start.process.wait(LIMIT_S) == -signal.SIGTERM
