; A message that lay unread while the courier hung had as much more time, and its notice came late by that.
; Found on the fleet's bench (herd+vast on overloaded cores), drawn here with hangs and shrunk.
(experiment
  (seconds 6.0) (loads 0.9) (couriers 1)
  (seeds 1) (first-seed 2)
  (latency 0.2) (jitter 0.0) (torn no))
(partner (listed 20.0) (actual 0.0) (capacity 24.0) (service 0.2)
  (queue 24) (cold 14.0) (start 0.3333333333333333) (fall 2.0) (tells-wait no))
(trouble "1" (what cut) (source "n0") (target "partner 7") (at 0.3) (lasts 11.0))
(trouble "2" (what hang) (source "n0") (target "") (at 0.514) (lasts 0.395))
