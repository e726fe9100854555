package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/protocol/settings"
	standin "celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// pausingBorrower simulates a pause of the process of one minute while a request waits
// for a loan.
type pausingBorrower struct {
	clock *clock.Fake
	pool  *budget.Pool[id.Account, unit.Tokens]
}

// Borrow returns after the pause, with tokens available.
func (p pausingBorrower) Borrow(context.Context, id.Account) bool {
	p.pool.Set("parish", budget.Share[unit.Tokens]{Rate: unit.Whole(10), Burst: unit.Whole(10)}, p.clock.Now())
	p.clock.Advance(time.Minute)
	return true
}

// TestRequestIsNotSentAfterAPause checks that a request whose deadline passed while the
// process was paused is not sent, even if its timer has not fired yet.
func TestRequestIsNotSentAfterAPause(t *testing.T) {
	w, err := standin.New(settings.Worker{ID: "w", Service: "reads", Listen: "127.0.0.1:0", Slots: 8}, clock.System{})
	if err != nil {
		t.Fatal(err)
	}
	w.Start()
	defer w.Close()
	fake := clock.NewFake()
	server := newForwardingServerWith(t, w.Address(), fake, func(pool *budget.Pool[id.Account, unit.Tokens]) caller.Borrower {
		pool.Set("parish", budget.Share[unit.Tokens]{}, fake.Now())
		return pausingBorrower{fake, pool}
	})
	request, err := http.NewRequest(http.MethodGet, server.URL+"/read/x", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := response.Header.Get("Celerypin-Reason"); got != "deadline_passed" || len(w.Journal()) != 0 {
		t.Errorf("got status %d, reason %q and %d executions after a pause of a minute, want deadline_passed and none", response.StatusCode, got, len(w.Journal()))
	}
}
