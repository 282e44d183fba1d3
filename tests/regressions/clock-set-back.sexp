; Found by a hunt (seed 1, day 131), and shrunk: the wall clock is set back by seven minutes, and the courier
; started anew. What it held got as much more time, and what may have run was sent again after its window.
(experiment
  (seconds 8.0) (loads 0.8) (couriers 2)
  (seeds 1) (first-seed 1617975845))
(partner (outage 5.0 10.0))
(trouble "1" (what step) (source "n1") (at 6.199) (lasts -418.516))
(trouble "2" (what term) (source "n1") (at 7.548) (lasts 0.386))
