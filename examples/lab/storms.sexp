; Retry storms at a partner that collapses easily, with overload control off and on:
;   python -m winchspan.lab run examples/lab/storms.sexp results
;   python -m winchspan.lab compare results off on
;   python -m winchspan.lab report results
(experiment
  (seconds 120)
  (loads 0.37 0.76 1.0 1.2)
  (couriers 3)
  (seeds 10))
(partner (outage 30 60) (fall 1.3) (start 0.25))
(variant "off")
(variant "on" (operator "../storms.sexp"))
