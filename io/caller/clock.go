package caller

import "time"

// processStart is the wall-clock time at which the process started.
var processStart = time.Now()

// clock returns processStart plus the monotonic time elapsed since then. It is
// not affected by steps of the system clock, so a recorded trace replays to the
// same decisions.
func clock() time.Time { return processStart.Add(time.Since(processStart)) }
