"""Runs one experiment over the real programs and writes its rows, a table and a plot.

    python3 Benchmarks/Lab/experiment.py Benchmarks/Lab/Experiments/NAME.json

The description names a kind (see measures.py) and its parameters. `table` lists the
columns to group by and the figures to show as median, minimum and maximum; `plot`
names the figure to draw. Each kind interleaves its repeats.
"""

import argparse
import json
import sys
import tempfile
from pathlib import Path

from bench_support import bench_topology, median
from deployment import Deployment, default_binaries
from measures import KINDS
from plot import bar_chart


def group_rows(rows, keys):
    grouped = {}
    for row in rows:
        grouped.setdefault(tuple(str(row[key]) for key in keys), []).append(row)
    return grouped


def table(rows, keys, figures):
    """Markdown table: medians over the runs, with minimum and maximum."""
    lines = ["| " + " | ".join([*keys, "runs", *figures]) + " |",
             "|" + " --- |" * (len(keys) + len(figures) + 1)]
    for group, members in group_rows(rows, keys).items():
        cells = [*group, str(len(members))]
        for figure in figures:
            values = [row[figure] for row in members]
            cells.append(f"{median(values):.4g} ({min(values):.4g} to {max(values):.4g})")
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment")
    parser.add_argument("--binaries", default=default_binaries())
    parser.add_argument("--folder",
                        help="folder for settings, logs and results; default: a new temporary one")
    arguments = parser.parse_args()
    spec = json.loads(Path(arguments.experiment).read_text())
    name = Path(arguments.experiment).stem
    folder = Path(arguments.folder or tempfile.mkdtemp(prefix=f"carobbank-{name}-"))

    def make_deployment(label, topology_spec, services, variant=None, seed=1):
        run_folder = folder / label
        return Deployment(bench_topology(run_folder, topology_spec, services, variant, seed),
                          arguments.binaries, run_folder)

    rows = KINDS[spec["kind"]](spec, make_deployment)
    (folder / f"{name}.json").write_text(json.dumps({"experiment": spec, "rows": rows}, indent=1))
    keys, figures = spec["table"]["by"], spec["table"]["figures"]
    print("\n".join(table(rows, keys, figures)))
    figure = spec["plot"]
    bars = [(" ".join(group), [row[figure] for row in members])
            for group, members in group_rows(rows, keys).items()]
    (folder / f"{name}.svg").write_text(bar_chart(f"{name}: {figure}", bars))
    print(f"results: {folder / name}.json and .svg")
    return 0


if __name__ == "__main__":
    sys.exit(main())
