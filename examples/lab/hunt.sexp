; A base for hunts: two couriers, an outage of five seconds, and whatever the hunt adds.
;   python -m winchspan.lab hunt examples/lab/hunt.sexp --days 1000
(experiment (seconds 20) (loads 0.8) (couriers 2) (seeds 1))
(partner (outage 5 10))
