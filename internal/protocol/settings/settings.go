// Package settings decodes and validates the settings files of processes and the
// configuration documents of operators. Both are JSON.
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
	// CallerAddress and HostAddress are the addresses that are advertised to others.
	// They default to the addresses listened on.
	CallerAddress string `json:"caller_address,omitempty" validate:"omitempty,hostname_port"`
	HostAddress   string `json:"host_address,omitempty" validate:"omitempty,hostname_port"`
	// Platform is the base URL of the platform's service.
	Platform string `json:"platform" validate:"required,url"`
	// Peers are hosts to contact before the rows of the hosts are known.
	Peers []Peer `json:"peers,omitempty" validate:"dive"`
	// FleetSecret is the key of the hashes of callers' keys, and authenticates other hosts.
	FleetSecret string `json:"fleet_secret" validate:"required,min=16"`
	// OperatorToken authenticates operators.
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

// StandinPlatform holds the settings of the stand-in for the platform.
type StandinPlatform struct {
	Listen    string `json:"listen" validate:"required,listen"`
	DelayMS   int    `json:"delay_ms,omitempty" validate:"gte=0,lte=60000"`
	ListLagMS int    `json:"list_lag_ms,omitempty" validate:"gte=0,lte=600000"`
	// HostDelayMS delays the answers to single hosts, in milliseconds.
	HostDelayMS map[id.Host]int `json:"host_delay_ms,omitempty"`
	Log         Log             `json:"log,omitempty"`
}

// StandinUpstream holds the settings of a process that runs stand-ins for upstreams.
type StandinUpstream struct {
	Platform string   `json:"platform" validate:"required,url"`
	Workers  []Worker `json:"workers" validate:"required,min=1,dive"`
	Log      Log      `json:"log,omitempty"`
}

// Worker holds the settings of one stand-in for an upstream.
type Worker struct {
	ID            id.Upstream      `json:"id" validate:"required"`
	Service       id.Service       `json:"service" validate:"required"`
	Release       id.Release       `json:"release" validate:"required"`
	Region        id.Region        `json:"region" validate:"required"`
	FailureDomain id.FailureDomain `json:"failure_domain" validate:"required"`
	Listen        string           `json:"listen" validate:"required,listen"`
	Slots         int              `json:"slots" validate:"gt=0,lte=10000"`
	// ServiceTime is how long the stand-in takes for a request.
	ServiceTime config.Duration `json:"service_time,omitempty" validate:"gte=0"`
	// HostDelayMS delays the answers to single entry hosts, in milliseconds.
	HostDelayMS map[id.Host]int `json:"host_delay_ms,omitempty"`
	// ColdStart is how long after the start requests take ten times as long.
	ColdStart config.Duration `json:"cold_start,omitempty" validate:"gte=0"`
}

// Upstream returns the entry of the worker in the platform's list of upstreams.
func (w Worker) Upstream(address string) fleet.Upstream {
	return fleet.Upstream{
		ID: w.ID, Service: w.Service, Release: w.Release, Region: w.Region, FailureDomain: w.FailureDomain,
		Address: address, Slots: w.Slots, State: fleet.UpstreamLive,
	}
}

// Read reads a file and decodes it like Decode.
func Read[T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var none T
		return none, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Decode[T](file, data)
}

// DecodeConfig decodes a configuration document like Decode, and also checks its
// references. A faulty reference is not reported for a field that has another fault.
func DecodeConfig(file string, data []byte) (config.Config, error) {
	c, err := Decode[config.Config](file, data)
	reported := map[string]bool{}
	faults := Errors(err)
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

// Errors returns the errors that err joins, at any depth.
func Errors(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, joinedErr := range joined.Unwrap() {
		out = append(out, Errors(joinedErr)...)
	}
	return out
}
