; The operator's file of benchmarks/storms.py: all defaults.
(storms (on yes))
