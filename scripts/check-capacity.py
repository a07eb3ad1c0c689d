#!/usr/bin/env python3
"""Checks that the tables of docs/CAPACITY.md match the measurement.

Usage: scripts/check-capacity.py [--write]

The tables are between <!-- NAME: begin --> and <!-- NAME: end -->. They are
computed from bench/results/slopes.json and the fleet size below; --write
updates the page, and without it a difference is an error.
"""

import json
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "bench" / "results" / "slopes.json"

# Required fleet size.
NODES = 1_700
DATABASES = 2_800
CONNECTIONS = 13_000_000
STATEMENTS = 920_000
CHANGES_A_DAY = 4_600
STARTS_A_DAY = 246  # VMs restarted, replaced or failed
DOMAINS = 7
DAY = 86_400
TARGETS = 3 * DATABASES

# Limits: control traffic per node (share of a core, bytes, bytes/s), and the
# platform for the whole fleet (reads/s, bytes per value).
CORE_SHARE = 0.013
MEMORY = 256e6
BYTES_A_SECOND = 11e3
PLATFORM_READS = 2_000
PLATFORM_VALUE = 1e6

# Rates, from the default settings and the design.
PROBES_A_SECOND = 1_000 / 150  # --probe_ms, its default
LISTS_A_SECOND = 1  # requests for the list of VMs
WATCH_SECONDS = 10  # how long a watch waits
PEERS_A_SECOND = 0.5  # comparison of revisions with a peer, as designed
WATCHERS_A_DOMAIN = 2  # daemons that watch the platform, as designed

OWNED = TARGETS / NODES
PROBED = 3 * OWNED
STATEMENTS_A_NODE = STATEMENTS / NODES
CONNECTIONS_A_NODE = CONNECTIONS / NODES
CHANGES_A_SECOND = CHANGES_A_DAY / DAY
# Each start removes a VM from the list and adds it again.
MEMBER_CHANGES_A_SECOND = 2 * STARTS_A_DAY / DAY


def number(value):
    """Formats a value with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value))))
        return f"{int(round(value, 3 - digits)):,}"
    return f"{value:.3g}"


def share(value):
    """Formats a ratio as a percentage."""
    return f"{number(100 * value)}%"


def verdict(used, limit):
    """Tells whether a use is within its limit, and by which factor."""
    factor = used / limit
    return f"misses {number(factor)}-fold" if factor > 1 else f"fits, {share(factor)} of it"


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


class Measured:
    """The committed measurement."""

    def __init__(self, data):
        self.data = data
        self.series = data["series"]
        self.single = data["single"]

    def slope(self, name):
        return self.series[name]["slope"]

    def bound(self, name):
        """Upper bound of a slope near zero: three standard errors above it."""
        it = self.series[name]
        return max(it["slope"], 0) + 3 * it["slopeStandardError"]

    def at(self, name, size):
        it = self.series[name]
        return it["intercept"] + it["slope"] * size


def machine(m):
    it = m.data["machine"]
    return (
        f"Command: `{m.data['command']} bench/results/slopes.json`. Machine: "
        f"{it['cores']} cores, {it['memoryGiB']:.0f} GiB of memory, shared "
        f"with other work; load average {it['loadAverageAtStart']:.1f} at the "
        "start."
    )


def slopes(m):
    rows = []
    for name, it in sorted(m.series.items()):
        sizes = sorted(set(it["x"]))
        per = [y / x for x, y in zip(it["x"], it["y"])]
        rows.append(
            [
                f"`{name}`",
                it["unit"],
                ", ".join(number(x) for x in sizes),
                str(len(it["x"])),
                number(it["slope"]),
                number(it["slopeStandardError"]),
                f"{it['r2']:.4f}",
                f"{number(min(per))} to {number(max(per))}",
            ]
        )
    head = ["series", "unit", "sizes", "runs", "slope", "± (s.e.)", "R²",
            "y/x of single runs"]
    return table(head, rows)


def path(m):
    rows = []
    names = [
        ("latencyTarget", "target asked directly"),
        ("latencyHere", "through the owner's own daemon"),
        ("latencyForwarded", "through an entry daemon and the owner"),
    ]
    base = m.single["latencyTarget"]
    for key, what in names:
        it = m.single[key]
        rows.append(
            [
                what,
                str(it["count"]),
                str(m.single[key + "Failed"]),
                number(it["medianUs"]),
                number(it["p99Us"]),
                number(it["medianUs"] - base["medianUs"]),
                number(it["p99Us"] - base["p99Us"]),
            ]
        )
    first = table(
        ["way", "statements", "failed", "median µs", "p99 µs", "median added",
         "p99 added"],
        rows,
    )
    it = m.single["throughput"]
    failed = {k: v for k, v in m.single.items()
              if k.endswith("Failed") and not k.startswith("latency")}
    second = (
        f"One daemon, 32 callers, reads: {number(it['perSecond'])} statements "
        f"a second, {it['failed']} of {it['statements']:,} failed, "
        f"{it['daemonCores']:.2f} cores used by the daemon, median "
        f"{number(it['latency']['medianUs'])} µs. The stand-in target "
        "runs on one thread, which may be what limits it. Failed statements in the "
        "runs of the slopes: "
        + ", ".join(f"`{k[:-6]}` {v}" for k, v in sorted(failed.items()))
        + "."
    )
    memory = m.series["callerConnectionBytes"]
    by = {}
    for x, y in zip(memory["x"], memory["y"]):
        by.setdefault(int(x), []).append(y)
    third = "Resident memory of idle caller connections: " + "; ".join(
        f"{x:,} take {number(min(y) / 1e6)} to {number(max(y) / 1e6)} MB"
        for x, y in sorted(by.items())
    ) + "."
    return "\n\n".join([first, second, third])


def parts(m):
    """Cost of each part: share of a core, bytes a second, bytes of memory."""
    rank = m.at("rankUs", NODES)
    document = m.slope("changeBytes") * DATABASES
    probes = PROBED * PROBES_A_SECOND
    return {
        "entry": (
            STATEMENTS_A_NODE * m.slope("readForwardedEntryUs") / 1e6,
            STATEMENTS_A_NODE * m.slope("readForwardedInnerBytes"),
            CONNECTIONS_A_NODE * m.slope("callerConnectionBytes"),
        ),
        "owner, reads only": (
            STATEMENTS_A_NODE * m.slope("readForwardedOwnerUs") / 1e6,
            STATEMENTS_A_NODE * m.slope("readForwardedInnerBytes"),
            OWNED * m.bound("targetOwnedBytes"),
        ),
        "owner, writes only": (
            STATEMENTS_A_NODE * m.slope("writeForwardedOwnerUs") / 1e6,
            STATEMENTS_A_NODE * m.slope("writeForwardedInnerBytes"),
            OWNED * m.bound("targetOwnedBytes"),
        ),
        "entry: ranking the owners for each statement": (
            STATEMENTS_A_NODE * rank / 1e6, 0, 0),
        "prober: the probes": (
            m.at("probeUs", probes) / 1e6,
            probes * m.slope("probeBytes"),
            0,
        ),
        "ownership: all targets ranked at each change": (
            TARGETS * (CHANGES_A_SECOND + MEMBER_CHANGES_A_SECOND) * rank
            / 1e6, 0, 0),
        "ownership: only what a change touches": (
            (3 * CHANGES_A_SECOND * rank + TARGETS * MEMBER_CHANGES_A_SECOND
             * m.slope("rankUs")) / 1e6, 0, 0),
        "list of VMs, each second": (
            m.at("listUsPerSecond", NODES) / 1e6,
            m.at("listBytesPerSecond", NODES),
            0,
        ),
        "peers: one asked and one answered every 2 s": (
            2 * PEERS_A_SECOND * m.slope("peerUs") / 1e6,
            2 * PEERS_A_SECOND * m.slope("peerBytes"),
            0,
        ),
        "configuration: whole document for each change": (
            CHANGES_A_SECOND * m.at("changeUs", DATABASES) / 1e6,
            CHANGES_A_SECOND * document,
            m.at("configurationBytes", DATABASES),
        ),
        "configuration: only the database that changed": (
            CHANGES_A_SECOND * m.slope("changeUs") / 1e6,
            CHANGES_A_SECOND * m.slope("changeBytes"),
            m.at("configurationBytes", DATABASES),
        ),
    }


DATA_PATH = ("entry", "owner, reads only", "owner, writes only",
             "entry: ranking the owners for each statement")
AS_BUILT = (
    "prober: the probes",
    "ownership: all targets ranked at each change",
    "list of VMs, each second",
    "configuration: whole document for each change",
)


def node(m):
    rows = []
    for name, (core, rate, memory) in parts(m).items():
        kind = "data path" if name in DATA_PATH else (
            "control, as it runs" if name in AS_BUILT
            else "control, as designed")
        rows.append([name, kind, share(core), number(rate / 1e3),
                     number(memory / 1e6)])
    head = ["part", "kind", "of a core", "KB/s", "MB"]
    return table(head, rows)


def budget(m):
    all_parts = parts(m)
    built = [sum(all_parts[it][k] for it in AS_BUILT) for k in range(3)]
    designed_names = [
        "prober: the probes",
        "ownership: only what a change touches",
        "peers: one asked and one answered every 2 s",
        "configuration: only the database that changed",
    ]
    designed = [sum(all_parts[it][k] for it in designed_names)
                for k in range(3)]
    limits = (CORE_SHARE, MEMORY, BYTES_A_SECOND)
    rows = []
    for what, it in (("as it runs", built), ("as designed", designed)):
        rows.append([what, "processor", share(it[0]), share(limits[0]),
                     verdict(it[0], limits[0])])
        rows.append([what, "memory", f"{number(it[2] / 1e6)} MB", "256 MB",
                     verdict(it[2], limits[1])])
        rows.append([what, "bytes", f"{number(it[1] / 1e3)} KB/s", "11 KB/s",
                     verdict(it[1], limits[2])])
    return table(["control of a node", "of", "takes", "may take", "verdict"],
                 rows)


def platform(m):
    calls = m.slope("platformCallsPerSecond")
    document = m.slope("changeBytes") * DATABASES
    watchers = WATCHERS_A_DOMAIN * DOMAINS
    rows = [
        ["as it runs: calls of all nodes while nothing happens",
         f"{number(calls)} × {NODES:,}", number(calls * NODES),
         f"{PLATFORM_READS:,}/s", verdict(calls * NODES, PLATFORM_READS)],
        ["as it runs: a watch waiting at each node",
         f"1 × {NODES:,}", f"{NODES:,} waiting", f"{PLATFORM_READS:,}",
         verdict(NODES, PLATFORM_READS)],
        ["as it runs: all nodes wake at a change",
         f"{number(CHANGES_A_SECOND)} × {NODES:,}",
         number(CHANGES_A_SECOND * NODES), f"{PLATFORM_READS:,}/s",
         verdict(CHANGES_A_SECOND * NODES, PLATFORM_READS)],
        ["as designed: two watchers a failure domain, lists and watches",
         f"{watchers} × {number(calls)}", number(watchers * calls),
         f"{PLATFORM_READS:,}/s", verdict(watchers * calls, PLATFORM_READS)],
        ["whole configuration in one value",
         f"{DATABASES:,} × {number(m.slope('changeBytes'))} B",
         f"{number(document / 1e6)} MB", "1 MB",
         verdict(document, PLATFORM_VALUE)],
    ]
    return table(["what", "arithmetic", "comes to", "limit", "verdict"], rows)


def tool(m):
    asked = CHANGES_A_SECOND * NODES
    rows = [
        ["`apply`: calls on the platform", f"4 × {number(CHANGES_A_SECOND)}",
         f"{number(4 * CHANGES_A_SECOND)}/s, 1 of 4 a write"],
        ["`apply`: asking every node what is in force",
         f"{number(CHANGES_A_SECOND)} × {NODES:,}",
         f"{number(asked)} peer exchanges a second in the fleet"],
        ["bytes of these at one node",
         f"{number(CHANGES_A_SECOND)} × {number(m.slope('peerBytes'))} B",
         f"{number(CHANGES_A_SECOND * m.slope('peerBytes'))} B/s"],
        ["processor time of these at one node",
         f"{number(CHANGES_A_SECOND)} × {number(m.slope('peerUs'))} µs",
         share(CHANGES_A_SECOND * m.slope("peerUs") / 1e6)],
    ]
    return table(["what", "arithmetic", "comes to"], rows)


BLOCKS = {
    "machine": machine,
    "slopes": slopes,
    "path": path,
    "node": node,
    "budget": budget,
    "platform": platform,
    "tool": tool,
}


def main():
    measured = Measured(json.loads(RESULTS.read_text()))
    page = PAGE.read_text()
    wrong = []
    for name, make in BLOCKS.items():
        begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
        wanted = f"{begin}\n{make(measured)}\n{end}"
        pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.S)
        found = pattern.findall(page)
        if len(found) != 1:
            print(f"docs/CAPACITY.md: block {name} found {len(found)} times, not once")
            return 1
        if found[0] != wanted:
            wrong.append(name)
        page = pattern.sub(lambda _: wanted, page)
    if "--write" in sys.argv[1:]:
        PAGE.write_text(page)
    elif wrong:
        print("docs/CAPACITY.md does not match bench/results/slopes.json:"
              f" {', '.join(wrong)}; see scripts/check-capacity.py --write")
        return 1
    print(f"docs/CAPACITY.md: {len(BLOCKS)} tables match the measurement")
    return 0


if __name__ == "__main__":
    sys.exit(main())
