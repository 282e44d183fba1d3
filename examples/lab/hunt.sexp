; The base of a fault search: two couriers and an outage of five seconds, to which the search adds faults.
;   python -m winchspan.lab hunt examples/lab/hunt.sexp --days 1000
(experiment (seconds 20) (loads 0.8) (couriers 2) (seeds 1))
(partner (outage 5 10))
