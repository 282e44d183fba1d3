; An owner is heard by nobody until another has its duty; then it goes on as if nothing had been.
(let x owner probes-3)
(alone x)
(rest 4)
(heal)
(rest 4)
