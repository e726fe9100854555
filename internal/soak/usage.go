package soak

import (
	"time"

	"celerypin.example/celerypin/platform/standin"
)

// lease is the time within which two holders of the duty must not act in the order A, B, A.
const lease = 3 * time.Second

// checkUsage checks the usage reports that the platform's API carried out: never two counts
// for one window, no falling token, and no holders in the order A, B, A within a lease. The
// counts are not compared with what ran, because a request that is lost on a silent connection
// counts although it may not have run. The caller holds the lock.
func (r *record) checkUsage(calls []standin.UsageCall) {
	for _, rule := range standin.BrokenRules(calls, lease) {
		r.addViolationLocked("usage reports: %s", rule)
	}
}
