#!/usr/bin/env python3
"""Writes random days of a site file, to be played with `fleetbench run SITE DAY`.

  deploy/days/draw.py SITE DIR --first SEED --count N [--with KIND] [--others N]

Each day holds one or two disruptions of KIND (such as `evacuate` or `burst`) and some others from the
list of disruptions in the site file, with random times and strengths, and one of the final faults.
The same seed gives the same day.
"""
import argparse
import os
import random
import tomllib

CLOSINGS = [
    '{ kind = "power_off_all", down_s = 1.2, how = "all" }',
    '{ kind = "power_off_all", down_s = 1.0, how = "taken" }',
    '{ kind = "kill_all", down_s = 1.0 }',
]
# Disruptions that the platform counts as planned work.
PLANNED = {
    "config_change", "config_storm", "big_config", "evacuate", "hup", "roll_term",
    "scale_in", "scale_out", "add_nodes", "release",
}
TRAFFIC_S = 34.0


def value(it):
    return f'"{it}"' if isinstance(it, str) else str(it)


def entry(trouble, rng, zones):
    fields = dict(trouble)
    for name in ("for_s", "x", "gap_s", "share"):
        if name in fields:
            fields[name] = round(fields[name] * rng.uniform(0.6, 1.4), 3)
    if "share" in fields:
        fields["share"] = min(fields["share"], 1.0)
    if fields["kind"] == "evacuate":
        fields["zone"] = rng.choice(zones)
        fields["for_s"] = round(rng.choice([0.4, rng.uniform(3, 14), rng.uniform(6, 60)]), 2)
        fields["how"] = rng.choice(["", "warm"])
    fields["at"] = round(rng.uniform(0.5, TRAFFIC_S - 6.0), 2)
    return "  { " + ", ".join(f"{k} = {value(v)}" for k, v in fields.items()) + " },"


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("site")
    args.add_argument("dir")
    args.add_argument("--first", type=int, default=1)
    args.add_argument("--count", type=int, default=8)
    args.add_argument("--with", dest="kind", default="evacuate")
    args.add_argument("--others", type=int, default=3)
    args = args.parse_args()
    with open(args.site, "rb") as file:
        site = tomllib.load(file)
    zones = [it["name"] for it in site["zones"]]
    wanted = [it for it in site["troubles"] if it["kind"] == args.kind]
    others = [it for it in site["troubles"] if it["kind"] != args.kind]
    os.makedirs(args.dir, exist_ok=True)
    for seed in range(args.first, args.first + args.count):
        rng = random.Random(f"{args.kind} {seed}")
        chosen = [rng.choice(wanted) for _ in range(rng.choice([1, 1, 2]))]
        chosen += rng.sample(others, args.others)
        lines = {True: [], False: []}
        for trouble in chosen:
            lines[trouble["kind"] in PLANNED].append(entry(trouble, rng, zones))
        name = f"{args.kind}-{seed}"
        text = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "one = 0.7", "zero = 0.1"]
        text += ["goal = { floor = 0.001 }", "labels = []", f"closing = {rng.choice(CLOSINGS)}"]
        text += ["plan = [", *lines[True], "]", "faults = [", *lines[False], "]"]
        with open(os.path.join(args.dir, f"{name}.toml"), "w") as file:
            file.write("\n".join(text) + "\n")


if __name__ == "__main__":
    main()
