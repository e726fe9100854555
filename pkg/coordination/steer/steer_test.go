package steer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// scriptedSender is a Sender whose exchanges end with the results of script, then
// with Answered; each exchange advances the clock by latency.
type scriptedSender struct {
	clock   *clock.Fake
	script  []Result
	latency time.Duration
	sent    []id.Upstream
	params  []SendParams
	// onSend, if set, is called before each answer.
	onSend func()
	// resultOf, if set, returns the result of each exchange with an upstream.
	resultOf func(*place.Upstream) Result
	// change, if set, changes the result of each exchange.
	change func(SendParams, *Exchange[string])
}

func (s *scriptedSender) Send(_ context.Context, _ *Request, p SendParams) Exchange[string] {
	s.sent = append(s.sent, p.Upstream.Info.ID)
	s.params = append(s.params, p)
	s.clock.Advance(s.latency)
	if s.onSend != nil {
		s.onSend()
	}
	result := Answered
	if n := len(s.sent); n <= len(s.script) {
		result = s.script[n-1]
	}
	if s.resultOf != nil {
		result = s.resultOf(p.Upstream)
	}
	e := Exchange[string]{Result: result, Answer: "answer", ReusedConnection: true}
	if s.change != nil {
		s.change(p, &e)
	}
	return e
}

// state returns a desired state with a route of each kind, two services, and
// accounts with a large quota, a small one and a home region.
func state() *desired.State {
	s := &desired.State{Version: 5, Services: []*desired.Service{{Name: "viewer"}, {Name: "desk"}}}
	s.Accounts = []*desired.Account{
		{ID: "choir", Keys: []string{"k"}, Rate: 1000, Burst: 1000}, {ID: "small", Keys: []string{"s"}, Rate: 0.5, Burst: 1},
		{ID: "homed", Keys: []string{"h"}, Homes: []id.Region{"b"}},
	}
	add := func(name id.Route, kind desired.Kind, targets ...desired.Target) {
		s.Routes = append(s.Routes, &desired.Route{
			Name: name, VirtualHost: "a.example", Prefix: "/" + string(name) + "/", Kind: kind, Targets: targets,
			Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond, MaxAttempts: 2,
		})
	}
	viewer, desk := desired.Target{Service: "viewer", Weight: 3}, desired.Target{Service: "desk", Weight: 1}
	add("look", desired.Idempotent, viewer)
	add("swap", desired.NonIdempotent, viewer)
	add("photo", desired.Upload, viewer)
	add("split", desired.Idempotent, viewer, desk)
	s.Routes = append(s.Routes, &desired.Route{Name: "open", VirtualHost: "a.example", Prefix: "/open/", Targets: []desired.Target{viewer}, Open: true, MaxAttempts: 1})
	return s.Compile()
}

// fixture is a steerer at a host in region a, with six upstreams of each service in
// regions a and b.
type fixture struct {
	*Steerer[string]
	sender *scriptedSender
	clock  *clock.Fake
}

func newFixture(script ...Result) *fixture {
	c := clock.NewFake()
	s := state()
	var list []place.Listing
	for _, service := range []id.Service{"viewer", "desk"} {
		for i := range 6 {
			region := id.Region("ab"[i%2 : i%2+1])
			list = append(list, place.Listing{Info: fleet.Upstream{
				ID: id.Upstream(fmt.Sprintf("%s-%d", service, i)), Service: service, Release: "v1", Region: region, FailureDomain: id.FailureDomain(region),
				Address: fmt.Sprint(service, i), Slots: 4, State: fleet.UpstreamLive,
			}})
		}
	}
	placer := place.New("a", "a", 0.15, place.DefaultPolicy())
	placer.Update(list, map[id.Region]float64{"a": 0.5, "b": 0.5}, c.Now())
	shares := quota.New(quota.Tolerance{Window: 5 * time.Second}, c.Now())
	shares.Rebalance(s.Accounts, quota.NoPeers(), c.Now())
	splits := release.NewSplits()
	sender := &scriptedSender{clock: c, script: script, latency: 20 * time.Millisecond}
	return &fixture{sender: sender, clock: c, Steerer: New(Dependencies[string]{
		State: rcu.New(s), Draw: NoPool, Current: AlwaysCurrent, Accepts: AcceptsAll, Shares: shares, Placer: placer, Splits: splits, Recorder: release.NewRecorder(splits),
		Approved: func(id.Service) id.Release { return "v1" }, Sender: sender, Clock: c, Random: SystemRandom{}, RetryRatio: 0.2, RetryReserve: 5,
	})}
}

func (f *fixture) request(path, key string) *Request {
	return &Request{
		Attempt: "a-1", VirtualHost: "a.example", Path: path, Object: "17", Key: key, HasKey: key != "",
		Remaining: 2500 * time.Millisecond, Arrived: f.clock.Now(), Replayable: true,
	}
}

var outcomeNames = map[Outcome]string{
	Delivered: "delivered", UnknownRoute: "unknown route", UnknownKey: "unknown key", OverQuota: "over quota",
	Refused: "refused", Failed: "failed", TimedOut: "timed out", ClientLeft: "client left",
}

// TestOutcomes compares the decisions for each kind of request and each way an
// exchange may end with the golden file.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, path, key string
		script          []Result
	}{
		{"served", "/look/1", "k", nil},
		{"no route", "/other/1", "k", nil},
		{"no key", "/look/1", "", nil},
		{"unknown key", "/look/1", "x", nil},
		{"open route without key", "/open/1", "", nil},
		{"open route with a key", "/open/1", "k", nil},
		{"idempotent, answer lost once", "/look/1", "k", []Result{NoAnswer}},
		{"idempotent, answers lost", "/look/1", "k", []Result{NoAnswer, NoAnswer, NoAnswer}},
		{"idempotent, upstream fails", "/look/1", "k", []Result{AnsweredFailure}},
		{"idempotent, upstreams fail", "/look/1", "k", []Result{AnsweredFailure, AnsweredFailure}},
		{"not idempotent, answer lost", "/swap/1", "k", []Result{NoAnswer}},
		{"not idempotent, upstream fails", "/swap/1", "k", []Result{AnsweredFailure}},
		{"not idempotent, shed once", "/swap/1", "k", []Result{Shed}},
		{"not idempotent, shed twice", "/swap/1", "k", []Result{Shed, Shed}},
		{"not idempotent, misdirected", "/swap/1", "k", []Result{Misdirected}},
		{"not idempotent, not sent", "/swap/1", "k", []Result{NotSent}},
		{"not idempotent, shed, then lost", "/swap/1", "k", []Result{Shed, NoAnswer}},
		{"upload, answer lost", "/photo/1", "k", []Result{NoAnswer}},
	}
	var out strings.Builder
	for _, c := range cases {
		f := newFixture(c.script...)
		d := f.Serve(context.Background(), f.request(c.path, c.key))
		fmt.Fprintf(&out, "%-35s %-13s sends %d, reason %q, retry after %v\n", c.name, outcomeNames[d.Outcome], len(f.sender.sent), d.Reason, d.RetryAfter > 0)
	}
	golden.Check(t, "outcomes.golden", []byte(out.String()))
}

// TestAttemptsGoToDifferentUpstreams loses the first answer on a pooled connection.
func TestAttemptsGoToDifferentUpstreams(t *testing.T) {
	f := newFixture(NoAnswer)
	f.Serve(context.Background(), f.request("/look/1", "k"))
	if got := f.sender.sent; len(got) != 2 || got[0] == got[1] {
		t.Errorf("got %v, want two different upstreams", got)
	}
	if got := f.sender.params[1]; !got.NewConnection {
		t.Error("got a pooled connection after one had failed, want a new one")
	}
}

// TestUpstreamsGetRemainingTime lets the first attempt take 300 ms of the 800 ms that
// the route allows.
func TestUpstreamsGetRemainingTime(t *testing.T) {
	f := newFixture(NoAnswer)
	f.sender.latency = 300 * time.Millisecond
	f.Serve(context.Background(), f.request("/look/1", "k"))
	for i, want := range []time.Duration{800 * time.Millisecond, 500 * time.Millisecond} {
		if got := f.sender.params[i].Remaining; got != want {
			t.Errorf("attempt %d: got %v remaining, want %v", i+1, got, want)
		}
	}
}

// TestRequestWithTooLittleTimeIsNotSent leaves 5 ms of the 800 ms that the route
// allows.
func TestRequestWithTooLittleTimeIsNotSent(t *testing.T) {
	f := newFixture()
	r := f.request("/look/1", "k")
	f.clock.Advance(795 * time.Millisecond)
	d := f.Serve(context.Background(), r)
	if got, want := d.Outcome, Refused; got != want || len(f.sender.sent) != 0 {
		t.Errorf("got %s after %d sends, want %s after none", outcomeNames[got], len(f.sender.sent), outcomeNames[want])
	}
}

// TestRetriesAreBounded loses all answers; the fixture allows 0.2 retries for each
// request and 5 at once.
func TestRetriesAreBounded(t *testing.T) {
	f := newFixture()
	f.sender.script = nil
	lost := make([]Result, 400)
	for i := range lost {
		lost[i] = NoAnswer
	}
	f.sender.script = lost
	const requests = 100
	for range requests {
		f.clock.Advance(time.Second)
		f.Serve(context.Background(), f.request("/look/1", "k"))
	}
	if got, want := len(f.sender.sent)-requests, requests/5+5; got > want {
		t.Errorf("got %d repeats of %d requests, want at most %d", got, requests, want)
	}
}

// TestQuotaIsEnforced sends ten requests at one instant for an account with a burst
// of one.
func TestQuotaIsEnforced(t *testing.T) {
	f := newFixture()
	served := 0
	for range 10 {
		if d := f.Serve(context.Background(), f.request("/look/1", "s")); d.Outcome == Delivered {
			served++
		} else if d.Outcome != OverQuota || d.RetryAfter <= 0 {
			t.Errorf("got %s, retry after %v, want over quota and a retry delay", outcomeNames[d.Outcome], d.RetryAfter)
		}
	}
	if got, want := served, 2; got > want {
		t.Errorf("got %d served, want at most %d", got, want)
	}
}

func TestTargetsFollowWeights(t *testing.T) {
	f := newFixture()
	const requests = 2000
	desk := 0
	for range requests {
		if d := f.Serve(context.Background(), f.request("/split/1", "k")); d.Service == "desk" {
			desk++
		}
		f.clock.Advance(time.Second)
	}
	if got, want := float64(desk)/requests, 0.25; got < want-0.05 || got > want+0.05 {
		t.Errorf("got a share of %.3f for desk, want %.2f", got, want)
	}
}

// TestAccountHomesAreEnforced sends requests of an account whose home is the other
// region.
func TestAccountHomesAreEnforced(t *testing.T) {
	f := newFixture()
	for i := range 50 {
		r := f.request("/look/1", "h")
		r.Object = id.Object(fmt.Sprint(i))
		f.Serve(context.Background(), r)
		f.clock.Advance(time.Second)
	}
	for _, p := range f.sender.params {
		if got, want := p.Upstream.Info.Region, id.Region("b"); got != want {
			t.Fatalf("got region %s, want %s", got, want)
		}
	}
}

// TestNonIdempotentRequestWaitsForEarlierRequests sends a request behind one that is
// never answered; the client has left.
func TestNonIdempotentRequestWaitsForEarlierRequests(t *testing.T) {
	f := newFixture()
	r := f.request("/swap/1", "k")
	r.EarlierDone = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, want := f.Serve(ctx, r).Outcome, ClientLeft; got != want || len(f.sender.sent) != 0 {
		t.Errorf("got %s after %d sends, want %s after none", outcomeNames[got], len(f.sender.sent), outcomeNames[want])
	}
}

// TestStoppingHostAnswersTruthfully guards against a stopping host that leaves a request
// without an answer, or says of one that an upstream has received that it has not run.
func TestStoppingHostAnswersTruthfully(t *testing.T) {
	var out strings.Builder
	for _, path := range []string{"/look/1", "/swap/1"} {
		for _, c := range []struct {
			name   string
			script []Result
			// sends is the number of exchanges before the host stops.
			sends int
		}{{"before it is sent", nil, 0}, {"at an upstream", []Result{NoAnswer}, 1}, {"after a refusal", []Result{Shed}, 1}, {"as the answer arrives", nil, 1}} {
			f := newFixture(c.script...)
			ctx, stop := context.WithCancelCause(context.Background())
			if c.sends == 0 {
				stop(ErrHostStopping)
			}
			f.sender.onSend = func() { stop(ErrHostStopping) }
			d := f.Serve(ctx, f.request(path, "k"))
			fmt.Fprintf(&out, "%s %-22s %-9s sends %d, reason %q, retry after %v\n", path, c.name, outcomeNames[d.Outcome], len(f.sender.sent), d.Reason, d.RetryAfter > 0)
		}
	}
	golden.Check(t, "stopping.golden", []byte(out.String()))
}

func TestClientThatLeftIsNotServed(t *testing.T) {
	f := newFixture(NoAnswer)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, want := f.Serve(ctx, f.request("/look/1", "k")).Outcome, ClientLeft; got != want {
		t.Errorf("got %s, want %s", outcomeNames[got], outcomeNames[want])
	}
}

func TestHostWithoutDesiredStateRefusesRequests(t *testing.T) {
	f := newFixture()
	f.State.Store(nil)
	d := f.Serve(context.Background(), f.request("/look/1", "k"))
	if got, want := d.Outcome, Refused; got != want || d.RetryAfter <= 0 {
		t.Errorf("got %s, retry after %v, want %s and a retry delay", outcomeNames[got], d.RetryAfter, outcomeNames[want])
	}
}

// TestLoweredRetryReserveBinds lowers the number of retries allowed at once before and
// after the first request of the service.
func TestLoweredRetryReserveBinds(t *testing.T) {
	for _, served := range []int{0, 1} {
		f := newFixture()
		for range served {
			f.Serve(context.Background(), f.request("/look/1", "k"))
		}
		f.SetRetryReserve(2)
		before := len(f.sender.sent)
		f.sender.script = slices.Repeat([]Result{NoAnswer}, 100)
		const requests = 4
		for range requests {
			f.clock.Advance(time.Second)
			f.Serve(context.Background(), f.request("/look/1", "k"))
		}
		if got, want := len(f.sender.sent)-before-requests, 2; got != want {
			t.Errorf("got %d retries after %d requests, want %d", got, served, want)
		}
	}
}
