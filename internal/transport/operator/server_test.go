package operator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/table"
)

// idleControl is the control of a host whose agent is never reached.
type idleControl struct{ Control }

func (idleControl) Inspect(func(a *agent.Agent, now clock.Instant)) {}
func (idleControl) ApplyCommitted(table.Row)                        {}

// TestChangesAtTheSameInstantConflict guards against two operators' changes of the same
// revision that are both confirmed, although only one took effect: they had the same
// operation id, because both were made at the same reading of the clock.
func TestChangesAtTheSameInstantConflict(t *testing.T) {
	rows, now := table.NewMemory(), clock.NewFake()
	request := httptest.NewRequest(http.MethodPut, "/", nil)
	var errs []error
	for range 2 {
		s := New(Dependencies{Control: idleControl{}, Service: rows, Clock: now})
		_, err := s.commitRow(request, table.Row{Key: table.ConfigKey, Config: &config.Config{}}, 0)
		errs = append(errs, err)
	}
	if errs[0] != nil {
		t.Errorf("first change: got %v, want no error", errs[0])
	}
	var refused *apiError
	if !errors.As(errs[1], &refused) || refused.status != http.StatusConflict {
		t.Errorf("second change: got %v, want status %d", errs[1], http.StatusConflict)
	}
}
