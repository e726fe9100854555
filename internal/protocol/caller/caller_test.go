package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/state/fleet"
)

func TestLookupEncoding(t *testing.T) {
	table := lookup.New(lookup.Inputs{TTL: 2 * time.Second, Hosts: []fleet.Host{
		{ID: "western-1", Region: "western", FailureDomain: "western-a", Address: "127.0.0.1:8101"},
		{ID: "central-1", Region: "central", FailureDomain: "central-a", Address: "127.0.0.1:8102"},
	}})
	data, err := json.MarshalIndent(FromAnswer(table.Lookup("western", "", 0)), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "lookup.golden", append(data, '\n'))
}

// TestRefusalEncodings compares the status and the body of every refusal with the golden
// file.
func TestRefusalEncodings(t *testing.T) {
	var text bytes.Buffer
	for _, r := range []*admit.Refusal{
		admit.ErrNoRoute, admit.ErrKeyMissing, admit.ErrKeyRejected, admit.ErrKeyMisplaced, admit.ErrWithdrawalsUnknown,
		admit.ErrOverLimit, admit.ErrShareLapsed, admit.ErrRequestIDMissing, admit.ErrDeadlinePassed, admit.ErrBodyTooLarge,
		admit.ErrUpstreamsBusy, admit.ErrUpstreamsGone, admit.ErrClaimUnavailable, admit.ErrAlreadyTaken,
		admit.ErrUpstreamFailed, admit.ErrUpstreamLate, admit.ErrAnswerForeign,
	} {
		data, err := RefusalCodec.Encode(FromRefusal(r))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%d %s\n", Status(r), data)
		if !errors.Is(r, r) {
			t.Errorf("got %v, want it to match itself", r)
		}
	}
	golden.Check(t, "refusals.golden", text.Bytes())
}

func TestKeyHeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		header  http.Header
		key     string
		present bool
		ok      bool
	}{
		{"none", http.Header{}, "", false, true},
		{"bearer", http.Header{"Authorization": {"Bearer k"}}, "k", true, true},
		{"doubled", http.Header{"Authorization": {"Bearer k", "Bearer k"}}, "k", true, false},
		{"other scheme", http.Header{"Authorization": {"Basic k"}}, "Basic k", true, false},
		{"empty", http.Header{"Authorization": {"Bearer "}}, "", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			key, present, ok := Key(c.header)
			if key != c.key || present != c.present || ok != c.ok {
				t.Errorf("got %q, %v, %v, want %q, %v, %v", key, present, ok, c.key, c.present, c.ok)
			}
		})
	}
}

func TestDeadlineHeader(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"", 5 * time.Second, true},
		{"100", 100 * time.Millisecond, true},
		{"60000", 5 * time.Second, true},
		{"0", 0, false},
		{"-1", 0, false},
		{"1.5", 0, false},
		{"99999999999999999999", 0, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			h := http.Header{}
			if c.text != "" {
				h.Set(DeadlineHeader, c.text)
			}
			if got, ok := Timeout(h, 5*time.Second); got != c.want || ok != c.ok {
				t.Errorf("got %v, %v, want %v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

func FuzzKey(f *testing.F) {
	f.Add("Bearer k", "")
	f.Add("Basic x", "Bearer y")
	f.Fuzz(func(t *testing.T, first, second string) {
		h := http.Header{"Authorization": {first}}
		if second != "" {
			h["Authorization"] = append(h["Authorization"], second)
		}
		if key, present, ok := Key(h); ok && (!present || key == "" || second != "") {
			t.Errorf("got key %q from %q, want it refused", key, h["Authorization"])
		}
	})
}
