package steer

import (
	"context"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// without returns the state of a fixture at a later version, without the accounts that
// have a key and without the routes that match a path.
func (f *fixture) without(key, path string) *desired.State {
	old := *f.State.Load()
	next := &desired.State{Version: old.Version + 1, Services: old.Services, Limits: old.Limits}
	for _, a := range old.Accounts {
		if withdrawn, _ := old.Account(key); a != withdrawn {
			next.Accounts = append(next.Accounts, a)
		}
	}
	removed, _ := old.Match("a.example", path)
	for _, r := range old.Routes {
		if r != removed {
			next.Routes = append(next.Routes, r)
		}
	}
	return next.Compile()
}

// TestWithdrawalDuringAWait withdraws a key or a route while a request waits: for a token
// of another host, for an earlier request of its connection, or for the answer of its
// first upstream. Nothing may be sent afterwards, and what may have run is not denied.
func TestWithdrawalDuringAWait(t *testing.T) {
	for _, w := range []struct {
		name, key, path string
		want            Outcome
	}{{"key", "k", "", UnknownKey}, {"route", "", "/look/1", UnknownRoute}} {
		t.Run(w.name+" during a draw", func(t *testing.T) {
			f := newFixture()
			for range 10 {
				f.Serve(context.Background(), f.request("/look/1", "s"))
			}
			sent := len(f.sender.sent)
			f.Draw = func(context.Context, id.Account) (bool, time.Duration) {
				f.State.Store(f.without(map[string]string{"k": "s"}[w.key], w.path))
				return true, 0
			}
			if got := f.Serve(context.Background(), f.request("/look/1", "s")).Outcome; got != w.want || len(f.sender.sent) != sent {
				t.Errorf("got %s after %d sends, want %s after none", outcomeNames[got], len(f.sender.sent)-sent, outcomeNames[w.want])
			}
		})
		t.Run(w.name+" between attempts", func(t *testing.T) {
			f := newFixture(NoAnswer)
			f.sender.onSend = func() { f.State.Store(f.without(w.key, w.path)) }
			if got, want := f.Serve(context.Background(), f.request("/look/1", "k")).Outcome, Failed; got != want || len(f.sender.sent) != 1 {
				t.Errorf("got %s after %d sends, want %s after 1", outcomeNames[got], len(f.sender.sent), outcomeNames[want])
			}
		})
	}
	t.Run("key behind an earlier request", func(t *testing.T) {
		f := newFixture()
		r := f.request("/swap/1", "k")
		earlier := make(chan struct{})
		r.EarlierDone = earlier
		go func() {
			f.State.Store(f.without("k", ""))
			close(earlier)
		}()
		if got, want := f.Serve(context.Background(), r).Outcome, UnknownKey; got != want || len(f.sender.sent) != 0 {
			t.Errorf("got %s after %d sends, want %s after none", outcomeNames[got], len(f.sender.sent), outcomeNames[want])
		}
	})
}

// TestPausedHostSendsNothing pauses the process before a request is decided, and between
// its attempts.
func TestPausedHostSendsNothing(t *testing.T) {
	f := newFixture()
	f.Current = func(clock.Instant) bool { return false }
	d := f.Serve(context.Background(), f.request("/look/1", "k"))
	if d.Outcome != Refused || d.Reason != ReasonPaused || d.RetryAfter <= 0 || len(f.sender.sent) != 0 {
		t.Errorf("got %+v after %d sends, want a refusal with a delay after none", d, len(f.sender.sent))
	}
	f = newFixture(Shed)
	f.Current = func(clock.Instant) bool { return len(f.sender.sent) == 0 }
	if d := f.Serve(context.Background(), f.request("/swap/1", "k")); d.Outcome != Refused || len(f.sender.sent) != 1 {
		t.Errorf("got %s after %d sends, want a refusal after 1", outcomeNames[d.Outcome], len(f.sender.sent))
	}
}
