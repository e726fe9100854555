// Package upstream is a small stand-in of an upstream: a worker with slots, cold
// start, shedding, a health and load endpoint and drain. It keeps a journal of
// what it ran and of all that it was sent, as an independent witness.
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

// Paths of the stand-in's own interface.
const (
	KnobsPath   = "/knobs"
	JournalPath = "/journal"
)

// EchoHeader carries a mark of the caller that the answer must return.
const EchoHeader = "Echo-Mark"

// coldFactor is how much slower a cold worker is.
const coldFactor = 10

// retryAfterText is the pause that a shedding worker asks for, in seconds.
const retryAfterText = "0.2"

// Knobs are the faults of a worker; they can be turned while it runs.
type Knobs struct {
	// FailPercent of the requests are answered with an error after they ran.
	FailPercent int `json:"fail_percent"`
	// SlowFactor multiplies the service time; zero counts as one.
	SlowFactor int `json:"slow_factor"`
	// Mislead makes the load report tell that the worker is idle.
	Mislead bool `json:"mislead"`
	// Draining makes the worker refuse new work and say that it leaves.
	Draining bool `json:"draining"`
	// Silent makes the worker accept requests and never answer.
	Silent bool `json:"silent"`
	// CutAnswers makes the worker end connections in the middle of answers.
	CutAnswers bool `json:"cut_answers"`
	// SwapAnswers makes the worker give answers that belong to other exchanges.
	SwapAnswers bool `json:"swap_answers"`
}

// Execution is one entry of the journal.
type Execution struct {
	Request  id.Request `json:"request,omitempty"`
	Account  id.Account `json:"account,omitempty"`
	Mark     string     `json:"mark,omitempty"`
	Method   string     `json:"method"`
	Bytes    int64      `json:"bytes"`
	Complete bool       `json:"complete"`
}

// Answer is the body of a worker's answer.
type Answer struct {
	Upstream id.Upstream `json:"upstream"`
	Mark     string      `json:"mark"`
	Request  id.Request  `json:"request,omitempty"`
	Bytes    int64       `json:"bytes"`
	SHA256   string      `json:"sha256"`
}

// Worker is one stand-in. It is safe for concurrent use.
type Worker struct {
	settings settings.Worker
	clock    clock.Clock
	started  clock.Instant
	listener net.Listener
	http     *http.Server
	busy     atomic.Int64

	mu      sync.Mutex
	knobs   Knobs
	journal []Execution
	// received holds everything that came in headers, paths and trailers.
	received strings.Builder
}

// New returns a worker that listens.
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

// Start begins to serve.
func (w *Worker) Start() { go func() { _ = w.http.Serve(w.listener) }() }

// Close ends the worker at once.
func (w *Worker) Close() { _ = w.http.Close() }

// Address returns where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Settings returns what the worker was made of.
func (w *Worker) Settings() settings.Worker { return w.settings }

// SetKnobs turns the faults.
func (w *Worker) SetKnobs(k Knobs) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knobs = k
}

// Journal returns what the worker ran.
func (w *Worker) Journal() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Execution(nil), w.journal...)
}

// Received returns all that came in heads and trailers of requests.
func (w *Worker) Received() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.String()
}

func (w *Worker) current() Knobs {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.knobs
}

func (w *Worker) report(out http.ResponseWriter, _ *http.Request) {
	knobs := w.current()
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
	knobs := w.current()
	w.note(r)
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

// shed refuses a request without having run it.
func shed(out http.ResponseWriter) {
	out.Header().Set(upstream.NotRunHeader, "true")
	out.Header().Set("Retry-After", retryAfterText)
	out.WriteHeader(http.StatusServiceUnavailable)
}

func (w *Worker) execute(out http.ResponseWriter, r *http.Request, knobs Knobs) {
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	w.noteTrailer(r)
	execution := Execution{
		Request: id.Request(r.Header.Get(upstream.RequestIDHeader)), Account: id.Account(r.Header.Get(upstream.AccountHeader)),
		Mark: r.Header.Get(EchoHeader), Method: r.Method, Bytes: size, Complete: err == nil,
	}
	w.enter(execution)
	if err != nil || !w.work(r.Context(), knobs) {
		return
	}
	way := w.settings.HostDelayMS[id.Host(r.Header.Get(upstream.HostHeader))]
	if !w.clock.Sleep(r.Context(), time.Duration(way)*time.Millisecond) {
		return
	}
	answer := Answer{
		Upstream: w.settings.ID, Mark: execution.Mark, Request: execution.Request,
		Bytes: size, SHA256: hex.EncodeToString(hash.Sum(nil)),
	}
	out.Header().Set(upstream.ExchangeHeader, r.Header.Get(upstream.ExchangeHeader))
	w.answer(out, answer, knobs)
}

func (w *Worker) answer(out http.ResponseWriter, answer Answer, knobs Knobs) {
	switch {
	case knobs.SwapAnswers:
		out.Header().Set(upstream.ExchangeHeader, "another")
		answer.Mark = "another"
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

// work takes the service time, longer while cold or slowed.
func (w *Worker) work(ctx context.Context, knobs Knobs) bool {
	d := w.settings.ServiceTime.Std() * time.Duration(max(1, knobs.SlowFactor))
	if w.clock.Now().Sub(w.started) < w.settings.ColdStart.Std() {
		d *= coldFactor
	}
	return d == 0 || w.clock.Sleep(ctx, d)
}

func (w *Worker) enter(e Execution) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal = append(w.journal, e)
}

func (w *Worker) note(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received.WriteString(r.URL.RequestURI() + "\n")
	_ = r.Header.Write(&w.received)
}

func (w *Worker) noteTrailer(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = r.Trailer.Write(&w.received)
}

func (w *Worker) putKnobs(out http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if err == nil {
		var knobs Knobs
		if knobs, err = (codec.JSON[Knobs]{}).Decode(data); err == nil {
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
