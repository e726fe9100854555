package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, in an empty part.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// page answers calls about rows.
type page struct {
	Rows      []row   `json:"rows"`
	MorePages bool    `json:"morePages"`
	Ver       uint64  `json:"ver"`
	NowS      float64 `json:"nowS"`
}

// pageRows is the number of rows in one answer.
const pageRows = 500

// store is a stand-in of the platform's store, with the calls that hosts use.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[[2]string]row
	history []row
	version uint64
	changed chan struct{}
	// refused holds the hosts that it turns away.
	refused map[string]bool
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[[2]string]row{}, changed: make(chan struct{}), refused: map[string]bool{}}
}

// put writes a row as the operator or a worker does, remove deletes one.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// setRefused sets whether the store turns a host away.
func (s *store) setRefused(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = on
}

// apply applies changed rows as one version. The mutex must be held.
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

// handler returns the handler of one host's calls.
func (s *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.commit)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refused := s.refused[host]
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) answer(w http.ResponseWriter, status int, p page) {
	p.NowS = time.Since(s.start).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// commit applies a transaction if its conditions hold.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct{ Expected, Puts, Deletes []row }
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, change := range slices.Concat(txn.Puts, txn.Deletes) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []row{}
	for _, want := range txn.Expected {
		have := uint64(0)
		if r, found := s.rows[[2]string{want.Table, want.Key}]; found {
			have = *r.Ver
			current = append(current, r)
		}
		holds = holds && want.Ver != nil && *want.Ver == have
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, page{Rows: current, Ver: s.version})
		return
	}
	for i := range txn.Deletes {
		txn.Deletes[i].Deleted = true
	}
	s.apply(slices.Concat(txn.Puts, txn.Deletes))
	s.answer(w, http.StatusOK, page{Rows: []row{}, Ver: s.version})
}

// get answers with the rows of a table in the order of their keys.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	p := page{Rows: []row{}, Ver: s.version}
	for _, have := range s.rows {
		if have.Table == query.Get("table") && have.Key >= query.Get("from") {
			p.Rows = append(p.Rows, have)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	if len(p.Rows) > pageRows {
		p.Rows, p.MorePages = p.Rows[:pageRows], true
	}
	s.answer(w, http.StatusOK, p)
}

// feed answers with the changes of a table after a version, and waits for one if there are none.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := page{Rows: []row{}, Ver: s.version}, s.changed
		for _, change := range s.history {
			if change.Table == query.Get("table") && *change.Ver > after {
				p.Rows = append(p.Rows, change)
			}
		}
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}
