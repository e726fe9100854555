package soak

import (
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// services are the services of the deployment.
var services = []id.Service{"stock", "desk"}

const (
	virtualHost = "soak.example"
	accounts    = 4
	// hotAccount always sends more than its quota.
	hotAccount = id.Account("account-0")
	// hotRate and hotBurst are the quota of hotAccount, normalRate the rate and burst
	// of the others.
	hotRate    = 20.0
	hotBurst   = 20.0
	normalRate = 400.0
	readPrefix = "/read/"
	bookPrefix = "/book/"
)

func accountID(n int) id.Account { return id.Account(fmt.Sprintf("account-%d", n)) }

// primaryKey returns the key of an account that stays valid.
func primaryKey(a id.Account) string { return "key-of-" + string(a) }

// spareKey returns the key of an account that may be withdrawn.
func spareKey(a id.Account) string { return "spare-key-of-" + string(a) }

// putInitialState writes the initial desired state to the store.
func (d *deployment) putInitialState() error {
	s := &desired.State{Version: 1, Limits: desired.Limits{
		HeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	for _, name := range services {
		s.Services = append(s.Services, &desired.Service{Name: name, HealthPath: "/health", MaxConnections: 400, ColdFor: time.Second, ColdPerSecond: 20})
	}
	for n := range accounts {
		a := &desired.Account{ID: accountID(n), Keys: []string{primaryKey(accountID(n)), spareKey(accountID(n))}, Rate: normalRate, Burst: normalRate}
		if a.ID == hotAccount {
			a.Rate, a.Burst = hotRate, hotBurst
		}
		s.Accounts = append(s.Accounts, a)
	}
	s.Routes = []*desired.Route{route("read", readPrefix, desired.Idempotent, services[0]), route("book", bookPrefix, desired.NonIdempotent, services[1])}
	d.desired = s
	return d.store.PutDesired(s)
}

func route(name id.Route, prefix string, kind desired.Kind, service id.Service) *desired.Route {
	return &desired.Route{
		Name: name, VirtualHost: virtualHost, Prefix: prefix, Kind: kind, Targets: []desired.Target{{Service: service, Weight: 1}},
		Timeout: 1200 * time.Millisecond, Objective: 300 * time.Millisecond, MaxAttempts: 3,
	}
}

// update writes a new version of the desired state, changed by edit. It copies the
// lists of routes and accounts; edit must replace their elements, not change them.
func (d *deployment) update(edit func(*desired.State)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.desired
	next.Version += 3
	next.Routes = append([]*desired.Route(nil), next.Routes...)
	next.Accounts = append([]*desired.Account(nil), next.Accounts...)
	edit(&next)
	d.desired = &next
	return d.store.PutDesired(&next)
}

// moveReads moves the route of the reads to one of the services, chosen by the
// version.
func (d *deployment) moveReads() error {
	return d.update(func(s *desired.State) {
		r := *s.Routes[0]
		r.Targets = []desired.Target{{Service: services[uint64(s.Version)%2], Weight: 1}}
		s.Routes[0] = &r
	})
}

// addRoute adds a route and returns its prefix.
func (d *deployment) addRoute() (prefix string, err error) {
	err = d.update(func(s *desired.State) {
		prefix = fmt.Sprintf("/added-%d/", s.Version)
		s.Routes = append(s.Routes, route(id.Route(prefix), prefix, desired.Idempotent, services[0]))
	})
	return prefix, err
}

// withdrawSpareKey withdraws an account's spare key.
func (d *deployment) withdrawSpareKey(a id.Account) error {
	return d.update(func(s *desired.State) {
		for i, old := range s.Accounts {
			if old.ID == a {
				next := *old
				next.Keys = []string{primaryKey(a)}
				s.Accounts[i] = &next
			}
		}
	})
}
