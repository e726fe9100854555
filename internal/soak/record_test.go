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

// TestChecksFindBrokenPromises lets each promise be broken once: a check that
// finds nothing proves nothing.
func TestChecksFindBrokenPromises(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	body := []byte("vases")
	book := standin.Call{Attempt: "a-1", Path: "/book/1", Key: keyOf("account-1"), Body: body}
	execution := func(change func(*standin.Execution)) standin.Execution {
		e := standin.Execution{Attempt: "a-1", Account: "account-1", Upstream: "u-1", Path: "/book/1", Body: sha256.Sum256(body), At: time.Now()}
		change(&e)
		return e
	}
	same := func(*standin.Execution) {}
	cases := []struct {
		name string
		do   func(r *record)
	}{
		{"nothing wrong", func(r *record) {
			r.ran(execution(same))
			r.answered(book, "front", time.Now(), standin.Answer{Status: http.StatusOK, Authentic: true, Body: standin.AnswerTo("a-1", "/book/1")}, nil)
		}},
		{"runs twice", func(r *record) { r.ran(execution(same)); r.ran(execution(same)) }},
		{"not asked for", func(r *record) { r.ran(execution(func(e *standin.Execution) { e.Attempt = "a-2" })) }},
		{"key passed on", func(r *record) { r.ran(execution(func(e *standin.Execution) { e.HasClientKey = true })) }},
		{"another account", func(r *record) { r.ran(execution(func(e *standin.Execution) { e.Account = "account-2" })) }},
		{"another body", func(r *record) { r.ran(execution(func(e *standin.Execution) { e.Body[0]++ })) }},
		{"refused and ran", func(r *record) {
			r.ran(execution(same))
			r.answered(book, "front", time.Now(), standin.Answer{Status: http.StatusServiceUnavailable, NotRun: true}, nil)
		}},
		{"another one's answer", func(r *record) {
			r.answered(book, "front", time.Now(), standin.Answer{Status: http.StatusOK, Authentic: true, Body: standin.AnswerTo("a-9", "/book/1")}, nil)
		}},
		{"known route not found", func(r *record) {
			r.answered(book, "front", time.Now(), standin.Answer{Status: http.StatusNotFound}, nil)
		}},
		{"known key refused", func(r *record) {
			r.answered(book, "front", time.Now(), standin.Answer{Status: http.StatusUnauthorized}, nil)
		}},
		{"cut by a planned stop", func(r *record) {
			r.stops("front", time.Now().Add(-time.Millisecond))
			r.ran(execution(same))
			r.answered(book, "front", time.Now(), standin.Answer{}, io.EOF)
		}},
		{"leaving upstream", func(r *record) {
			r.leaves("u-1", time.Now().Add(-drainTime-time.Second))
			r.ran(execution(same))
		}},
		{"withdrawn key", func(r *record) {
			r.withdrawn(book.Key, time.Now().Add(-2*revokeTime))
			r.ran(execution(same))
		}},
		{"over quota", func(r *record) {
			for i := range 200 {
				name := id.Attempt(fmt.Sprint("hot-", i))
				r.sent(standin.Call{Attempt: name, Path: "/read/1"}, hotAccount, true)
				r.ran(execution(func(e *standin.Execution) {
					e.Attempt, e.Account, e.Path, e.Body = name, hotAccount, "/read/1", sha256.Sum256(nil)
				}))
			}
		}},
		{"nothing served at the end", func(r *record) { r.checkRecovery(long) }},
	}
	var out strings.Builder
	for _, c := range cases {
		r := newRecord()
		r.quietSince = long
		r.sent(book, "account-1", false)
		c.do(r)
		found := r.report(1).Broken
		if wrong := c.name != "nothing wrong"; wrong != (len(found) > 0) {
			t.Errorf("%s: got %d broken promises, want some: %v", c.name, len(found), wrong)
		}
		fmt.Fprintf(&out, "%-26s %d\n", c.name, len(found))
	}
	golden.Check(t, "checks.golden", []byte(out.String()))
}
