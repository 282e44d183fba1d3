; Whoever leads is cut off, again and again.
(repeat 4
  (let x leader)
  (alone x)
  (until led-without x)
  (until owned probes-3)
  (heal)
  (until whole))
