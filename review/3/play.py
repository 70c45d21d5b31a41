"""Case 3: the last tenant is taken out of the manifest."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as lib  # noqa: E402
import servers as srv  # noqa: E402

CORE_MACHINES, EDGE_MACHINES, SERVERS = 4, 2, 4
# Longer than `config_apply_ms` (2 s) and, for being in touch, `stable_window_ms` (3 s).
APPLY_S = 5.0
HELD_KEY, OTHER_TENANTS_KEY, NEVER_HELD_KEY = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb", "zzzz"
ROUNDS = 5


def tenant(name, keys):
    return {"name": name, "api_keys": keys}


def play(system, trouble):
    for index in range(CORE_MACHINES):
        system.add("control", f"z{index + 1}")
    entries = [system.add("entry", f"z{index + 1}") for index in range(EDGE_MACHINES)]
    for index in range(SERVERS):
        srv.Server(system, f"i-desk{index}", "order-desk")
    system.start_all()
    routes = [lib.route("book", "unsafe", "order-desk", attempts=1, anonymous=False)]
    tenants = [[tenant("bakery", [HELD_KEY]), tenant("hotel", [OTHER_TENANTS_KEY])],
               [tenant("bakery", [HELD_KEY])], []]
    count = 0

    def book(key):
        nonlocal count
        count += 1
        answer = srv.call(system, entries[count % EDGE_MACHINES], lib.FRONT_PORT, f"{count:016x}",
                          "POST", "/book/x", b"one sack", key=key)
        return answer and answer[0]

    # Without the disruption the same versions are published, and no key is taken away.
    for version, holders in enumerate(tenants if trouble else 3 * tenants[:1], start=1):
        document = lib.manifest(version, routes, ["s", "order-desk"], holders)
        if not system.publish(document, 10.0):
            raise lib.CannotRun(f"version {version} was not acknowledged")
        time.sleep(APPLY_S)
        held = {key for holder in holders for key in holder["api_keys"]}
        system.check_processes()
        ran = set()
        for _ in range(ROUNDS):
            for key in (HELD_KEY, OTHER_TENANTS_KEY, NEVER_HELD_KEY):
                status = book(key)
                if key in held and status != 200:
                    raise lib.CannotRun(f"a key that is held was answered {status}")
                if key not in held and status == 200:
                    ran.add(key)
        if ran:
            return (f"CONFIG, ROUTE: requests with the keys {sorted(ran)} were run {APPLY_S:.0f} s "
                    f"after version {version}, which holds none of them")
    return None


sys.exit(lib.run_case(HERE, play))
