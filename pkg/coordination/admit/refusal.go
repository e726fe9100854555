// Package admit decides whether a request may run: it matches the route,
// authenticates the client and debits the account's budget.
package admit

import "time"

// Outcome is whether a request without an answer of an upstream may have run, as
// clients receive it.
type Outcome string

// Outcomes of a refused request.
const (
	// NotRun means that no upstream was given the request.
	NotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Reason is why a request was refused.
type Reason string

// Reasons for refusals before a request is sent to an upstream.
const (
	NoRoute            Reason = "no_route"
	Malformed          Reason = "malformed"
	KeyMissing         Reason = "key_missing"
	KeyRejected        Reason = "key_rejected"
	KeyMisplaced       Reason = "key_misplaced"
	WithdrawalsUnknown Reason = "withdrawals_unknown"
	OverLimit          Reason = "over_limit"
	ShareLapsed        Reason = "share_lapsed"
	RequestIDMissing   Reason = "request_id_missing"
	DeadlinePassed     Reason = "deadline_passed"
	BodyTooLarge       Reason = "body_too_large"
	UpstreamsBusy      Reason = "upstreams_busy"
	UpstreamsGone      Reason = "upstreams_gone"
	ClaimUnavailable   Reason = "claim_unavailable"
)

// Reasons for refusals after a request may have reached an upstream.
const (
	AlreadyTaken   Reason = "already_taken"
	UpstreamFailed Reason = "upstream_failed"
	UpstreamLate   Reason = "upstream_late"
	AnswerForeign  Reason = "answer_foreign"
)

// Refusal is the typed error of a request without an answer.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay before a retry; zero means that a retry does not help.
	RetryAfter time.Duration
	Detail     string
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}

// Is reports whether target is a refusal with the same outcome and reason.
func (r *Refusal) Is(target error) bool {
	other, ok := target.(*Refusal)
	return ok && r.Outcome == other.Outcome && r.Reason == other.Reason
}

// Delays after which clients are asked to retry.
const (
	shortRetryDelay = 200 * time.Millisecond
	longRetryDelay  = time.Second
)

// Refusals without data of a single request. They are shared and read-only.
var (
	ErrNoRoute            = &Refusal{NotRun, NoRoute, 0, "no route matches the path"}
	ErrKeyMissing         = &Refusal{NotRun, KeyMissing, 0, "the route needs a key; send it as Authorization: Bearer KEY"}
	ErrKeyRejected        = &Refusal{NotRun, KeyRejected, 0, "the key is not granted or was withdrawn"}
	ErrKeyMisplaced       = &Refusal{NotRun, KeyMisplaced, 0, "the key stands outside the header that carries it"}
	ErrWithdrawalsUnknown = &Refusal{NotRun, WithdrawalsUnknown, longRetryDelay, "this host cannot know which keys are withdrawn; use another one"}
	ErrOverLimit          = &Refusal{NotRun, OverLimit, longRetryDelay, "the account's rate and burst are used up"}
	ErrShareLapsed        = &Refusal{NotRun, ShareLapsed, shortRetryDelay, "this host has no valid share of the account's budget; use another one"}
	ErrRequestIDMissing   = &Refusal{NotRun, RequestIDMissing, 0, "a request that must run at most once needs a Request-Id header"}
	ErrDeadlinePassed     = &Refusal{NotRun, DeadlinePassed, 0, "the deadline passed before the request could be sent"}
	ErrBodyTooLarge       = &Refusal{NotRun, BodyTooLarge, 0, "the body is larger than its class allows"}
	ErrUpstreamsBusy      = &Refusal{NotRun, UpstreamsBusy, shortRetryDelay, "all upstreams of the service are busy"}
	ErrUpstreamsGone      = &Refusal{NotRun, UpstreamsGone, longRetryDelay, "no upstream of the service is known to work"}
	ErrClaimUnavailable   = &Refusal{NotRun, ClaimUnavailable, longRetryDelay, "the request could not be claimed, because the platform's table gives no answer"}
	ErrAlreadyTaken       = &Refusal{OutcomeUnknown, AlreadyTaken, longRetryDelay, "a request with this id was taken before and its answer is not recorded"}
	ErrUpstreamFailed     = &Refusal{OutcomeUnknown, UpstreamFailed, 0, "the upstream failed after it was sent the request"}
	ErrUpstreamLate       = &Refusal{OutcomeUnknown, UpstreamLate, 0, "the upstream did not answer within the deadline"}
	ErrAnswerForeign      = &Refusal{OutcomeUnknown, AnswerForeign, 0, "the upstream's answer belongs to another request"}
)
