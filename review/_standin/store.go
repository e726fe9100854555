package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

type page struct {
	Rows      []row   `json:"rows"`
	MorePages bool    `json:"morePages"`
	Ver       uint64  `json:"ver"`
	NowS      float64 `json:"nowS"`
}

// store stands in for the platform's store: linearizable, without faults of its own.
type store struct {
	mu      sync.Mutex
	start   time.Time
	rows    map[[2]string]row
	history []row
	version uint64
	changed chan struct{}
	// view, if set, replaces a row's value for the readers of a region.
	view func(region, table, key string, value []byte) []byte
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[[2]string]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a worker would.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}})
}

// remove deletes a row as the platform would.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

func (s *store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		version := s.version
		r.Ver = &version
		if r.Deleted {
			r.Value = nil
			delete(s.rows, [2]string{r.Table, r.Key})
		} else {
			s.rows[[2]string{r.Table, r.Key}] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store to the hosts of a region and returns its address.
func (s *store) listen(region string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.commit)
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(region, w, r) })
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(region, w, r) })
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected, Puts, Deletes []row
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		current := uint64(0)
		if known, ok := s.rows[[2]string{e.Table, e.Key}]; ok {
			current = *known.Ver
		}
		if e.Ver == nil || *e.Ver != current {
			writeJSON(w, http.StatusPreconditionFailed, page{Ver: s.version, NowS: s.now()})
			return
		}
	}
	for i := range txn.Deletes {
		txn.Deletes[i].Deleted = true
	}
	for _, p := range append(txn.Puts, txn.Deletes...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.apply(append(txn.Puts, txn.Deletes...))
	writeJSON(w, http.StatusOK, page{Ver: s.version, NowS: s.now()})
}

// maxPageRows is the largest number of rows in an answer.
const maxPageRows = 500

func (s *store) get(region string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := page{Rows: []row{}, Ver: s.version, NowS: s.now()}
	for _, known := range s.rows {
		if known.Table == q.Get("table") && known.Part == q.Get("part") && known.Key >= q.Get("from") {
			p.Rows = append(p.Rows, s.viewOf(region, known))
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	if len(p.Rows) > maxPageRows {
		p.Rows, p.MorePages = p.Rows[:maxPageRows], true
	}
	writeJSON(w, http.StatusOK, p)
}

func (s *store) feed(region string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := page{Rows: []row{}, Ver: s.version, NowS: s.now()}
		for _, changed := range s.history {
			if changed.Table == q.Get("table") && *changed.Ver > after {
				p.Rows = append(p.Rows, s.viewOf(region, changed))
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			writeJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) viewOf(region string, r row) row {
	if s.view != nil && !r.Deleted {
		r.Value = s.view(region, r.Table, r.Key, r.Value)
	}
	return r
}

func (s *store) now() float64 { return time.Since(s.start).Seconds() }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
