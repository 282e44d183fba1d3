; An owner hears and is not heard; then it is heard and does not hear.
(let x owner probes-3)
(mute x) (until other probes-3 x) (until idle x)
(heal) (until whole) (until owns x probes-3)
(deaf x) (until other probes-3 x) (until idle x)
(heal) (until whole) (until owns x probes-3)
