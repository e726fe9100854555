// Package caller defines the interface for callers: the answer to a look-up, the headers
// of forwarded requests, and refusals.
package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/state/id"
)

// LookupPath is where callers look up which hosts to use.
const LookupPath = "/celerypin/v1/lookup"

// Headers of requests and responses.
const (
	KeyHeader       = "Authorization"
	RequestIDHeader = "Request-Id"
	DeadlineHeader  = "Request-Deadline-Ms"
	OutcomeHeader   = "Celerypin-Outcome"
	ReasonHeader    = "Celerypin-Reason"
	HostHeader      = "Celerypin-Host"
	ReplayedHeader  = "Celerypin-Replayed"
)

// bearer is the prefix of a key in KeyHeader.
const bearer = "Bearer "

// Lookup is the answer to a look-up.
type Lookup struct {
	Hosts []LookupHost `json:"hosts"`
	// TTLMS is how long the answer may be used, in milliseconds.
	TTLMS int64 `json:"keep_ms"`
}

// LookupHost is one host to use.
type LookupHost struct {
	Host    id.Host   `json:"host"`
	Region  id.Region `json:"region"`
	Address string    `json:"address"`
}

// Refusal is the body of a refused request.
type Refusal struct {
	Outcome      admit.Outcome `json:"outcome"`
	Reason       admit.Reason  `json:"reason"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Detail       string        `json:"detail"`
}

// LookupCodec and RefusalCodec are the encodings of the caller's interface.
var (
	LookupCodec  codec.Codec[Lookup]  = codec.JSON[Lookup]{}
	RefusalCodec codec.Codec[Refusal] = codec.JSON[Refusal]{}
)

// FromAnswer returns the wire form of the answer to a look-up.
func FromAnswer(a lookup.Answer) Lookup {
	out := Lookup{Hosts: make([]LookupHost, 0, a.Count), TTLMS: a.TTL.Milliseconds()}
	for _, h := range a.Hosts[:a.Count] {
		out.Hosts = append(out.Hosts, LookupHost{Host: h.ID, Region: h.Region, Address: h.Address})
	}
	return out
}

// FromRefusal returns the wire form of a refusal.
func FromRefusal(r *admit.Refusal) Refusal {
	return Refusal{Outcome: r.Outcome, Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds(), Detail: r.Detail}
}

// Status returns the HTTP status of a refusal.
func Status(r *admit.Refusal) int {
	switch r.Reason {
	case admit.NoRoute:
		return http.StatusNotFound
	case admit.Malformed, admit.KeyMisplaced, admit.RequestIDMissing:
		return http.StatusBadRequest
	case admit.KeyMissing, admit.KeyRejected:
		return http.StatusUnauthorized
	case admit.OverLimit:
		return http.StatusTooManyRequests
	case admit.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case admit.AlreadyTaken:
		return http.StatusConflict
	case admit.UpstreamFailed, admit.AnswerForeign:
		return http.StatusBadGateway
	case admit.UpstreamLate, admit.DeadlinePassed:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Key returns the caller's key from KeyHeader. Present is false if the header is missing;
// ok is false if it is repeated or malformed.
func Key(h http.Header) (key string, present, ok bool) {
	values := h.Values(KeyHeader)
	if len(values) == 0 {
		return "", false, true
	}
	key, found := strings.CutPrefix(values[0], bearer)
	return key, true, len(values) == 1 && found && key != ""
}

// Timeout returns the time that the caller allows for the request, or fallback if it
// states none. It is never longer than fallback. Ok is false if the header is malformed.
func Timeout(h http.Header, fallback time.Duration) (time.Duration, bool) {
	text := h.Get(DeadlineHeader)
	if text == "" {
		return fallback, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return min(fallback, time.Duration(ms)*time.Millisecond), true
}
