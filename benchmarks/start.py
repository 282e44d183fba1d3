"""Measures the cost of a start, and of replacing a file.

`PYTHONPATH=. python benchmarks/start.py starts OLD NEW`: CPU of the starts of two checkouts in alternation.
`PYTHONPATH=. python benchmarks/start.py rename DIR`: milliseconds of a rename and of a removal on a disk.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from winchspan.fakes.ports import HOST, free_ports


def start(root: Path) -> float:
    """Return the CPU ms of one start, up to its log line `listens`."""
    with tempfile.TemporaryDirectory() as folder:
        state = Path(folder) / "state"
        state.mkdir()
        config = json.loads((root / "examples" / "config.json").read_text())
        config.pop("admin", None)
        config |= {"listen": f"{HOST}:{free_ports(1)[0]}", "state": str(state)}
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "winchspan", "--operator", "deploy/kenanga.sexp"],
            cwd=root,
            env={**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": ""},
            stderr=subprocess.PIPE,
        )
        assert process.stderr is not None
        for line in process.stderr:
            if b"listens" in line:
                break
        cpu_ms = int((Path("/proc") / str(process.pid) / "schedstat").read_text().split()[0]) / 1e6
        process.kill()
        process.wait()
        process.stderr.close()
        return cpu_ms


@click.group()
def main() -> None:
    """Measure a start, or a rename."""


@main.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@click.option("--count", default=40, help="Starts of each checkout.")
def starts(old: Path, new: Path, count: int) -> None:
    """Measure the CPU of the starts of two checkouts in alternation."""
    pairs = [(start(old.resolve()), start(new.resolve())) for _ in range(count + 1)][1:]
    for name, costs in ((old, [a for a, _ in pairs]), (new, [b for _, b in pairs])):
        print(f"{name}: {statistics.median(costs):.1f} ms in the median, {min(costs):.1f} the least")
    print(f"lower in {sum(b < a for a, b in pairs)} of {count} pairs")


@main.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def rename(folder: Path) -> None:
    """Measure 15 rewrites of a file by rename, and 15 by removal of the old file."""
    for by in ("rename", "removal"):
        with tempfile.TemporaryDirectory(dir=folder) as directory:
            times_ms, path, other = list[float](), Path(directory) / "a", Path(directory) / "b"
            fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
            for _ in range(15):
                for _ in range(150):
                    os.write(fd, b"x" * 600)
                    time.sleep(0.002)
                begin = time.perf_counter()
                new = os.open(other, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
                os.write(new, b"y" * 9_000)
                if by == "rename":
                    os.replace(other, path)
                else:
                    path.unlink()
                    path, other = other, path
                os.close(fd)
                times_ms.append((time.perf_counter() - begin) * 1_000.0)
                fd = new
            os.close(fd)
        print(
            f"{by}: {min(times_ms):.2f} ms the least, {statistics.median(times_ms):.2f} in the median, "
            f"{max(times_ms):.2f} the most"
        )


if __name__ == "__main__":
    main()
