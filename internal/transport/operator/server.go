// Package operator serves operators over HTTP.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/coordination/commit"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// Control reads and changes the state of the host that the server runs on.
type Control interface {
	// Inspect calls a function with the agent and the current instant.
	Inspect(func(a *agent.Agent, now clock.Instant))
	// ApplyCommitted puts a committed row in force on this host.
	ApplyCommitted(row table.Row)
	// Withdraw withdraws a key.
	Withdraw(h key.Hash)
	// Retreat takes back a release.
	Retreat(r release.ID)
	// Attest attests that an incarnation of a host has ended.
	Attest(h id.Host, inc id.Incarnation)
	// Events returns the events of the time line.
	Events() []timeline.Event
}

// Dependencies are what a Server needs of the host it runs on.
type Dependencies struct {
	Control Control
	Token   string
	Hasher  key.Hasher
	Service table.Service
	Clock   clock.Clock
	Log     *logging.Log
	Metrics metrics.Registry
}

// Server handles the requests of operators.
type Server struct{ Dependencies }

// New returns a server.
func New(d Dependencies) *Server { return &Server{d} }

// Limits of requests.
const (
	// maxDocumentBytes is the maximum size of a request's or a response's body.
	maxDocumentBytes = 16 << 20
	// maxHeaderBytes bounds the head of a host's answer.
	maxHeaderBytes = 64 << 10
	// commitTimeout is the timeout of committing a change.
	commitTimeout = 8 * time.Second
	// inForceTimeout is the longest wait until a change is in force on all hosts.
	inForceTimeout = 3 * time.Second
	// inForcePollInterval is the interval at which the wait checks the hosts.
	inForcePollInterval = 50 * time.Millisecond
)

// Register adds the routes for operators to a router.
func (s *Server) Register(router *bunrouter.Router) {
	router.GET(operator.ConfigPath, s.authorize(s.getConfig))
	router.PUT(operator.ConfigPath, s.authorize(s.putConfig))
	router.GET(operator.HistoryPath, s.authorize(s.history))
	router.GET(operator.KeysPath, s.authorize(s.listKeys))
	router.POST(operator.KeysPath, s.authorize(s.grantKey))
	router.POST(operator.WithdrawPath, s.authorize(s.withdrawKey))
	router.GET(operator.HostsPath, s.authorize(s.listHosts))
	router.POST(operator.AttestPath, s.authorize(s.attest))
	router.GET(operator.BudgetsPath, s.authorize(s.listBudgets))
	router.GET(operator.ReleasesPath, s.authorize(s.listReleases))
	router.POST(operator.ReleasesPath, s.authorize(s.startRelease))
	router.POST(operator.RetreatPath, s.authorize(s.retreat))
	router.GET(operator.ShiftsPath, s.authorize(s.listShifts))
	router.POST(operator.ShiftsPath, s.authorize(s.startShift))
	router.POST(operator.UndoPath, s.authorize(s.undoShift))
	router.GET(operator.TimelinePath, s.authorize(s.getTimeline))
	router.GET(operator.MetricsPath, s.authorize(s.getMetrics))
}

// apiError is an error with the HTTP status and the body of its response.
type apiError struct {
	status int
	body   operator.Error
}

func (e *apiError) Error() string { return e.body.Code + ": " + e.body.Message }

func newAPIError(status int, code, message string) *apiError {
	return &apiError{status: status, body: operator.Error{Code: code, Message: message}}
}

type handler func(r *http.Request) (any, error)

// authorize returns a handler that checks the operator's token, calls h and writes its result.
func (s *Server) authorize(h handler) bunrouter.HandlerFunc {
	return route.Handler(func(w http.ResponseWriter, r *http.Request) {
		token := r.Header.Get(operator.TokenHeader)
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			route.WriteJSON(w, http.StatusForbidden, operator.Error{Code: operator.CodeForbidden, Message: "the operator's token is missing or wrong"})
			return
		}
		answer, err := h(r)
		var known *apiError
		switch {
		case errors.As(err, &known):
			route.WriteJSON(w, known.status, known.body)
		case err != nil:
			route.WriteJSON(w, http.StatusInternalServerError, operator.Error{Code: operator.CodeInvalid, Message: err.Error()})
		default:
			route.WriteJSON(w, http.StatusOK, answer)
		}
	})
}

// decodeBody strictly decodes the body of a request as a T.
func decodeBody[T any](r *http.Request) (T, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes))
	if err != nil {
		var none T
		return none, newAPIError(http.StatusBadRequest, operator.CodeInvalid, err.Error())
	}
	v, err := settings.Decode[T]("request", data)
	if err != nil {
		return v, invalidDocument(err)
	}
	return v, nil
}

// invalidDocument returns the error for a document with faults, and lists them.
func invalidDocument(err error) *apiError {
	invalid := newAPIError(http.StatusBadRequest, operator.CodeInvalid, "the document has faults")
	for _, fault := range settings.Errors(err) {
		invalid.body.Faults = append(invalid.body.Faults, fault.Error())
	}
	return invalid
}

// commitRow writes a row to the store if its current revision is base, together with the
// extra rows, and puts the rows in force on this host. The same transaction deletes excess
// entries of the configuration's history.
func (s *Server) commitRow(r *http.Request, row table.Row, base table.Revision, extra ...table.Row) (table.Revision, error) {
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	// commit.Write takes a row with the same id for its own, so ids must not depend on the clock.
	row.Operation = id.Operation(fmt.Sprintf("operator/%s/%s", row.Key, rand.Text()))
	txn := table.Txn{
		Operation: row.Operation, Conditions: []table.Condition{{Key: row.Key, Revision: base}},
		Puts: append([]table.Row{row}, extra...), Deletes: s.excessHistory(len(extra)),
	}
	revision, err := commit.Write(ctx, s.Clock, s.Service, txn)
	if err != nil {
		return 0, commitError(err, row.Key, base)
	}
	for _, put := range txn.Puts {
		put.Operation, put.Revision = txn.Operation, revision
		s.Control.ApplyCommitted(put)
	}
	return revision, nil
}

// commitError converts an error of committing row k.
func commitError(err error, k table.Key, base table.Revision) *apiError {
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		changed := newAPIError(http.StatusConflict, operator.CodeConflict, fmt.Sprintf("%s was changed since the version this change was made from", k))
		changed.body.Base = base
		for _, row := range conflict.Rows {
			if row.Key == k {
				changed.body.Current = row.Revision
			}
		}
		return changed
	case errors.Is(err, table.ErrOutcomeUnknown):
		return newAPIError(http.StatusGatewayTimeout, operator.CodeUndecided, "the platform gave no answer; read the state again before you repeat the change")
	default:
		return newAPIError(http.StatusServiceUnavailable, operator.CodeStoreUnavailable, "the platform is out; nothing was changed")
	}
}

// awaitCondition polls condition until it is true, inForceTimeout has passed or ctx ends.
func (s *Server) awaitCondition(ctx context.Context, condition func() bool) {
	deadline := s.Clock.Now().Add(inForceTimeout)
	for !condition() && s.Clock.Now() < deadline {
		if !s.Clock.Sleep(ctx, inForcePollInterval) {
			return
		}
	}
}
