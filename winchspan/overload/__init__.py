"""Overload control: detects and damps retry storms, and tells rejected clients when to retry.

`governor` is the entry point; `docs/storms.md` describes the design. The decisions neither do I/O nor read a
clock; only `setup`, `report` and `prometheus_metrics` belong to the wiring and may do so.
"""
