; The operator's file of benchmarks/undelivered.py: everything is kept, and sent again at once where that may be.
; @state@ stands for each courier's own folder.
(undelivered (on yes) (folder "@state@"))
(resend "at once" (ran never may) (after 0) (before 31536000) (rate 1000) (backoff 0) (most 9))
