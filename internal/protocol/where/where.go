// Package where defines the inquiry where a request would go now, and its answer in JSON.
// Operators send it to the metrics address of a host on the platform.
package where

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// Path serves inquiries.
const Path = "/where"

// Parameters of an inquiry. A client's key is none of them.
const (
	paramVirtualHost = "vhost"
	paramPath        = "path"
	paramAccount     = "account"
	paramObject      = "object"
	paramBodyBytes   = "body_bytes"
)

var params = []string{paramVirtualHost, paramPath, paramAccount, paramObject, paramBodyBytes}

// ErrInquiry is matched by all errors of an inquiry.
var ErrInquiry = errors.New("invalid inquiry")

// Encode returns the path and the parameters of an inquiry.
func Encode(q steer.Inquiry) string {
	v := url.Values{paramVirtualHost: {q.VirtualHost}, paramPath: {q.Path}}
	for name, value := range map[string]string{paramAccount: string(q.Account), paramObject: string(q.Object)} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if q.BodyBytes != 0 {
		v.Set(paramBodyBytes, strconv.FormatInt(q.BodyBytes, 10))
	}
	return Path + "?" + v.Encode()
}

// Parse decodes the parameters of an inquiry strictly: operators write them.
func Parse(v url.Values) (steer.Inquiry, error) {
	for name := range v {
		if !slices.Contains(params, name) {
			return steer.Inquiry{}, fmt.Errorf("%w: unknown parameter %.100q", ErrInquiry, name)
		}
	}
	for _, name := range []string{paramVirtualHost, paramPath} {
		if v.Get(name) == "" {
			return steer.Inquiry{}, fmt.Errorf("%w: parameter %s is missing", ErrInquiry, name)
		}
	}
	q := steer.Inquiry{
		VirtualHost: v.Get(paramVirtualHost), Path: v.Get(paramPath),
		Account: id.Account(v.Get(paramAccount)), Object: id.Object(v.Get(paramObject)),
	}
	if text := v.Get(paramBodyBytes); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return q, fmt.Errorf("%w: parameter %s: got %.100q, want a number of bytes", ErrInquiry, paramBodyBytes, text)
		}
		q.BodyBytes = n
	}
	return q, nil
}

// Answer is where a request would go now, and why.
type Answer struct {
	Host    id.Host         `json:"host"`
	Version desired.Version `json:"state_version"`
	Route   id.Route        `json:"route,omitempty"`
	Account id.Account      `json:"account,omitempty"`
	Quota   *Quota          `json:"quota,omitempty"`
	// Refusal is set if the request is refused before a service is chosen.
	Refusal  *Refusal  `json:"refusal,omitempty"`
	Services []Service `json:"services,omitempty"`
}

// QuotaState is how a host's share of a quota would treat a request.
type QuotaState string

// States of a quota.
const (
	QuotaUnlimited QuotaState = "unlimited"
	QuotaAvailable QuotaState = "available"
	// QuotaPool means that the host's share is used up and it would ask the region's pool.
	QuotaPool   QuotaState = "ask_pool"
	QuotaUsedUp QuotaState = "used_up"
	// QuotaUnknown means that the host has no share yet.
	QuotaUnknown QuotaState = "unknown"
)

// Quota is the state of the account's quota at the host.
type Quota struct {
	State     QuotaState `json:"state"`
	Rate      float64    `json:"rate_per_s,omitempty"`
	Burst     float64    `json:"burst,omitempty"`
	Available float64    `json:"available"`
	Pool      id.Host    `json:"pool,omitempty"`
}

// Refusal is how the request is refused.
type Refusal struct {
	Outcome string       `json:"outcome"`
	Reason  steer.Reason `json:"reason"`
	// RetryAfterMS varies by up to 30 percent from request to request.
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// Service is what happens to a request if its service is chosen among the route's targets.
type Service struct {
	Service    id.Service  `json:"service"`
	Share      float64     `json:"share"`
	Release    id.Release  `json:"release"`
	LocalShare float64     `json:"local_share"`
	Chosen     id.Upstream `json:"chosen,omitempty"`
	Refusal    *Refusal    `json:"refusal,omitempty"`
	Upstreams  []Upstream  `json:"upstreams"`
	// Omitted is the number of further upstreams, none of which was compared.
	Omitted int `json:"omitted,omitempty"`
}

// Upstream is a candidate. Times are left out if its queue is full.
type Upstream struct {
	Upstream      id.Upstream      `json:"upstream"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Release       id.Release       `json:"release"`
	// Rank is its position in the order of ownership in its region, -1 if it may get no
	// requests.
	Rank       int             `json:"rank"`
	Excluded   place.Exclusion `json:"excluded,omitempty"`
	BackoffMS  float64         `json:"backoff_ms,omitempty"`
	ExpectedMS *float64        `json:"expected_ms,omitempty"`
	WaitMS     *float64        `json:"wait_ms,omitempty"`
	WorkMS     *float64        `json:"work_ms,omitempty"`
	RoundTrip  *float64        `json:"round_trip_ms,omitempty"`
	Load       float64         `json:"load"`
	Slots      int             `json:"slots"`
	// LoadAgeMS is the age of the last load report, left out if there is none.
	LoadAgeMS *float64 `json:"load_age_ms,omitempty"`
	Pace      float64  `json:"pace"`
	Known     bool     `json:"known"`
	Cold      bool     `json:"cold"`
}

var outcomes = map[steer.Outcome]string{
	steer.UnknownRoute: "unknown_route", steer.UnknownKey: "unknown_key", steer.OverQuota: "over_quota", steer.Refused: "refused",
}

// FromPlan encodes a plan of a host with up to maxUpstreams of each service, but all that
// were compared.
func FromPlan(host id.Host, p steer.Plan, maxUpstreams int) Answer {
	a := Answer{Host: host, Version: p.Version, Account: p.Account, Refusal: refusalFrom(p.Refusal)}
	if p.Route != nil {
		a.Route = p.Route.Name
	}
	if p.Account != "" {
		a.Quota = quotaFrom(p.Quota, p.Pool)
	}
	for _, s := range p.Services {
		out := Service{Service: s.Service, Share: round(s.Share), Release: s.Release, LocalShare: round(s.LocalShare), Refusal: refusalFrom(s.Refusal), Upstreams: []Upstream{}}
		for i := range s.Candidates {
			if i >= maxUpstreams && !s.Candidates[i].Compared() {
				out.Omitted = len(s.Candidates) - i
				break
			}
			u := upstreamFrom(&s.Candidates[i])
			if s.Status == place.Chosen && u.Excluded == place.ExcludedNot {
				out.Chosen = u.Upstream
			}
			out.Upstreams = append(out.Upstreams, u)
		}
		a.Services = append(a.Services, out)
	}
	return a
}

func quotaFrom(s quota.State, pool id.Host) *Quota {
	out := &Quota{State: QuotaUsedUp, Rate: round(s.Rate), Burst: round(s.Burst), Available: round(s.Available), Pool: pool}
	admits, _ := s.Admits()
	switch {
	case pool != "":
		out.State = QuotaPool
	case !s.Known:
		out.State = QuotaUnknown
	case !s.Limited:
		out.State = QuotaUnlimited
	case admits:
		out.State = QuotaAvailable
	}
	return out
}

func refusalFrom(r steer.Refusal) *Refusal {
	if r.Outcome == steer.Delivered {
		return nil
	}
	return &Refusal{Outcome: outcomes[r.Outcome], Reason: r.Reason, RetryAfterMS: millis(r.RetryAfter)}
}

func upstreamFrom(c *place.Candidate) Upstream {
	u := Upstream{
		Upstream: c.Info.ID, Region: c.Info.Region, FailureDomain: c.Info.FailureDomain, Release: c.Info.Release, Rank: c.Rank,
		Excluded: c.Excluded, BackoffMS: millis(c.Backoff), Load: round(c.Load), Slots: c.Info.Slots, Pace: round(c.Pace), Known: c.Known, Cold: c.Cold,
	}
	if c.HasEstimate {
		u.ExpectedMS, u.WaitMS = new(millis(c.Wait+c.Work+c.RoundTrip)), new(millis(c.Wait))
		u.WorkMS, u.RoundTrip = new(millis(c.Work)), new(millis(c.RoundTrip))
	}
	if c.HasReport {
		u.LoadAgeMS = new(millis(c.LoadAge))
	}
	return u
}

// millis returns a duration in milliseconds, to a tenth.
func millis(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond)*10) / 10 }

// round rounds a number to three decimals, which is enough to read.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
