package caller

import "time"

// processStart anchors the clock of the process.
var processStart = time.Now()

// clock returns the time since the start of the process, added to the wall
// clock's time of the start. Neither the reading of the monotonic clock nor
// that of the wall clock jumps, so a recorded trace replays to the same
// decisions.
func clock() time.Time { return processStart.Add(time.Since(processStart)) }
