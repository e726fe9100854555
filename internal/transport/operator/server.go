// Package operator serves operators over HTTP.
package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/codec"
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
	Look(func(a *agent.Agent, now clock.Instant))
	Committed(row table.Row)
	Withdraw(h key.Hash)
	Retreat(r release.ID)
	Attest(h id.Host, inc id.Incarnation)
	Events() []timeline.Event
}

// Parts is what a Server is made of.
type Parts struct {
	Control Control
	Token   string
	Hasher  key.Hasher
	Service table.Service
	Clock   clock.Clock
	Log     *logging.Log
	Metrics metrics.Registry
}

// Server answers operators.
type Server struct{ Parts }

// New returns a server made of parts.
func New(p Parts) *Server { return &Server{p} }

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
			write(w, http.StatusForbidden, operator.Error{Code: operator.CodeForbidden, Message: "the operator's token is missing or wrong"})
			return
		}
		answer, err := h(r)
		var p *problem
		switch {
		case errors.As(err, &p):
			write(w, p.status, p.body)
		case err != nil:
			write(w, http.StatusInternalServerError, operator.Error{Code: operator.CodeInvalid, Message: err.Error()})
		default:
			write(w, http.StatusOK, answer)
		}
	})
}

func write(w http.ResponseWriter, status int, v any) {
	data, err := codec.JSON[any]{}.Encode(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
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
		s.Control.Committed(put)
	}
	return revision, nil
}

func commitProblem(err error, k table.Key, base table.Revision) *problem {
	var conflict *table.Conflict
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
	case errors.Is(err, table.ErrUndecided):
		return newProblem(http.StatusGatewayTimeout, operator.CodeUndecided, "the platform gave no answer; read the state again before you repeat the change")
	default:
		return newProblem(http.StatusServiceUnavailable, operator.CodeStoreOut, "the platform is out; nothing was changed")
	}
}

func (s *Server) getConfig(*http.Request) (any, error) {
	var document operator.ConfigDocument
	s.Control.Look(func(a *agent.Agent, _ clock.Instant) { document.Config, document.Revision = a.Config() })
	return document, nil
}

func (s *Server) putConfig(r *http.Request) (any, error) {
	document, err := read[operator.ConfigDocument](r)
	if err != nil {
		return nil, err
	}
	if faults := settings.FromReferences("request: config", document.Config.References()); len(faults) > 0 {
		return nil, invalid(errors.Join(faults...))
	}
	row := table.Row{Key: table.ConfigKey, Config: &document.Config}
	revision, err := s.commitRow(r, row, document.Revision, s.replaced(document.Revision)...)
	if err != nil {
		return nil, err
	}
	applied := operator.ConfigApplied{Revision: revision}
	s.await(r.Context(), func() bool {
		applied.InForce, applied.Missing = s.configInForce(revision)
		return len(applied.Missing) == 0
	})
	return applied, nil
}

// historyLength is the number of earlier configurations that are kept.
const historyLength = 20

// replaced returns the row that keeps the configuration of a revision when
// another one takes its place.
func (s *Server) replaced(base table.Revision) []table.Row {
	var out []table.Row
	s.Control.Look(func(a *agent.Agent, _ clock.Instant) {
		if current, revision := a.Config(); revision != 0 && revision == base {
			out = []table.Row{{Key: table.HistoryKey(revision), Config: &current}}
		}
	})
	return out
}

// oldHistory returns the kept configurations that have to make room for others.
func (s *Server) oldHistory(added int) []table.Key {
	var out []table.Key
	s.Control.Look(func(a *agent.Agent, _ clock.Instant) {
		rows := a.Rows(table.HistoryPrefix)
		for _, row := range rows[:max(0, min(len(rows), len(rows)+added-historyLength))] {
			out = append(out, row.Key)
		}
	})
	return out
}

func (s *Server) history(*http.Request) (any, error) {
	out := operator.History{Entries: []operator.ConfigDocument{}}
	s.Control.Look(func(a *agent.Agent, _ clock.Instant) {
		if current, revision := a.Config(); revision != 0 {
			out.Entries = append(out.Entries, operator.ConfigDocument{Revision: revision, Config: current})
		}
		rows := a.Rows(table.HistoryPrefix)
		for i := len(rows) - 1; i >= 0; i-- {
			out.Entries = append(out.Entries, operator.ConfigDocument{Revision: historyRevision(rows[i].Key), Config: *rows[i].Config})
		}
	})
	return out, nil
}

// historyRevision returns the revision that a key of the history names.
func historyRevision(k table.Key) table.Revision {
	n, err := strconv.ParseUint(strings.TrimPrefix(string(k), string(table.HistoryPrefix)), 10, 64)
	if err != nil {
		return 0
	}
	return table.Revision(n)
}

func (s *Server) configInForce(revision table.Revision) (inForce, missing []id.Host) {
	s.Control.Look(func(a *agent.Agent, now clock.Instant) {
		for _, h := range a.Hosts(now) {
			switch {
			case h.Row.State == table.HostEnded:
			case h.Config >= revision:
				inForce = append(inForce, h.Row.ID)
			default:
				missing = append(missing, h.Row.ID)
			}
		}
	})
	return inForce, missing
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

func (s *Server) listKeys(*http.Request) (any, error) {
	list := operator.KeyList{Keys: []operator.KeyEntry{}}
	s.Control.Look(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.KeyPrefix) {
			list.Keys = append(list.Keys, operator.KeyEntry{Hash: row.Grant.Hash.String(), Account: row.Grant.Account, Withdrawn: row.Grant.Withdrawn})
		}
	})
	return list, nil
}

func (s *Server) grantKey(r *http.Request) (any, error) {
	grant, err := read[operator.KeyGrant](r)
	if err != nil {
		return nil, err
	}
	hash := s.Hasher.Hash(grant.Key)
	row := table.Row{Key: table.GrantKey(hash), Grant: &key.Record{Hash: hash, Account: grant.Account}}
	revision, err := s.commitRow(r, row, 0)
	if err != nil {
		return nil, err
	}
	return operator.KeyGranted{Hash: hash.String(), Account: grant.Account, Revision: revision}, nil
}

func (s *Server) withdrawKey(r *http.Request) (any, error) {
	request, err := read[operator.KeyWithdraw](r)
	if err != nil {
		return nil, err
	}
	hash, err := s.hashOf(request)
	if err != nil {
		return nil, err
	}
	s.Control.Withdraw(hash)
	answer := operator.KeyWithdrawn{Hash: hash.String()}
	s.await(r.Context(), func() bool {
		s.Control.Look(func(a *agent.Agent, _ clock.Instant) {
			w := a.WithdrawalOf(hash)
			answer.InForce, answer.Missing, answer.Recorded = w.InForce, w.Missing, w.Recorded
		})
		return len(answer.Missing) == 0 && answer.Recorded
	})
	return answer, nil
}

func (s *Server) hashOf(request operator.KeyWithdraw) (key.Hash, error) {
	var hash key.Hash
	switch {
	case request.Key != "" && request.Hash == "":
		return s.Hasher.Hash(request.Key), nil
	case request.Key == "" && request.Hash != "":
		if err := hash.UnmarshalText([]byte(request.Hash)); err != nil {
			return hash, newProblem(http.StatusBadRequest, operator.CodeInvalid, "hash: "+err.Error())
		}
		return hash, nil
	default:
		return hash, newProblem(http.StatusBadRequest, operator.CodeInvalid, "want either key or hash")
	}
}

func (s *Server) listHosts(*http.Request) (any, error) {
	var list operator.HostList
	s.Control.Look(func(a *agent.Agent, now clock.Instant) {
		status := a.Status(now)
		list = operator.HostList{
			Asked: status.Self.Host, Complete: status.Complete, Keyed: status.Keyed,
			Controller: status.Controller, Leased: status.Leased, Hosts: []operator.HostEntry{},
		}
		if status.ReadAge.Known {
			age := status.ReadAge.Since.Milliseconds()
			list.ReadAgeMS = &age
		}
		for _, h := range a.Hosts(now) {
			list.Hosts = append(list.Hosts, operator.HostEntry{
				Host: h.Row.ID, Incarnation: h.Row.Incarnation, Region: h.Row.Region, FailureDomain: h.Row.FailureDomain,
				Address: h.Row.CallerAddress, State: h.Row.State, Alive: h.Alive, Leaving: h.Leaving,
				HeardAgeMS: h.HeardAge.Milliseconds(), Complete: h.Complete, Config: h.Config,
			})
		}
	})
	return list, nil
}

func (s *Server) attest(r *http.Request) (any, error) {
	request, err := read[operator.HostAttest](r)
	if err != nil {
		return nil, err
	}
	s.Control.Attest(request.Host, request.Incarnation)
	return request, nil
}

func (s *Server) listBudgets(*http.Request) (any, error) {
	list := operator.BudgetList{Budgets: []operator.BudgetEntry{}}
	s.Control.Look(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.BudgetPrefix) {
			list.Budgets = append(list.Budgets, operator.BudgetEntry{Revision: row.Revision, Budget: *row.Budget})
		}
	})
	return list, nil
}

func (s *Server) getTimeline(*http.Request) (any, error) {
	return operator.Timeline{Events: slices.Clip(s.Control.Events())}, nil
}

func (s *Server) getMetrics(*http.Request) (any, error) { return s.Metrics.GetAll(), nil }
