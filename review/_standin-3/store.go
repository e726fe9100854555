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

// Figures of the store, as a small deployment states them.
const (
	transactionTime = 4 * time.Millisecond
	readsPerSecond  = 2000
	writesPerSecond = 400
	historyAge      = 20 * time.Second
	pageRows        = 500
)

// row is a row of the store as its calls encode it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// change is a row in the history, with the time of its transaction.
type change struct {
	row
	at time.Time
}

// copyOfStore is what the store would come back with after a drill.
type copyOfStore struct {
	at      time.Time
	rows    map[rowKey]row
	history []change
	version uint64
}

// store is a stand-in of the platform's store. It answers linearizably, loses nothing
// outside a drill, and keeps its history for historyAge.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []change
	// historyStart is the version after which the history is complete.
	historyStart uint64
	version      uint64
	era          int
	away         bool
	copies       []copyOfStore
	// changed is closed at each change, and when the store goes away.
	changed       chan struct{}
	second        int64
	reads, writes int
}

func newStore() *store {
	s := &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), era: 1}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.keepCopy()
		}
	}()
	return s
}

// keepCopy keeps copies of the last ten seconds.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	rows := make(map[rowKey]row, len(s.rows))
	for k, r := range s.rows {
		rows[k] = r
	}
	s.copies = append(s.copies, copyOfStore{time.Now(), rows, slices.Clone(s.history), s.version})
	for time.Since(s.copies[0].at) > 10*time.Second {
		s.copies = s.copies[1:]
	}
}

// goAway makes the store unavailable: open calls and new ones are closed unanswered.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack makes the store available again with the newest copy taken by asOf. Versions
// go back to those of the copy, and the era rises by one. It returns both versions.
func (s *store) comeBack(asOf time.Time) (before, after uint64, copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.version
	for _, c := range slices.Backward(s.copies) {
		if !c.at.After(asOf) {
			s.rows, s.history, s.version, copied = c.rows, c.history, c.version, c.at
			break
		}
	}
	s.copies = nil
	s.era++
	s.away = false
	s.wake()
	return before, s.version, copied
}

// comeBackWithout makes the store available again, without the given rows, which have
// expired meanwhile.
func (s *store) comeBackWithout(table string, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	var rows []row
	for _, k := range keys {
		rows = append(rows, row{Table: table, Key: k, Deleted: true})
	}
	s.apply(rows)
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

// wake wakes the calls that wait for a change. The lock must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does. It reports whether the store was
// there, which confirms the write, and the version.
func (s *store) put(table, key string, value any) (version uint64, confirmed bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(row{Table: table, Key: key, Value: data})
}

// remove deletes a row as the operator or the platform does.
func (s *store) remove(table, key string) (version uint64, confirmed bool) {
	return s.write(row{Table: table, Key: key, Deleted: true})
}

func (s *store) write(r row) (version uint64, confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.apply([]row{r})
	return s.version, true
}

// apply applies the rows as one transaction. The lock must be held.
func (s *store) apply(rows []row) {
	s.version++
	now := time.Now()
	for _, r := range rows {
		r.Ver = s.version
		if r.Deleted {
			r.Value = nil
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, change{r, now})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyAge {
		s.historyStart = s.history[0].Ver
		s.history = s.history[1:]
	}
	s.wake()
}

// ServeHTTP implements http.Handler for the calls of the hosts.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	allowed := s.allow(r.Method == http.MethodPost)
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(transactionTime)
	switch r.Method + " " + r.URL.Path {
	case "POST /api/rows-tx":
		s.commit(w, r)
	case "GET /api/rows-get":
		s.get(w, r)
	case "GET /api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// allow counts a call and reports whether it is within the store's rate. The lock must be
// held.
func (s *store) allow(write bool) bool {
	if second := time.Now().Unix(); second != s.second {
		s.second, s.reads, s.writes = second, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerSecond
	}
	s.reads++
	return s.reads <= readsPerSecond
}

func (s *store) answer(w http.ResponseWriter, body map[string]any) {
	body["nowS"] = time.Since(s.started).Seconds()
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var call struct{ Expected, Puts, Deletes []row }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	current := []row{}
	holds := true
	for _, e := range call.Expected {
		have := s.rows[e.id()]
		holds = holds && have.Ver == e.Ver
		if have.Ver > 0 {
			current = append(current, have)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.answer(w, map[string]any{"rows": current, "ver": s.version})
		return
	}
	for _, p := range append(slices.Clone(call.Puts), call.Deletes...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for i := range call.Deletes {
		call.Deletes[i].Deleted = true
	}
	s.apply(append(call.Puts, call.Deletes...))
	s.answer(w, map[string]any{"ver": s.version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, have := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > pageRows
	s.answer(w, map[string]any{"rows": rows[:min(len(rows), pageRows)], "morePages": more, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		rows, version, changed, status := s.changesSince(q.Get("table"), after)
		switch {
		case status == 0:
			panic(http.ErrAbortHandler)
		case status != http.StatusOK:
			w.WriteHeader(status)
			return
		case len(rows) > 0:
			s.answer(w, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, map[string]any{"rows": rows, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after a version, with status 410 if the
// store does not have that version or its history, and 0 if the store is away.
func (s *store) changesSince(table string, after uint64) (rows []row, version uint64, changed <-chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return nil, 0, nil, 0
	case after > s.version || after < s.historyStart:
		return nil, 0, nil, http.StatusGone
	}
	rows = []row{}
	for _, c := range s.history {
		if c.Table == table && c.Ver > after {
			rows = append(rows, c.row)
		}
	}
	return rows, s.version, s.changed, http.StatusOK
}
