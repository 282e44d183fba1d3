"""The experiment tool: runs parameter sweeps on the emulator, compares variants, and searches for faults.

`experiment` defines the inputs of a run. `experiment_schema` and `experiment_file` read and write
experiment files. `runner` executes one run, and `measures` computes the rows that are stored of it.
`results` stores runs under their addresses and builds tables from them. `comparison` pairs the runs of two
variants by seed. `charts` and `report` draw. `fault_search` executes runs with random faults and collects
those that break a rule, and `shrinking` reduces them.
"""
