package worker

import (
	"time"

	"bramleythread/io/wire"
)

// reasonPermissionExpired is the reason of a start that is abandoned because the
// permission to begin it has expired.
const reasonPermissionExpired = "start_permission_expired"

// startPermission is the time until which the starts of one set of orders may begin or
// be retried. Orders that arrive late, or that an unreachable scheduler cannot revoke,
// thus start nothing in a zone that has been evacuated since. The time is measured
// from a report that the scheduler had received when it sent the orders, on the clock
// that also counts suspension of the VM. The zero value is not limited.
type startPermission struct {
	length time.Duration // 0 if not limited
	until  time.Duration // boot time
}

// permissionOf returns the permission that orders give, as received.
func permissionOf(o *wire.WorkerOrders) startPermission {
	if o.StartPermission <= 0 {
		return startPermission{}
	}
	return startPermission{length: o.StartPermission, until: o.LastReportSent + o.StartPermission}
}

func (p startPermission) expired(bootTime time.Duration) bool {
	return p.length > 0 && bootTime > p.until
}

// callTimeout returns the time limit of a call that starts a run. After it the start is
// retried or prevented. Half of the permission is what the limit of an evacuation
// leaves for the call.
func (p startPermission) callTimeout() time.Duration {
	if p.length == 0 {
		return callTimeout
	}
	return min(callTimeout, p.length/2)
}
