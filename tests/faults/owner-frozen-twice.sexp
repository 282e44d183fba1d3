; An owner is frozen past its lease and wakes; so is whoever followed it.
(repeat 2
  (let x owner probes-3)
  (freeze x)
  (until other probes-3 x)
  (thaw x)
  (until whole)
  (until owns x probes-3))
