package commit

import (
	"context"
	"errors"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/table"
)

// refusingService is a table that refuses every call after a latency, unless the
// context ends first.
type refusingService struct {
	table.Service
	latency time.Duration
}

func (s refusingService) Commit(ctx context.Context, _ table.Txn) (table.Revision, error) {
	select {
	case <-time.After(s.latency):
		return 0, table.ErrRefused
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (s refusingService) Rows(context.Context, []table.Key) ([]table.Row, error) {
	return nil, table.ErrRefused
}

// TestRefusedWriteHasKnownOutcome sets deadlines that would end during another
// attempt. The attempts before it were refused and took no effect, so the error must
// match ErrRefused and not ErrOutcomeUnknown.
func TestRefusedWriteHasKnownOutcome(t *testing.T) {
	const latency = 30 * time.Millisecond
	for _, limit := range []time.Duration{latency + retryBackoff + latency/2, 3*(latency+retryBackoff) + latency/2} {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := Write(ctx, clock.System{}, refusingService{latency: latency}, table.Txn{Puts: []table.Row{{Key: table.ConfigKey}}})
		cancel()
		if !errors.Is(err, table.ErrRefused) || errors.Is(err, table.ErrOutcomeUnknown) {
			t.Errorf("timeout of %v: got %v, want ErrRefused and not ErrOutcomeUnknown", limit, err)
		}
	}
}
