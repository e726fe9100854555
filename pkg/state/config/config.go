// Package config holds the operator's configuration: accounts with their limits,
// routes, request classes and the regions of client blocks. It never holds weights
// or addresses of upstreams.
package config

import (
	"time"

	"celerypin.example/celerypin/pkg/state/block"
	"celerypin.example/celerypin/pkg/state/id"
)

// Config is one accepted configuration. It is immutable once committed; its version
// is the revision of the table row that holds it.
type Config struct {
	Accounts     []Account     `json:"accounts" validate:"required,dive"`
	Classes      []Class       `json:"classes" validate:"required,dive"`
	Routes       []Route       `json:"routes" validate:"required,dive"`
	ClientBlocks []block.Entry `json:"client_blocks,omitempty"`
}

// Account states the limits of one client account over all hosts together.
type Account struct {
	ID id.Account `json:"id" validate:"required"`
	// RatePerSecond is the long-term number of requests admitted per second.
	RatePerSecond int64 `json:"rate_per_second" validate:"gt=0,lte=1000000"`
	// Burst is the number of requests admitted at once after an idle time.
	Burst int64 `json:"burst" validate:"gt=0,lte=1000000"`
}

// Class states how requests of one class are served.
type Class struct {
	ID string `json:"id" validate:"required"`
	// Deadline bounds a request that states no deadline of its own.
	Deadline Duration `json:"deadline" validate:"gt=0"`
	// Idempotent is set if a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// MaxBody bounds the size of a request body, in bytes.
	MaxBody int64 `json:"max_body_bytes" validate:"gt=0"`
}

// Route maps requests under a path prefix to a service.
type Route struct {
	ID         id.Route   `json:"id" validate:"required"`
	PathPrefix string     `json:"path_prefix" validate:"required,startswith=/"`
	Service    id.Service `json:"service" validate:"required"`
	Class      string     `json:"class" validate:"required"`
	// Open routes need no key and are charged to no account.
	Open bool `json:"open"`
}

// Duration is a time.Duration with a text form such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText returns the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
