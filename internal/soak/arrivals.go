package soak

import (
	"net/http"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

const (
	// quietDelay is the time after which a host keeps to the quiet that an upstream asks for.
	quietDelay = 500 * time.Millisecond
	// maxQuietArrivals is the number of requests that may reach the upstream all the same.
	maxQuietArrivals = 2
	// lossDuration is how long answers may get lost after connections were cut off.
	lossDuration = time.Second
)

// passage is the way from a host, given by its address, to an upstream.
type passage struct {
	address  string
	upstream id.Upstream
}

// arrival is a request that reached an upstream.
type arrival struct {
	attempt id.Attempt
	at      time.Time
	// leaving is set if the upstream said in its answer that it is leaving.
	leaving bool
	// quiet is the time for which the upstream wants no requests, if it refused this one.
	quiet time.Duration
}

// interval is a time that has not ended if its end is zero.
type interval struct{ begin, end time.Time }

// disturb notes that a host's process is paused or ends, or that the connections to an
// upstream are disturbed, until the returned function is called. Hosts are named by their
// address, upstreams by their ID.
func (r *record) disturb(name string) (ended func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances[name] = append(r.disturbances[name], interval{begin: time.Now()})
	n := len(r.disturbances[name]) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[name][n].end = time.Now()
	}
}

// disturbLinks notes that answers of an upstream may get lost for lossDuration.
func (r *record) disturbLinks(u *upstream) {
	time.AfterFunc(lossDuration, r.disturb(string(u.Info.ID)))
}

// disturbed reports whether a host or an upstream was disturbed at some time between two.
func (r *record) disturbed(name string, from, to time.Time) bool {
	return slices.ContainsFunc(r.disturbances[name], func(i interval) bool {
		return i.begin.Before(to) && (i.end.IsZero() || i.end.After(from))
	})
}

// refused notes that an upstream refused a request.
func (r *record) refused(f standin.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.attempts[f.Attempt]; t != nil {
		r.noteArrival(t, arrival{attempt: f.Attempt, at: f.At, quiet: f.Quiet}, f.Upstream)
	}
}

// noteArrival notes that a request reached an upstream. The caller holds the lock.
func (r *record) noteArrival(t *attempt, a arrival, u id.Upstream) {
	p := passage{t.address, u}
	r.arrivals[p] = append(r.arrivals[p], a)
}

// checkArrivals checks that hosts keep to what upstreams said in their answers.
func (r *record) checkArrivals() {
	for p, arrivals := range r.arrivals {
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		r.checkQuiet(p, arrivals)
		r.checkLeaving(p, arrivals)
	}
}

// checkQuiet checks that an upstream that wants no requests for some time gets at most
// maxQuietArrivals in it.
func (r *record) checkQuiet(p passage, arrivals []arrival) {
	for i, refused := range arrivals {
		begin, end := refused.at.Add(quietDelay), refused.at.Add(refused.quiet)
		if r.disturbed(p.address, refused.at, end) || r.disturbed(string(p.upstream), refused.at, begin) {
			continue
		}
		got := 0
		for _, a := range arrivals[i+1:] {
			if a.at.After(begin) && a.at.Before(end) {
				got++
			}
		}
		if got > maxQuietArrivals {
			r.addViolationLocked("upstream %s received %d requests from %s within the %v in which it wanted none", p.upstream, got, p.address, refused.quiet)
			return
		}
	}
}

// checkLeaving checks that an upstream gets no request that a client sent later than
// maxDrainDelay after the host had passed on an answer which says that it is leaving.
func (r *record) checkLeaving(p passage, arrivals []arrival) {
	var toldAt time.Time
	for _, a := range arrivals {
		t := r.attempts[a.attempt]
		passedOn := t.err == nil && t.answer.Status == http.StatusOK && len(t.executions) == 1
		if a.leaving && passedOn && (toldAt.IsZero() || t.answeredAt.Before(toldAt)) {
			toldAt = t.answeredAt
		}
	}
	if toldAt.IsZero() {
		return
	}
	for _, a := range arrivals {
		sentAt := r.attempts[a.attempt].sentAt
		if sentAt.Sub(toldAt) > maxDrainDelay && !r.disturbed(p.address, toldAt, sentAt) {
			r.addViolationLocked("upstream %s received attempt %s from %s %v after that host had passed on that it is leaving", p.upstream, a.attempt, p.address, sentAt.Sub(toldAt))
			return
		}
	}
}
