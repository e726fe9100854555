package operator

import (
	"net/http"
	"slices"

	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/table"
)

func (s *Server) listHosts(*http.Request) (any, error) {
	var list operator.HostList
	s.Control.Inspect(func(a *agent.Agent, now clock.Instant) {
		status := a.Status(now)
		list = operator.HostList{
			AnsweredBy: status.Self.Host, Complete: status.CompleteRevision, ServesKeyed: status.ServesKeyed,
			Controller: status.Controller, Leased: status.Leased, Hosts: []operator.HostEntry{},
		}
		if status.ReadAge.Known {
			age := status.ReadAge.Elapsed.Milliseconds()
			list.ReadAgeMS = &age
		}
		for _, h := range a.Hosts(now) {
			list.Hosts = append(list.Hosts, operator.HostEntry{
				Host: h.Row.ID, Incarnation: h.Row.Incarnation, Region: h.Row.Region, FailureDomain: h.Row.FailureDomain,
				Address: h.Row.CallerAddress, State: h.Row.State, Alive: h.InContact, Leaving: h.Leaving,
				ContactAgeMS: h.ContactAge.Milliseconds(), Complete: h.CompleteRevision, Config: h.ConfigRevision,
			})
		}
	})
	return list, nil
}

func (s *Server) attest(r *http.Request) (any, error) {
	request, err := decodeBody[operator.HostAttest](r)
	if err != nil {
		return nil, err
	}
	s.Control.Attest(request.Host, request.Incarnation)
	return request, nil
}

func (s *Server) listBudgets(*http.Request) (any, error) {
	list := operator.BudgetList{Budgets: []operator.BudgetEntry{}}
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
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
