; The operator's own file for this platform. Each key, with unit, range and default: docs/operators/operator.md
(storms
  (on yes)
  (least-part 2)    ; small partners, as all here, are watched, not governed (docs/measured/storms.md)
  (pace-calm no)    ; the limits here are a partner's own; in calm times the module learns them
  (words no))       ; the platform's protocol has no place for words
(undelivered
  (on no))          ; off: the folder that lasts has 3 MB, and is the journal's
(control
  (on no))          ; off: nobody is on a courier's machine to ask
(fleet
  (on no))          ; off: couriers share nothing on this platform
