// Package operator serves operators over HTTP.
package operator

import (
	"context"
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

// Control is what the interface needs of the host it runs on.
type Control interface {
	Inspect(func(a *agent.Agent, now clock.Instant))
	ApplyCommitted(row table.Row)
	Withdraw(h key.Hash)
	Retreat(r release.ID)
	Attest(h id.Host, inc id.Incarnation)
	Events() []timeline.Event
}

// Dependencies is what a Server is made of.
type Dependencies struct {
	Control Control
	Token   string
	Hasher  key.Hasher
	Service table.Service
	Clock   clock.Clock
	Log     *logging.Log
	Metrics metrics.Registry
}

// Server answers operators.
type Server struct{ Dependencies }

// New returns a server made of parts.
func New(p Dependencies) *Server { return &Server{p} }

// Limits of a change.
const (
	maxDocument = 16 << 20
	// commitTime bounds the committing of a change.
	commitTime = 8 * time.Second
	// forceTime bounds the wait until a change is in force on all hosts.
	forceTime = 3 * time.Second
	// forcePause is the time between two looks at the hosts.
	forcePause = 50 * time.Millisecond
)

// Register adds the routes of operators to a router.
func (s *Server) Register(router *bunrouter.Router) {
	router.GET(operator.ConfigPath, s.guard(s.getConfig))
	router.PUT(operator.ConfigPath, s.guard(s.putConfig))
	router.GET(operator.HistoryPath, s.guard(s.history))
	router.GET(operator.KeysPath, s.guard(s.listKeys))
	router.POST(operator.KeysPath, s.guard(s.grantKey))
	router.POST(operator.WithdrawPath, s.guard(s.withdrawKey))
	router.GET(operator.HostsPath, s.guard(s.listHosts))
	router.POST(operator.AttestPath, s.guard(s.attest))
	router.GET(operator.BudgetsPath, s.guard(s.listBudgets))
	router.GET(operator.ReleasesPath, s.guard(s.listReleases))
	router.POST(operator.ReleasesPath, s.guard(s.startRelease))
	router.POST(operator.RetreatPath, s.guard(s.retreat))
	router.GET(operator.ShiftsPath, s.guard(s.listShifts))
	router.POST(operator.ShiftsPath, s.guard(s.startShift))
	router.POST(operator.UndoPath, s.guard(s.undoShift))
	router.GET(operator.TimelinePath, s.guard(s.getTimeline))
	router.GET(operator.MetricsPath, s.guard(s.getMetrics))
}

// problem is an error with its HTTP status and its wire form.
type problem struct {
	status int
	body   operator.Error
}

func (p *problem) Error() string { return p.body.Code + ": " + p.body.Message }

func newProblem(status int, code, message string) *problem {
	return &problem{status: status, body: operator.Error{Code: code, Message: message}}
}

type handler func(r *http.Request) (any, error)

// guard checks the operator's token and writes the handler's result.
func (s *Server) guard(h handler) bunrouter.HandlerFunc {
	return route.Handler(func(w http.ResponseWriter, r *http.Request) {
		token := r.Header.Get(operator.TokenHeader)
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			route.WriteJSON(w, http.StatusForbidden, operator.Error{Code: operator.CodeForbidden, Message: "the operator's token is missing or wrong"})
			return
		}
		answer, err := h(r)
		var p *problem
		switch {
		case errors.As(err, &p):
			route.WriteJSON(w, p.status, p.body)
		case err != nil:
			route.WriteJSON(w, http.StatusInternalServerError, operator.Error{Code: operator.CodeInvalid, Message: err.Error()})
		default:
			route.WriteJSON(w, http.StatusOK, answer)
		}
	})
}

// read decodes a request's body of type T strictly.
func read[T any](r *http.Request) (T, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocument))
	if err != nil {
		var none T
		return none, newProblem(http.StatusBadRequest, operator.CodeInvalid, err.Error())
	}
	v, err := settings.Decode[T]("request", data)
	if err != nil {
		return v, invalid(err)
	}
	return v, nil
}

func invalid(err error) *problem {
	p := newProblem(http.StatusBadRequest, operator.CodeInvalid, "the document has faults")
	for _, fault := range settings.Faults(err) {
		p.body.Faults = append(p.body.Faults, fault.Error())
	}
	return p
}

// commitRow writes one row under a condition, together with the rows that go
// with it, and puts it in force here.
func (s *Server) commitRow(r *http.Request, row table.Row, base table.Revision, with ...table.Row) (table.Revision, error) {
	ctx, cancel := context.WithTimeout(r.Context(), commitTime)
	defer cancel()
	row.Operation = id.Operation(fmt.Sprintf("operator/%s/%d", row.Key, s.Clock.Wall().UnixNano()))
	txn := table.Txn{
		Operation: row.Operation, Conditions: []table.Condition{{Key: row.Key, Revision: base}},
		Puts: append([]table.Row{row}, with...), Deletes: s.oldHistory(len(with)),
	}
	revision, err := commit.Write(ctx, s.Clock, s.Service, txn)
	if err != nil {
		return 0, commitProblem(err, row.Key, base)
	}
	for _, put := range txn.Puts {
		put.Operation, put.Revision = txn.Operation, revision
		s.Control.ApplyCommitted(put)
	}
	return revision, nil
}

func commitProblem(err error, k table.Key, base table.Revision) *problem {
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		p := newProblem(http.StatusConflict, operator.CodeConflict, fmt.Sprintf("%s was changed since the version this change was made from", k))
		p.body.Base = base
		for _, row := range conflict.Rows {
			if row.Key == k {
				p.body.Current = row.Revision
			}
		}
		return p
	case errors.Is(err, table.ErrOutcomeUnknown):
		return newProblem(http.StatusGatewayTimeout, operator.CodeUndecided, "the platform gave no answer; read the state again before you repeat the change")
	default:
		return newProblem(http.StatusServiceUnavailable, operator.CodeStoreUnavailable, "the platform is out; nothing was changed")
	}
}

// await repeats a look until it is satisfied or the time is up.
func (s *Server) await(ctx context.Context, satisfied func() bool) {
	until := s.Clock.Now().Add(forceTime)
	for !satisfied() && s.Clock.Now() < until {
		if !s.Clock.Sleep(ctx, forcePause) {
			return
		}
	}
}
