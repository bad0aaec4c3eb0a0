#!/usr/bin/env python3
"""Says where the worth of played days was lost, from the files that the users'
bench writes with --report.

    scripts/day_report.py FILE...           a table for each day
    scripts/day_report.py --mean FILE...    the means over all days
"""
import json
import sys

WINDOWS_SHOWN = 5
LEAST_PRICE = 0.0005  # of the worth of a day


def shares(counts):
    """Outcomes as shares of the requests that were owed."""
    owed = max(counts["n"] - counts["not_owed"], 1)
    return {name: counts[name] / owed
            for name in ("in_aim", "late", "refused", "failed")}


def show_classes(classes):
    print("  requests of          owed  in time    late  refused   failed")
    for each in classes:
        share = shares(each)
        print(f"  {each['name']:18s} {each['n'] - each['not_owed']:6d}"
              f"  {share['in_aim']:.4f}  {share['late']:.4f}"
              f"   {share['refused']:.4f}   {share['failed']:.4f}")


def show_day(path):
    with open(path, encoding="utf-8") as source:
        day = json.load(source)
    print(f"{path}: worth {day['G']:.3f}"
          + (f", broken rules {day['breaks']}" if day["breaks"] else ""))
    for name, weight, value in day["parts"]:
        print(f"  {name:18s} {value:.3f}, lost {weight * (1 - value):.3f}")
    for name, amount, price in day["prices"]:
        if abs(price) >= LEAST_PRICE:
            print(f"  price of {name}: {price:.4f} ({amount:g})")
    show_classes(day["classes"])
    for window in sorted(day["windows"], key=lambda w: w["worth"]
                         )[:WINDOWS_SHOWN]:
        print(f"  from second {window['name']}: worth {window['worth']:.3f}, "
              f"{window['late']} late and {window['failed']} failed of "
              f"{window['n']}")
    for outcome, count, _ in day["unserved_by"]:
        print(f"  not served, last attempt '{outcome}': {count}")
    for service in day["services"]:
        print(f"  {service['name']}: {service['arrivals']} requests at "
              f"runners, {service['not_run']} did not run, "
              f"{service['again']} runs beyond the first")


def add(sums, name, value):
    sums[name] = sums.get(name, 0) + value


def show_mean(paths):
    sums = {}
    classes = {}
    for path in paths:
        with open(path, encoding="utf-8") as source:
            day = json.load(source)
        add(sums, "worth", day["G"])
        for name, _, value in day["parts"]:
            add(sums, name, value)
        for name, _, price in day["prices"]:
            add(sums, "price of " + name, price)
        for service in day["services"]:
            add(sums, "requests at runners", service["arrivals"])
            add(sums, "of these not run", service["not_run"])
        for each in day["classes"]:
            counts = classes.setdefault(each["name"], {"name": each["name"]})
            for name in ("n", "not_owed", "in_aim", "late", "refused",
                         "failed"):
                add(counts, name, each[name])
    print(f"mean of {len(paths)} days")
    for name, value in sums.items():
        if abs(value / len(paths)) >= LEAST_PRICE:
            print(f"  {name:40s} {value / len(paths):.4f}")
    show_classes(classes.values())


def main():
    paths = sys.argv[1:]
    mean = paths[:1] == ["--mean"]
    if mean:
        paths = paths[1:]
    if not paths:
        sys.exit(__doc__)
    if mean:
        show_mean(paths)
    else:
        for path in paths:
            show_day(path)


if __name__ == "__main__":
    main()
