// Package upstream is a small stand-in for an upstream: a worker with slots, cold
// start, load shedding, a health and load endpoint, and drain. It records what it ran
// and what it received, so that tests and the demo need not rely on the entry hosts'
// own records.
package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/protocol/upstream"
	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Paths of the interface that controls the stand-in.
const (
	KnobsPath   = "/knobs"
	JournalPath = "/journal"
)

// EchoHeader carries the caller's tag of a request. The answer returns it in its body.
const EchoHeader = "Echo-Mark"

// coldFactor multiplies the service time of a cold worker. The comment on
// settings.Worker.ColdStart states it too.
const coldFactor = 10

// retryAfterSeconds is the Retry-After value of a shed request.
const retryAfterSeconds = "0.2"

// Knobs set the faults of a worker; they can be changed while it runs.
type Knobs struct {
	// FailPercent is the percentage of requests that are answered with an error after
	// they ran.
	FailPercent int `json:"fail_percent"`
	// SlowFactor multiplies the service time; zero counts as one.
	SlowFactor int `json:"slow_factor"`
	// Mislead makes the load report state that the worker is idle and not draining.
	Mislead bool `json:"mislead"`
	// Draining makes the worker refuse new requests and report that it is draining.
	Draining bool `json:"draining"`
	// Silent makes the worker accept requests and never answer.
	Silent bool `json:"silent"`
	// CutAnswers makes the worker close connections in the middle of answers.
	CutAnswers bool `json:"cut_answers"`
	// SwapAnswers makes the worker return answers that belong to other exchanges.
	SwapAnswers bool `json:"swap_answers"`
}

// Execution is the journal's entry of one request that the worker ran.
type Execution struct {
	Request id.Request `json:"request,omitempty"`
	Account id.Account `json:"account,omitempty"`
	// Tag is the value of the request's EchoHeader.
	Tag    string `json:"mark,omitempty"`
	Method string `json:"method"`
	// Bytes is the size of the body that arrived.
	Bytes int64 `json:"bytes"`
	// Complete is set if the whole body arrived.
	Complete bool `json:"complete"`
}

// Answer is the body of the answer to a request. Bytes and SHA256 describe the body
// of the request.
type Answer struct {
	Upstream id.Upstream `json:"upstream"`
	Tag      string      `json:"mark"`
	Request  id.Request  `json:"request,omitempty"`
	Bytes    int64       `json:"bytes"`
	SHA256   string      `json:"sha256"`
}

// Worker is one stand-in upstream. It is safe for concurrent use.
type Worker struct {
	settings settings.Worker
	clock    clock.Clock
	started  clock.Instant
	listener net.Listener
	http     *http.Server
	// busy is the number of used slots.
	busy atomic.Int64

	mu      sync.Mutex
	knobs   Knobs
	journal []Execution
	// received holds the request URIs, headers and trailers of all requests.
	received strings.Builder
}

// New returns a worker that listens on the address of its settings. Start makes it
// serve.
func New(s settings.Worker, c clock.Clock) (*Worker, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	w := &Worker{settings: s, clock: c, started: c.Now(), listener: listener}
	router := bunrouter.New()
	router.GET(upstream.ReportPath, route.Handler(w.report))
	router.PUT(KnobsPath, route.Handler(w.putKnobs))
	router.GET(JournalPath, route.Handler(w.getJournal))
	run := route.Handler(w.run)
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete} {
		router.Handle(method, "/*path", run)
	}
	w.http = &http.Server{Handler: router, ReadHeaderTimeout: 5 * time.Second}
	return w, nil
}

// Start starts serving.
func (w *Worker) Start() { go func() { _ = w.http.Serve(w.listener) }() }

// Close stops the worker at once.
func (w *Worker) Close() { _ = w.http.Close() }

// Address returns where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Settings returns the settings that the worker was made with.
func (w *Worker) Settings() settings.Worker { return w.settings }

// SetKnobs replaces the faults.
func (w *Worker) SetKnobs(k Knobs) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knobs = k
}

// Journal returns a copy of the journal, in the order in which the bodies of the
// requests ended.
func (w *Worker) Journal() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Execution(nil), w.journal...)
}

// Received returns the request URIs, headers and trailers of all requests.
func (w *Worker) Received() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.String()
}

func (w *Worker) currentKnobs() Knobs {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.knobs
}

func (w *Worker) report(out http.ResponseWriter, _ *http.Request) {
	knobs := w.currentKnobs()
	report := upstream.Report{
		Upstream: w.settings.ID, Release: w.settings.Release,
		Busy: int(w.busy.Load()), Slots: w.settings.Slots, Draining: knobs.Draining,
	}
	if knobs.Mislead {
		report.Busy, report.Draining = 0, false
	}
	route.WriteJSON(out, http.StatusOK, report)
}

func (w *Worker) run(out http.ResponseWriter, r *http.Request) {
	knobs := w.currentKnobs()
	w.recordHeader(r)
	if knobs.Draining {
		out.Header().Set(upstream.DrainingHeader, "true")
	}
	if w.busy.Add(1) > int64(w.settings.Slots) || knobs.Draining {
		w.busy.Add(-1)
		shed(out)
		return
	}
	defer w.busy.Add(-1)
	if knobs.Silent {
		<-r.Context().Done()
		return
	}
	w.execute(out, r, knobs)
}

// shed refuses a request that has not run.
func shed(out http.ResponseWriter) {
	out.Header().Set(upstream.NotRunHeader, "true")
	out.Header().Set("Retry-After", retryAfterSeconds)
	out.WriteHeader(http.StatusServiceUnavailable)
}

func (w *Worker) execute(out http.ResponseWriter, r *http.Request, knobs Knobs) {
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	w.recordTrailer(r)
	execution := Execution{
		Request: id.Request(r.Header.Get(upstream.RequestIDHeader)), Account: id.Account(r.Header.Get(upstream.AccountHeader)),
		Tag: r.Header.Get(EchoHeader), Method: r.Method, Bytes: size, Complete: err == nil,
	}
	w.appendJournal(execution)
	if err != nil || !w.simulateWork(r.Context(), knobs) {
		return
	}
	delay := w.settings.HostDelayMS[id.Host(r.Header.Get(upstream.HostHeader))]
	if !w.clock.Sleep(r.Context(), time.Duration(delay)*time.Millisecond) {
		return
	}
	answer := Answer{
		Upstream: w.settings.ID, Tag: execution.Tag, Request: execution.Request,
		Bytes: size, SHA256: hex.EncodeToString(hash.Sum(nil)),
	}
	out.Header().Set(upstream.ExchangeHeader, r.Header.Get(upstream.ExchangeHeader))
	w.writeAnswer(out, answer, knobs)
}

func (w *Worker) writeAnswer(out http.ResponseWriter, answer Answer, knobs Knobs) {
	switch {
	case knobs.SwapAnswers:
		out.Header().Set(upstream.ExchangeHeader, "another")
		answer.Tag = "another"
		route.WriteJSON(out, http.StatusOK, answer)
	case knobs.CutAnswers:
		_, _ = out.Write([]byte(`{"upstream":`))
		_ = http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	case rand.IntN(100) < knobs.FailPercent:
		route.WriteJSON(out, http.StatusInternalServerError, answer)
	default:
		route.WriteJSON(out, http.StatusOK, answer)
	}
}

// simulateWork sleeps for the service time, which is longer while the worker is cold or
// slowed, and reports whether ctx was still open at its end.
func (w *Worker) simulateWork(ctx context.Context, knobs Knobs) bool {
	d := w.settings.ServiceTime.Std() * time.Duration(max(1, knobs.SlowFactor))
	if w.clock.Now().Sub(w.started) < w.settings.ColdStart.Std() {
		d *= coldFactor
	}
	return d == 0 || w.clock.Sleep(ctx, d)
}

func (w *Worker) appendJournal(e Execution) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal = append(w.journal, e)
}

func (w *Worker) recordHeader(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received.WriteString(r.URL.RequestURI() + "\n")
	_ = r.Header.Write(&w.received)
}

func (w *Worker) recordTrailer(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = r.Trailer.Write(&w.received)
}

func (w *Worker) putKnobs(out http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if err == nil {
		var knobs Knobs
		if knobs, err = (codec.StrictJSON[Knobs]{}).Decode(data); err == nil {
			w.SetKnobs(knobs)
			route.WriteJSON(out, http.StatusOK, knobs)
			return
		}
	}
	http.Error(out, err.Error(), http.StatusBadRequest)
}

func (w *Worker) getJournal(out http.ResponseWriter, _ *http.Request) {
	route.WriteJSON(out, http.StatusOK, w.Journal())
}
