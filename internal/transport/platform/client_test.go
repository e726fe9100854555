package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/table"
)

// TestAnswersOfALaterService guards against a host that takes the table service for
// unavailable because a later build of it adds fields to its answers.
func TestAnswersOfALaterService(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"revision":7,"rows":[{"key":"host/a","revision":7,"later":1}],"later":{"x":1}}`))
	}))
	defer server.Close()
	c := New(server.URL, "a", time.Second)
	defer c.Close()
	ctx := context.Background()
	if revision, err := c.Commit(ctx, table.Txn{}); err != nil || revision != 7 {
		t.Errorf("commit: got revision %d, %v, want 7", revision, err)
	}
	if changes, err := c.Changes(ctx, 1); err != nil || len(changes.Rows) != 1 || changes.Rows[0].Key != "host/a" {
		t.Errorf("changes: got %+v, %v, want one row", changes, err)
	}
	status = http.StatusConflict
	var conflict *table.ConflictError
	if _, err := c.Commit(ctx, table.Txn{}); !errors.As(err, &conflict) || len(conflict.Rows) != 1 {
		t.Errorf("conflict: got %v, want a conflict with one row", err)
	}
}
