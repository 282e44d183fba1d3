; An operator's file that enables overload control. The schema: docs/operators/operator.md
(storms
  (on yes)
  (words yes)                  ; -BUSY 1234 partner 7 does not answer, come back in 1.2 s
  (report "storms.prom"))      ; written on SIGUSR1
