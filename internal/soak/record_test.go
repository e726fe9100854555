package soak

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// TestChecksDetectBrokenPromises breaks each promise once, and expects the checks to
// detect it.
func TestChecksDetectBrokenPromises(t *testing.T) {
	longAgo := time.Now().Add(-time.Hour)
	body := []byte("vases")
	book := standin.Call{Attempt: "a-1", Path: "/book/1", Key: primaryKey("account-1"), Body: body}
	execution := func(modify func(*standin.Execution)) standin.Execution {
		e := standin.Execution{Attempt: "a-1", Account: "account-1", Upstream: "u-1", Path: "/book/1", BodyHash: sha256.Sum256(body), At: time.Now()}
		modify(&e)
		return e
	}
	unchanged := func(*standin.Execution) {}
	read := func(a id.Attempt) standin.Call {
		return standin.Call{Attempt: a, Path: "/read/1", Key: primaryKey("account-1")}
	}
	readExecution := func(a id.Attempt, modify func(*standin.Execution)) standin.Execution {
		return execution(func(e *standin.Execution) {
			e.Attempt, e.Path, e.BodyHash = a, "/read/1", sha256.Sum256(nil)
			modify(e)
		})
	}
	var usage []standin.UsageCall
	report := func(holder id.Host, token uint64, window int64, count uint64) {
		usage = append(usage, standin.UsageCall{Holder: holder, Token: token, Window: window, Counts: map[id.Account]uint64{"account-1": count}, At: longAgo, Status: http.StatusOK})
	}
	cases := []struct {
		name    string
		observe func(r *record)
	}{
		{"nothing wrong", func(r *record) {
			r.executed(execution(unchanged))
			r.attemptAnswered(book, "front", time.Now(), standin.Answer{Status: http.StatusOK, Authentic: true, Body: standin.AnswerTo("a-1", "/book/1")}, nil)
		}},
		{"runs twice", func(r *record) { r.executed(execution(unchanged)); r.executed(execution(unchanged)) }},
		{"not asked for", func(r *record) { r.executed(execution(func(e *standin.Execution) { e.Attempt = "a-2" })) }},
		{"key passed on", func(r *record) { r.executed(execution(func(e *standin.Execution) { e.HasClientKey = true })) }},
		{"another account", func(r *record) { r.executed(execution(func(e *standin.Execution) { e.Account = "account-2" })) }},
		{"another body", func(r *record) { r.executed(execution(func(e *standin.Execution) { e.BodyHash[0]++ })) }},
		{"refused and ran", func(r *record) {
			r.executed(execution(unchanged))
			r.attemptAnswered(book, "front", time.Now(), standin.Answer{Status: http.StatusServiceUnavailable, NotRun: true}, nil)
		}},
		{"another one's answer", func(r *record) {
			r.attemptAnswered(book, "front", time.Now(), standin.Answer{Status: http.StatusOK, Authentic: true, Body: standin.AnswerTo("a-9", "/book/1")}, nil)
		}},
		{"known route not found", func(r *record) {
			r.attemptAnswered(book, "front", time.Now(), standin.Answer{Status: http.StatusNotFound}, nil)
		}},
		{"known key refused", func(r *record) {
			r.attemptAnswered(book, "front", time.Now(), standin.Answer{Status: http.StatusUnauthorized}, nil)
		}},
		{"cut by a planned stop", func(r *record) {
			r.hostStopping("front", time.Now().Add(-time.Millisecond))
			r.executed(execution(unchanged))
			r.attemptAnswered(book, "front", time.Now(), standin.Answer{}, io.EOF)
		}},
		{"leaving upstream", func(r *record) {
			r.upstreamDraining("u-1", time.Now().Add(-maxDrainDelay-time.Second))
			r.executed(execution(unchanged))
		}},
		{"withdrawn key", func(r *record) {
			r.keyWithdrawn(book.Key, time.Now().Add(-2*maxRevocationDelay))
			r.executed(execution(unchanged))
		}},
		{"told that it leaves", func(r *record) {
			early, late := read("r-1"), read("r-2")
			r.attemptSent(early, "account-1", true, "front")
			r.executed(readExecution("r-1", func(e *standin.Execution) { e.Leaving = true }))
			r.attemptAnswered(early, "front", time.Now(), standin.Answer{Status: http.StatusOK, Authentic: true, Body: standin.AnswerTo("r-1", "/read/1")}, nil)
			r.attempts["r-1"].answeredAt = time.Now().Add(-maxDrainDelay - time.Second)
			r.attemptSent(late, "account-1", true, "front")
			r.executed(readExecution("r-2", unchanged))
		}},
		{"quiet upstream", func(r *record) {
			now := time.Now()
			r.attemptSent(read("r-0"), "account-1", true, "front")
			r.refused(standin.Refusal{Attempt: "r-0", Upstream: "u-1", At: now.Add(-quietDelay - time.Millisecond), Quiet: time.Second})
			for i := range maxQuietArrivals + 1 {
				name := id.Attempt(fmt.Sprint("r-", i+1))
				r.attemptSent(read(name), "account-1", true, "front")
				r.executed(readExecution(name, unchanged))
			}
		}},
		{"over quota", func(r *record) {
			for i := range 200 {
				name := id.Attempt(fmt.Sprint("hot-", i))
				r.attemptSent(standin.Call{Attempt: name, Path: "/read/1"}, hotAccount, true, "front")
				r.executed(execution(func(e *standin.Execution) {
					e.Attempt, e.Account, e.Path, e.BodyHash = name, hotAccount, "/read/1", sha256.Sum256(nil)
				}))
			}
		}},
		{"two counts of a window", func(*record) { report("a", 1, 7, 5); report("a", 1, 7, 5); report("a", 1, 7, 6) }},
		{"a falling token", func(*record) { report("a", 2, 7, 5); report("b", 1, 8, 5) }},
		{"holders a, b, a", func(*record) { report("a", 1, 7, 5); report("b", 2, 8, 5); report("a", 3, 9, 5) }},
		{"nothing served at the end", func(r *record) { r.checkRecovery(longAgo) }},
	}
	var out strings.Builder
	for _, c := range cases {
		r := newRecord()
		usage = nil
		r.lastFaultEnd = longAgo
		r.attemptSent(book, "account-1", false, "front")
		c.observe(r)
		violations := r.report(1, usage).Violations
		if wantViolations := c.name != "nothing wrong"; wantViolations != (len(violations) > 0) {
			t.Errorf("%s: got %d broken promises, want some: %v", c.name, len(violations), wantViolations)
		}
		fmt.Fprintf(&out, "%-26s %d\n", c.name, len(violations))
	}
	golden.Check(t, "checks.golden", []byte(out.String()))
}
