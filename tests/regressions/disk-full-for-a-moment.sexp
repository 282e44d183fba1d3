; Found by a hunt (seed 7): the disk is full while deliveries end, and the courier is started anew later. What could not
; be noted was taken for open, and told as returned after its delivery.
(experiment
  (seconds 16) (loads 0.8) (couriers 2)
  (seeds 1) (first-seed 2039119536))
(partner (outage 5 10))
(trouble "1" (what full) (source "n1") (at 2.146) (lasts 7.646))
(trouble "2" (what term) (source "n1") (at 12.897) (lasts 0.458))
