"""Case 1: two machines of the core are replaced, one after the other, before a final fault."""
import pathlib
import shutil
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as lib  # noqa: E402

CORE_MACHINES = 4
SUCCESSOR_AFTER_S = 0.2
# `catch_up_s` and `stable_window_ms` of the platform: after it, another machine may be lost.
BETWEEN_REPLACEMENTS_S = 7.0
BEFORE_FINAL_FAULT_S = 24.0
DOWN_S = 0.77          # the site's `wipe_after_ack`
READ_WITHIN_S = 20.0   # more than `recovery_s`


def replace(system, machine):
    system.record.write(f"replace {machine.name} is gone for good")
    machine.kill()
    machine.is_removed = True
    time.sleep(SUCCESSOR_AFTER_S)
    successor = system.add("control", machine.zone)
    successor.start()


def final_fault(system, wiped):
    """All processes of the core are killed, and one of them loses its disk."""
    running = system.controls()
    for machine in running:
        machine.kill()
    system.record.write(f"fault   {wiped.name} loses its disk")
    shutil.rmtree(wiped.folder / "data")
    (wiped.folder / "data").mkdir()
    time.sleep(DOWN_S)
    for machine in running:
        machine.start()


def play(system, trouble):
    for index in range(CORE_MACHINES):
        system.add("control", f"z{index + 1}")
    system.start_all()
    if not system.publish(lib.manifest(1), 10.0) or not system.publish(lib.manifest(2), 10.0):
        raise lib.CannotRun("the first manifests were not acknowledged")
    time.sleep(3.0)
    for pause in (BETWEEN_REPLACEMENTS_S, BEFORE_FINAL_FAULT_S):
        leader = system.leader()
        if leader is None:
            raise lib.CannotRun("no leader before a replacement")
        if trouble:
            replace(system, leader)
        time.sleep(pause)
    if not system.publish(lib.manifest(3), 10.0):
        raise lib.CannotRun("no acknowledgement before the final fault")
    if trouble:
        final_fault(system, system.leader())
    version = system.read(READ_WITHIN_S)
    system.check_processes()
    if version is None:
        return "CONFIG: the manifest is not read back; version 3 was acknowledged"
    if version < 3:
        return f"CONFIG: version {version} is read back; version 3 was acknowledged"
    return None


sys.exit(lib.run_case(HERE, play))
