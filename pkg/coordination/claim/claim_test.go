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

// faultyTable is a table that can lose its answers or refuse all requests.
type faultyTable struct {
	*table.Memory
	lostAnswers atomic.Int64
	refusing    atomic.Bool
}

func (f *faultyTable) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	if f.refusing.Load() {
		return 0, table.ErrRefused
	}
	revision, err := f.Memory.Commit(ctx, txn)
	if f.lostAnswers.Add(-1) >= 0 {
		return 0, table.ErrUnavailable
	}
	return revision, err
}

func (f *faultyTable) Rows(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	if f.refusing.Load() {
		return nil, table.ErrRefused
	}
	return f.Memory.Rows(ctx, keys)
}

// newRegistries starts one registry for each of n hosts on the same table.
func newRegistries(t *testing.T, n int) (*faultyTable, []*Registry) {
	service := &faultyTable{Memory: table.NewMemory()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var out []*Registry
	for i := range n {
		reg := New(id.Host(fmt.Sprint("h", i)), 1, service, clock.System{})
		running.Go(func() { reg.Run(ctx) })
		out = append(out, reg)
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return service, out
}

func take(reg *Registry, request id.Request) (*Token, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return reg.Take(ctx, "parish", request)
}

// TestPromiseOneClaimWins claims the same requests from all hosts at the same time,
// while answers of the table are lost. Exactly one host may get each claim.
func TestPromiseOneClaimWins(t *testing.T) {
	service, hosts := newRegistries(t, 4)
	service.lostAnswers.Store(10)
	const requests = 50
	var wins [requests]atomic.Int64
	var work sync.WaitGroup
	for _, reg := range hosts {
		for n := range requests {
			work.Go(func() {
				if _, err := take(reg, id.Request(fmt.Sprint(n))); err == nil {
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
	service, hosts := newRegistries(t, 2)
	token, err := take(hosts[0], "r")
	if err != nil {
		t.Fatal(err)
	}
	hosts[0].Release(token)
	awaitState(t, service, "r", table.ClaimReleased)
	if _, err := take(hosts[1], "r"); err != nil {
		t.Errorf("got error %v for a released claim, want none", err)
	}
	if _, err := take(hosts[0], "r"); !errors.Is(err, ErrTaken) {
		t.Errorf("got %v for the claim of another host, want ErrTaken", err)
	}
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	service, hosts := newRegistries(t, 2)
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

// TestUnresolvedClaimIsReleased times out before the outcome of a claim is known;
// once it is known, the claim must be released for a repeated request.
func TestUnresolvedClaimIsReleased(t *testing.T) {
	service, hosts := newRegistries(t, 1)
	service.lostAnswers.Store(1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := hosts[0].Take(ctx, "parish", "r"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	awaitState(t, service, "r", table.ClaimReleased)
	if _, err := take(hosts[0], "r"); err != nil {
		t.Errorf("got error %v for a claim that was released in the background, want none", err)
	}
}

func TestNoClaimWhileTheTableRefuses(t *testing.T) {
	service, hosts := newRegistries(t, 1)
	service.refusing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := hosts[0].Take(ctx, "parish", "r"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

func awaitState(t *testing.T, service *faultyTable, request id.Request, want table.ClaimState) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		rows, err := service.Memory.Rows(context.Background(), []table.Key{table.ClaimKey("parish", request)})
		if err == nil && len(rows) == 1 && rows[0].Claim.State == want {
			return
		}
	}
	t.Fatalf("claim not in state %s within 20 s", want)
}
