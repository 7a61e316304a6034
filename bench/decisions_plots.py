"""Plots of `bench.decisions`: p99 by policy, one PNG for each service."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot


def write(results, folder):
    """Writes one bar chart for each service into a folder."""
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for service in dict.fromkeys(key[0] for key in results):
        scenarios = list(
            dict.fromkeys(k[1] for k in results if k[0] == service)
        )
        policies = list(dict.fromkeys(k[2] for k in results if k[0] == service))
        figure, axes = pyplot.subplots(figsize=(12, 5))
        width = 0.8 / len(policies)
        for number, policy in enumerate(policies):
            places = [i + number * width for i in range(len(scenarios))]
            heights = [results[service, s, policy]["p99_ms"] for s in scenarios]
            axes.bar(places, heights, width, label=policy)
        axes.set_xticks([i + 0.4 for i in range(len(scenarios))], scenarios)
        axes.set_yscale("log")
        axes.set_ylabel("p99 latency in ms, failures as the deadline")
        axes.set_title(service)
        axes.legend()
        figure.savefig(target / f"{service}.png")
        pyplot.close(figure)
