"""Case 1: three machines of the core are replaced, one after the other."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as lib  # noqa: E402

CORE_MACHINES = 4
SUCCESSOR_AFTER_S = 0.2
# The platform waits for `catch_up_s` and `stable_window_ms` after the successor's start.
BETWEEN_FIRST_TWO_S = 7.0
BEFORE_THIRD_S = 12.0
ACKNOWLEDGE_WITHIN_S = 10.0  # more than twice `ack_ms`
READ_WITHIN_S = 14.0         # more than `recovery_s`


def replace(system, machine):
    system.record.write(f"replace {machine.name} is gone for good")
    machine.kill()
    time.sleep(SUCCESSOR_AFTER_S)
    successor = system.add("control", machine.zone)
    successor.start()


def play(system, trouble):
    for index in range(CORE_MACHINES):
        system.add("control", f"z{index + 1}")
    for machine in list(system.machines):
        machine.start(first_start=True)
    if not system.publish(lib.manifest(1), 10.0) or not system.publish(lib.manifest(2), 10.0):
        raise lib.CannotRun("the first manifests were not acknowledged")
    time.sleep(3.0)
    for pause in (BETWEEN_FIRST_TWO_S, BEFORE_THIRD_S, 5.0):
        leader = system.leader()
        if leader is None:
            raise lib.CannotRun("no leader before a replacement")
        if trouble:
            replace(system, leader)
        time.sleep(pause)
        if pause == BETWEEN_FIRST_TWO_S and not system.publish(lib.manifest(3), 10.0):
            raise lib.CannotRun("no acknowledgement after the first replacement")
        if pause == BEFORE_THIRD_S and not system.publish(lib.manifest(4), 10.0):
            raise lib.CannotRun("no acknowledgement after the second replacement")
    acknowledged = system.publish(lib.manifest(5), ACKNOWLEDGE_WITHIN_S)
    version = system.read(READ_WITHIN_S)
    if version is None:
        return "CONFIG: the manifest is not read back; version 4 was acknowledged"
    if version < (5 if acknowledged else 4):
        return f"CONFIG: version {version} is read back; a newer one was acknowledged"
    return None


sys.exit(lib.run_case(HERE, play))
