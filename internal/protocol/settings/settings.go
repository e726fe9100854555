// Package settings reads the JSON files that processes are started with, and
// the configuration documents that operators hand in.
package settings

import (
	"errors"
	"fmt"
	"os"

	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Serve holds the settings of an entry host.
type Serve struct {
	Host          id.Host          `json:"host" validate:"required"`
	Region        id.Region        `json:"region" validate:"required"`
	FailureDomain id.FailureDomain `json:"failure_domain" validate:"required"`
	// CallerListen is the address for callers and operators.
	CallerListen string `json:"caller_listen" validate:"required,listen"`
	// HostListen is the address for other entry hosts.
	HostListen string `json:"host_listen" validate:"required,listen"`
	// CallerAddress and HostAddress are what others are told to use, if not the
	// addresses listened on.
	CallerAddress string `json:"caller_address,omitempty" validate:"omitempty,hostname_port"`
	HostAddress   string `json:"host_address,omitempty" validate:"omitempty,hostname_port"`
	// Platform is the base URL of the platform's service.
	Platform string `json:"platform" validate:"required,url"`
	// Peers are hosts to contact before their rows are known.
	Peers []Peer `json:"peers,omitempty" validate:"dive"`
	// FleetSecret keys the hashes of callers' keys and admits other hosts.
	FleetSecret string `json:"fleet_secret" validate:"required,min=16"`
	// OperatorToken admits operators.
	OperatorToken string `json:"operator_token" validate:"required,min=16"`
	Log           Log    `json:"log,omitempty"`
}

// Peer is another entry host.
type Peer struct {
	Host    id.Host `json:"host" validate:"required"`
	Address string  `json:"address" validate:"required,hostname_port"`
}

// Log holds the settings of the log.
type Log struct {
	Level  string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	Format string `json:"format,omitempty" validate:"omitempty,oneof=text json"`
}

// StandinPlatform holds the settings of the stand-in of the platform.
type StandinPlatform struct {
	Listen    string `json:"listen" validate:"required,listen"`
	DelayMS   int    `json:"delay_ms,omitempty" validate:"gte=0,lte=60000"`
	ListLagMS int    `json:"list_lag_ms,omitempty" validate:"gte=0,lte=600000"`
	// HostDelayMS is the way to and from single hosts, in milliseconds.
	HostDelayMS map[id.Host]int `json:"host_delay_ms,omitempty"`
	Log         Log             `json:"log,omitempty"`
}

// StandinUpstream holds the settings of a process with stand-ins of upstreams.
type StandinUpstream struct {
	Platform string   `json:"platform" validate:"required,url"`
	Workers  []Worker `json:"workers" validate:"required,min=1,dive"`
	Log      Log      `json:"log,omitempty"`
}

// Worker is one stand-in of an upstream.
type Worker struct {
	ID            id.Upstream      `json:"id" validate:"required"`
	Service       id.Service       `json:"service" validate:"required"`
	Release       id.Release       `json:"release" validate:"required"`
	Region        id.Region        `json:"region" validate:"required"`
	FailureDomain id.FailureDomain `json:"failure_domain" validate:"required"`
	Listen        string           `json:"listen" validate:"required,listen"`
	Slots         int              `json:"slots" validate:"gt=0,lte=10000"`
	// ServiceTime is how long a request takes.
	ServiceTime config.Duration `json:"service_time,omitempty" validate:"gte=0"`
	// HostDelayMS is the way to and from single entry hosts, in milliseconds.
	HostDelayMS map[id.Host]int `json:"host_delay_ms,omitempty"`
	// ColdStart is for how long after its start a request takes ten times as long.
	ColdStart config.Duration `json:"cold_start,omitempty" validate:"gte=0"`
}

// Upstream returns the worker as the platform lists it.
func (w Worker) Upstream(address string) fleet.Upstream {
	return fleet.Upstream{
		ID: w.ID, Service: w.Service, Release: w.Release, Region: w.Region, FailureDomain: w.FailureDomain,
		Address: address, Slots: w.Slots, State: fleet.UpstreamLive,
	}
}

// Read reads a settings file of type T.
func Read[T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var none T
		return none, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Decode[T](file, data)
}

// DecodeConfig reads a configuration document and checks its references too.
func DecodeConfig(file string, data []byte) (config.Config, error) {
	c, err := Decode[config.Config](file, data)
	reported := map[string]bool{}
	faults := Faults(err)
	for _, fault := range faults {
		var f Fault
		if errors.As(fault, &f) {
			reported[f.Field] = true
		}
	}
	for _, fault := range ReferenceFaults(file, c.CheckReferences()) {
		var f Fault
		if errors.As(fault, &f) && !reported[f.Field] {
			faults = append(faults, fault)
		}
	}
	return c, errors.Join(faults...)
}

// Faults splits a joined error into its parts.
func Faults(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, part := range joined.Unwrap() {
		out = append(out, Faults(part)...)
	}
	return out
}
