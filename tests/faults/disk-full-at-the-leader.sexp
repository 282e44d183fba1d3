; A leader whose disk takes nothing does not lead; it forgets nothing.
(let x leader)
(fill x)
(alone x) (until led-without x) (heal)
(rest 3)
(until led-without x)
(room x)
(until whole) (until owned probes-3)
