package soak

import (
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// services are those of the deployment.
var services = []id.Service{"stock", "desk"}

const (
	virtualHost = "soak.example"
	accounts    = 4
	// hotAccount sends more than its quota all the time.
	hotAccount             = id.Account("account-0")
	hotRate, hotBurst      = 20.0, 20.0
	usualRate              = 400.0
	readPrefix, bookPrefix = "/read/", "/book/"
)

func accountOf(n int) id.Account { return id.Account(fmt.Sprintf("account-%d", n)) }

// keyOf returns the first key of an account, spareKey the one that is withdrawn.
func keyOf(a id.Account) string    { return "key-of-" + string(a) }
func spareKey(a id.Account) string { return "spare-key-of-" + string(a) }

// putFirst writes the first desired state.
func (f *fleet) putFirst() error {
	s := &desired.State{Version: 1, Limits: desired.Limits{
		HeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	for _, name := range services {
		s.Services = append(s.Services, &desired.Service{Name: name, HealthPath: "/health", MaxConnections: 400, ColdFor: time.Second, ColdPerSecond: 20})
	}
	for n := range accounts {
		a := &desired.Account{ID: accountOf(n), Keys: []string{keyOf(accountOf(n)), spareKey(accountOf(n))}, Rate: usualRate, Burst: usualRate}
		if a.ID == hotAccount {
			a.Rate, a.Burst = hotRate, hotBurst
		}
		s.Accounts = append(s.Accounts, a)
	}
	s.Routes = []*desired.Route{route("read", readPrefix, desired.Idempotent, services[0]), route("book", bookPrefix, desired.NonIdempotent, services[1])}
	f.desired = s
	return f.store.PutDesired(s)
}

func route(name id.Route, prefix string, kind desired.Kind, service id.Service) *desired.Route {
	return &desired.Route{
		Name: name, VirtualHost: virtualHost, Prefix: prefix, Kind: kind, Targets: []desired.Target{{Service: service, Weight: 1}},
		Timeout: 1200 * time.Millisecond, Objective: 300 * time.Millisecond, MaxAttempts: 3,
	}
}

// change writes the next desired state.
func (f *fleet) change(edit func(*desired.State)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.desired
	next.Version += 3
	next.Routes = append([]*desired.Route(nil), next.Routes...)
	next.Accounts = append([]*desired.Account(nil), next.Accounts...)
	edit(&next)
	f.desired = &next
	return f.store.PutDesired(&next)
}

// moveRoute sends the reads to the other service, or back.
func (f *fleet) moveRoute() error {
	return f.change(func(s *desired.State) {
		r := *s.Routes[0]
		r.Targets = []desired.Target{{Service: services[uint64(s.Version)%2], Weight: 1}}
		s.Routes[0] = &r
	})
}

// addRoute adds a route and returns its prefix.
func (f *fleet) addRoute() (prefix string, err error) {
	err = f.change(func(s *desired.State) {
		prefix = fmt.Sprintf("/added-%d/", s.Version)
		s.Routes = append(s.Routes, route(id.Route(prefix), prefix, desired.Idempotent, services[0]))
	})
	return prefix, err
}

// withdraw takes an account's spare key away.
func (f *fleet) withdraw(a id.Account) error {
	return f.change(func(s *desired.State) {
		for i, old := range s.Accounts {
			if old.ID == a {
				next := *old
				next.Keys = []string{keyOf(a)}
				s.Accounts[i] = &next
			}
		}
	})
}
