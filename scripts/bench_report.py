"""Figures of a bench run: printed as name=value, written with plots."""
import os
import subprocess


class Report:
    """Collects figures and series; writes report.md, figures.txt and plots."""

    def __init__(self, directory):
        self.directory = directory
        self.sections = []
        os.makedirs(directory, exist_ok=True)

    def section(self, title, text):
        self.sections.append({"title": title, "text": text, "rows": [],
                              "plots": []})

    def figure(self, name, value, baseline=None, target=None):
        """Prints name=value, with what it is to be compared with beside it."""
        parts = [f"{name}={value:g}"]
        if baseline:
            parts.append("baseline_" + "{}={:g}".format(*baseline))
        if target:
            parts.append(f"target={target}")
        print(" ".join(parts), flush=True)
        self.sections[-1]["rows"].append((name, value, baseline, target))

    def note(self, text):
        print("note=" + text, flush=True)
        self.sections[-1]["text"] += "\n\n" + text

    def plot_lines(self, name, x_label, y_label, series, log_y=False):
        """series: {title: [(x, y), ...]}"""
        commands = [f'set xlabel "{x_label}"', f'set ylabel "{y_label}"',
                    "set grid", "set key outside right"]
        if log_y:
            commands.append("set logscale y")
        blocks, plots = [], []
        for i, (title, points) in enumerate(series.items()):
            blocks.append(f"$d{i} << EOD\n" + "\n".join(
                f"{x} {y}" for x, y in points) + "\nEOD")
            plots.append(f'$d{i} using 1:2 with linespoints title "{title}"')
        self._gnuplot(name, blocks + commands + ["plot " + ", ".join(plots)])

    def plot_bars(self, name, y_label, bars, log_y=False):
        """bars: [(label, value), ...]"""
        block = "$d << EOD\n" + "\n".join(
            f'"{label}" {value}' for label, value in bars) + "\nEOD"
        commands = [block, f'set ylabel "{y_label}"', "set style fill solid",
                    "set boxwidth 0.6", "set grid y", "set xtics rotate by -30",
                    "unset key"]
        if log_y:
            commands.append("set logscale y")
        else:
            commands.append("set yrange [0:*]")
        commands.append("plot $d using 0:2:xtic(1) with boxes")
        self._gnuplot(name, commands)

    def _gnuplot(self, name, commands):
        script = "\n".join(["set terminal svg size 800,420",
                            f'set output "{name}.svg"', *commands]) + "\n"
        result = subprocess.run(["gnuplot"], input=script, text=True,
                                cwd=self.directory, capture_output=True)
        if result.returncode != 0:
            print("note=plot " + name + " failed: " + result.stderr.strip())
            return
        self.sections[-1]["plots"].append(name)

    def write(self):
        out = ["# Bench report", ""]
        for section in self.sections:
            out += ["## " + section["title"], "", section["text"], ""]
            if section["rows"]:
                out += ["| figure | value | baseline | target |",
                        "|---|---|---|---|"]
            for name, value, baseline, target in section["rows"]:
                base = "{}: {:g}".format(*baseline) if baseline else ""
                out.append(f"| {name} | {value:g} | {base} | {target or ''} |")
            out.append("")
            out += [f"![{name}]({name}.svg)\n" for name in section["plots"]]
        with open(os.path.join(self.directory, "report.md"), "w",
                  encoding="utf-8") as f:
            f.write("\n".join(out))
        with open(os.path.join(self.directory, "figures.txt"), "w",
                  encoding="utf-8") as f:
            for section in self.sections:
                for name, value, _, _ in section["rows"]:
                    f.write(f"{name}={value:g}\n")
