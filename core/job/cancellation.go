package job

import "time"

// Starts and cancellations. An order to start cannot be taken back once the scheduler, or
// its connection to the agent, is lost, and its successor is heard only by an agent whose
// worker answers. So orders permit starts for a limited time only, which is chosen such
// that a start ends within the limit of a cancellation that the scheduler has not read.
const (
	// maxCancellationAgeShare is the share of the limit that the scheduler's knowledge
	// of cancellations may have aged when it orders a start.
	maxCancellationAgeShare = 0.5

	// cancellationPermissionShare is the share of the rest for which a start may begin
	// or be retried. Half as much again is for the call to the worker.
	cancellationPermissionShare = 0.6
)

// CancellationPermission returns how long after its last report an agent may begin a
// start, for the limit within which a cancellation must take effect and the time since
// the scheduler knew all cancellations. It returns 0 if no start may be ordered.
func CancellationPermission(limit, age time.Duration) time.Duration {
	if float64(age) > maxCancellationAgeShare*float64(limit) {
		return 0
	}
	return time.Duration(cancellationPermissionShare * float64(limit-age))
}
