; All die and are back: duties go on under later epochs.
(until owned probes-3)
(kill all) (until nobody probes-3)
(start all) (until whole) (until owned probes-3)
