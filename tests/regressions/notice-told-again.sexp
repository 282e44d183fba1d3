; A notice that was answered while an upgrade stood still was told again. Found by a hunt, seed 11.
; Its upgrade was moved where changes moved the day by milliseconds: found again by scans of its time, mutated and not.
(experiment
  (seconds 20.0) (loads 0.8) (couriers 2)
  (seeds 1) (first-seed 1752332681)
  (latency 0.2) (jitter 5.0) (torn yes))
(partner (listed 20.0) (actual 0.0) (capacity 24.0) (service 0.2)
  (queue 24) (cold 14.0) (start 0.3333333333333333) (fall 2.0) (tells-wait no) (outage 5.0 10.0) (mode silent))
(trouble "1" (what drain) (source "n0") (target "") (at 3.13) (lasts 2.035))
(trouble "2" (what vanish) (source "n1") (target "") (at 3.337) (lasts 1.096))
(trouble "3" (what offline) (source "n0") (target "partner 8") (at 7.672) (lasts 4.368))
(trouble "4" (what upgrade) (source "n0") (target "") (at 19.442) (lasts 0.0))

