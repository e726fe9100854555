package commit

import (
	"context"
	"errors"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/table"
)

// outService is a table that is out: each call takes a while, and is cut off when
// its context ends.
type outService struct {
	table.Service
	takes time.Duration
}

func (s outService) Commit(ctx context.Context, _ table.Txn) (table.Revision, error) {
	select {
	case <-time.After(s.takes):
		return 0, table.ErrRefused
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (s outService) Rows(context.Context, []table.Key) ([]table.Row, error) {
	return nil, table.ErrRefused
}

// TestRefusedWriteIsNotUndecided lets the time end while another attempt would be
// under way: the attempts before it took no effect, and that must be told.
func TestRefusedWriteIsNotUndecided(t *testing.T) {
	const takes = 30 * time.Millisecond
	for _, limit := range []time.Duration{takes + settlePause + takes/2, 3*(takes+settlePause) + takes/2} {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := Write(ctx, clock.System{}, outService{takes: takes}, table.Txn{Puts: []table.Row{{Key: table.ConfigKey}}})
		cancel()
		if !errors.Is(err, table.ErrRefused) || errors.Is(err, table.ErrOutcomeUnknown) {
			t.Errorf("time left for %v: got %v, want ErrOut and not ErrUndecided", limit, err)
		}
	}
}
