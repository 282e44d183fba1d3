; An owner loses its folder, and with it its vote; it is admitted anew.
(let x owner probes-3)
(lose x)
(until other probes-3 x)
(start x)
(until whole)
(until owns x probes-3)
