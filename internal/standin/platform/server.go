// Package platform is a small stand-in for the platform: its transactional table
// service, its object store and its list of upstreams, which lags. Its faults can be
// changed while it runs.
package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

const (
	// maxObjectBytes limits the body of each request.
	maxObjectBytes = 64 << 20
	// headerTimeout limits the time for reading the header of a request.
	headerTimeout = 5 * time.Second
)

// Server is the stand-in platform. It is safe for concurrent use.
type Server struct {
	clock    clock.Clock
	memory   *table.Memory
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	knobs   platform.Knobs
	changes []listChange
	objects map[string]object
	// unblock is closed and replaced when the knobs change. This ends the requests
	// that wait without an answer.
	unblock chan struct{}
}

// listChange is one change of the list of upstreams. The list that the platform returns
// is the result of the changes that are at least as old as the lag.
type listChange struct {
	at      clock.Instant
	request platform.UpstreamRequest
}

type object struct {
	etag string
	data []byte
}

// New returns a stand-in that listens on address. Start makes it serve.
func New(address string, knobs platform.Knobs, c clock.Clock) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if knobs.Mode == "" {
		knobs.Mode = platform.ModeUp
	}
	s := &Server{
		clock: c, memory: table.NewMemory(), listener: listener, knobs: knobs,
		objects: map[string]object{}, unblock: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Start starts serving.
func (s *Server) Start() { go func() { _ = s.http.Serve(s.listener) }() }

// Close stops the stand-in. It first ends the requests that wait without an answer.
func (s *Server) Close() {
	s.SetKnobs(platform.Knobs{Mode: platform.ModeUnavailable})
	_ = s.http.Close()
}

// URL returns the base URL of the service.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Memory returns the table, for inspection.
func (s *Server) Memory() *table.Memory { return s.memory }

// SetKnobs replaces the faults.
func (s *Server) SetKnobs(k platform.Knobs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = k
	close(s.unblock)
	s.unblock = make(chan struct{})
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New()
	router.POST(platform.TxnPath, s.withFaults(s.txn))
	router.POST(platform.RowsPath, s.withFaults(s.rows))
	router.GET(platform.ChangesPath, s.withFaults(s.changesSince))
	router.GET(platform.UpstreamsPath, s.withFaults(s.upstreams))
	router.POST(platform.UpstreamsPath, s.withFaults(s.updateUpstream))
	router.GET(platform.ObjectsPath+"*name", s.withFaults(s.getObject))
	router.PUT(platform.ObjectsPath+"*name", s.withFaults(s.putObject))
	router.GET(platform.KnobsPath, route.Handler(s.getKnobs))
	router.PUT(platform.KnobsPath, route.Handler(s.putKnobs))
	router.GET(platform.CountsPath, route.Handler(s.counts))
	return router
}

// withFaults returns a handler that applies the faults before it calls h.
func (s *Server) withFaults(h http.HandlerFunc) bunrouter.HandlerFunc {
	return route.Handler(func(w http.ResponseWriter, r *http.Request) {
		knobs, unblock := s.currentKnobs()
		host := id.Host(r.Header.Get(platform.HostHeader))
		if knobs.Mode == platform.ModeSilent || slices.Contains(knobs.CutHosts, host) {
			waitUnblocked(r.Context(), unblock)
			panic(http.ErrAbortHandler)
		}
		if knobs.Mode == platform.ModeUnavailable {
			route.WriteJSON(w, http.StatusServiceUnavailable, platform.Error{Message: "out of service"})
			return
		}
		s.clock.Sleep(r.Context(), time.Duration(knobs.DelayMS+knobs.HostDelayMS[host])*time.Millisecond)
		h(w, r)
	})
}

func (s *Server) currentKnobs() (platform.Knobs, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs, s.unblock
}

// waitUnblocked waits until the request is cancelled or the knobs change.
func waitUnblocked(ctx context.Context, unblock <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-unblock:
	}
}

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	txn, ok := decodeBody[table.Txn](w, r)
	if !ok {
		return
	}
	revision, err := s.memory.Commit(r.Context(), txn)
	if s.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		route.WriteJSON(w, http.StatusConflict, platform.RowsAnswer{Rows: conflict.Rows})
		return
	}
	route.WriteJSON(w, http.StatusOK, platform.TxnAnswer{Revision: revision})
}

// takeLostAnswer reports whether the answer to the current transaction is to be lost,
// and counts it as lost.
func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knobs.LoseAnswers <= 0 {
		return false
	}
	s.knobs.LoseAnswers--
	return true
}

func (s *Server) rows(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[platform.RowsRequest](w, r)
	if !ok {
		return
	}
	rows, _ := s.memory.Rows(r.Context(), request.Keys)
	route.WriteJSON(w, http.StatusOK, platform.RowsAnswer{Rows: rows})
}

func (s *Server) changesSince(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		route.WriteJSON(w, http.StatusBadRequest, platform.Error{Message: "after must be a revision"})
		return
	}
	changes, _ := s.memory.Changes(r.Context(), table.Revision(after))
	route.WriteJSON(w, http.StatusOK, changes)
}

func (s *Server) updateUpstream(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[platform.UpstreamRequest](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	s.changes = append(s.changes, listChange{at: s.clock.Now(), request: request})
	s.mu.Unlock()
	route.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) upstreams(w http.ResponseWriter, _ *http.Request) {
	route.WriteJSON(w, http.StatusOK, platform.UpstreamsAnswer{Upstreams: s.laggedUpstreams()})
}

// laggedUpstreams returns the list of upstreams as it was ListLagMS ago.
func (s *Server) laggedUpstreams() []fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.clock.Now().Add(-time.Duration(s.knobs.ListLagMS) * time.Millisecond)
	list := []fleet.Upstream{}
	for _, change := range s.changes {
		if change.at > cutoff {
			continue
		}
		list = slices.DeleteFunc(list, func(u fleet.Upstream) bool { return u.ID == change.request.Upstream.ID })
		if !change.request.Ended {
			list = append(list, change.request.Upstream)
		}
	}
	return list
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.URL.Path]
	s.mu.Unlock()
	if !ok {
		route.WriteJSON(w, http.StatusNotFound, platform.Error{Message: "no such object"})
		return
	}
	w.Header().Set("ETag", o.etag)
	_, _ = w.Write(o.data)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		route.WriteJSON(w, http.StatusBadRequest, platform.Error{Message: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[r.URL.Path]
	if !preconditionHolds(r, old, exists) {
		route.WriteJSON(w, http.StatusPreconditionFailed, platform.RowsAnswer{})
		return
	}
	sum := sha256.Sum256(data)
	o := object{etag: `"` + hex.EncodeToString(sum[:8]) + `"`, data: data}
	s.objects[r.URL.Path] = o
	w.Header().Set("ETag", o.etag)
	route.WriteJSON(w, http.StatusOK, struct{}{})
}

// preconditionHolds reports whether the headers If-None-Match and If-Match of a
// request allow it to replace the old object.
func preconditionHolds(r *http.Request, old object, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" && exists {
		return false
	}
	match := r.Header.Get("If-Match")
	return match == "" || (exists && old.etag == match)
}

func (s *Server) getKnobs(w http.ResponseWriter, _ *http.Request) {
	knobs, _ := s.currentKnobs()
	route.WriteJSON(w, http.StatusOK, knobs)
}

func (s *Server) putKnobs(w http.ResponseWriter, r *http.Request) {
	knobs, ok := decodeBody[platform.Knobs](w, r)
	if !ok {
		return
	}
	switch knobs.Mode {
	case platform.ModeUp, platform.ModeUnavailable, platform.ModeSilent:
		s.SetKnobs(knobs)
		route.WriteJSON(w, http.StatusOK, knobs)
	default:
		route.WriteJSON(w, http.StatusBadRequest, platform.Error{Message: "mode: want up, out or silent"})
	}
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	reads, writes := s.memory.Counts()
	route.WriteJSON(w, http.StatusOK, platform.Counts{Reads: reads, Writes: writes})
}

// decodeBody strictly decodes the body of a request, so that a misspelt field of the client
// under test or of a test's fault shows.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	var v T
	if err == nil {
		v, err = codec.StrictJSON[T]{}.Decode(data)
	}
	if err != nil {
		route.WriteJSON(w, http.StatusBadRequest, platform.Error{Message: err.Error()})
		return v, false
	}
	return v, true
}
