package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// faulty is a table whose answers can be lost, or that is out.
type faulty struct {
	*table.Memory
	lose atomic.Int64
	out  atomic.Bool
}

func (f *faulty) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	if f.out.Load() {
		return 0, table.ErrRefused
	}
	revision, err := f.Memory.Commit(ctx, txn)
	if f.lose.Add(-1) >= 0 {
		return 0, table.ErrUnavailable
	}
	return revision, err
}

func (f *faulty) Rows(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	if f.out.Load() {
		return nil, table.ErrRefused
	}
	return f.Memory.Rows(ctx, keys)
}

// books starts one book for each of n hosts on the same table.
func books(t *testing.T, n int) (*faulty, []*Registry) {
	service := &faulty{Memory: table.NewMemory()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var out []*Registry
	for i := range n {
		b := New(id.Host(fmt.Sprint("h", i)), 1, service, clock.System{})
		running.Go(func() { b.Run(ctx) })
		out = append(out, b)
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return service, out
}

func take(b *Registry, request id.Request) (*Token, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return b.Take(ctx, "parish", request)
}

// TestPromiseOneClaimWins lets all hosts take the same requests at the same time,
// while answers of the table are lost.
func TestPromiseOneClaimWins(t *testing.T) {
	service, hosts := books(t, 4)
	service.lose.Store(10)
	const requests = 50
	var wins [requests]atomic.Int64
	var work sync.WaitGroup
	for _, b := range hosts {
		for n := range requests {
			work.Go(func() {
				if _, err := take(b, id.Request(fmt.Sprint(n))); err == nil {
					wins[n].Add(1)
				} else if !errors.Is(err, ErrTaken) {
					t.Errorf("got %v, want ErrTaken", err)
				}
			})
		}
	}
	work.Wait()
	for n := range wins {
		if got := wins[n].Load(); got != 1 {
			t.Errorf("request %d: got %d claims, want 1", n, got)
		}
	}
}

func TestReleasedClaimCanBeTakenAgain(t *testing.T) {
	service, hosts := books(t, 2)
	token, err := take(hosts[0], "r")
	if err != nil {
		t.Fatal(err)
	}
	hosts[0].Release(token)
	awaitState(t, service, "r", table.ClaimReleased)
	if _, err := take(hosts[1], "r"); err != nil {
		t.Errorf("got %v for a released claim, want it taken", err)
	}
	if _, err := take(hosts[0], "r"); !errors.Is(err, ErrTaken) {
		t.Errorf("got %v for the claim of another host, want ErrTaken", err)
	}
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	service, hosts := books(t, 2)
	token, err := take(hosts[0], "r")
	if err != nil {
		t.Fatal(err)
	}
	hosts[0].Record(token, Answer{Status: 201, ContentType: "text/plain", Body: []byte("done")})
	awaitState(t, service, "r", table.ClaimAnswered)
	_, err = take(hosts[1], "r")
	var taken *TakenError
	if !errors.As(err, &taken) || taken.Claim.Status != 201 || string(taken.Claim.Body) != "done" {
		t.Errorf("got %v, want the recorded answer", err)
	}
}

// TestDoubtfulClaimIsReleased gives up on a claim whose outcome is not known in
// time; once it is known, the claim must be free for a repeat.
func TestDoubtfulClaimIsReleased(t *testing.T) {
	service, hosts := books(t, 1)
	service.lose.Store(1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := hosts[0].Take(ctx, "parish", "r"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	awaitState(t, service, "r", table.ClaimReleased)
	if _, err := take(hosts[0], "r"); err != nil {
		t.Errorf("got %v for the repeat, want it taken", err)
	}
}

func TestNoClaimWhileTheTableIsOut(t *testing.T) {
	service, hosts := books(t, 1)
	service.out.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := hosts[0].Take(ctx, "parish", "r"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

func awaitState(t *testing.T, service *faulty, request id.Request, want table.ClaimState) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		rows, err := service.Memory.Rows(context.Background(), []table.Key{table.ClaimKey("parish", request)})
		if err == nil && len(rows) == 1 && rows[0].Claim.State == want {
			return
		}
	}
	t.Fatalf("waited in vain for the claim to be %s", want)
}
