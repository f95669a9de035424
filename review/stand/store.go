package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	row struct {
		Table   string `json:"Table"`
		Part    string `json:"part"`
		Key     string `json:"Key"`
		Value   []byte `json:"Value,omitempty"`
		Ver     int64  `json:"Ver"`
		Removed bool   `json:"Removed,omitempty"`
	}

	rowsTx struct {
		Expected, Writes, Deletes []row
	}

	// store stands in for the platform's metadata store and for its call /promote.
	store struct {
		record  *record
		server  *http.Server
		addr    string
		started time.Time

		mu      sync.Mutex
		changed chan struct{}
		// down makes the store answer 503 to everybody.
		down    bool
		ver     int64
		rows    map[string]row
		history []row
		// promote carries out an order for a new primary and returns the status of the response.
		promote func(service, id, holder, fence string) int
	}
)

func newStore(rec *record) (*store, error) {
	s := &store{record: rec, started: time.Now(), changed: make(chan struct{}), rows: map[string]row{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /crocusshore/rows-tx", s.available(s.answerTx))
	mux.HandleFunc("GET /crocusshore/rows-get", s.available(s.answerGet))
	mux.HandleFunc("GET /crocusshore/rows-feed", s.available(s.answerFeed))
	mux.HandleFunc("POST /promote", s.answerPromote)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// setDown makes the store unavailable, or available again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
	s.record.add("store", "disruption: down=%v", down)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// available answers 503 while the store is down.
func (s *store) available(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

// put writes a row as the operator or an instance would, and reports whether the store took it.
func (s *store) put(table, key string, value any) bool {
	body, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.ver++
	s.write(row{Table: table, Key: key, Value: body, Ver: s.ver})
	s.notify()
	return true
}

// remove deletes a row whose writer has been silent for too long; the store does so while it is down, too.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.rows[rowKey(table, "", key)]; !there {
		return
	}
	s.record.add("store", "%s/%s expired", table, key)
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Removed: true})
	s.notify()
}

func (s *store) write(r row) {
	key := rowKey(r.Table, r.Part, r.Key)
	if r.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "HasMore": false, "Ver": s.ver, "NowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) answerTx(w http.ResponseWriter, r *http.Request) {
	var tx rowsTx
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{tx.Writes, tx.Deletes} {
		for _, change := range list {
			if change.Table == "op" || change.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	var current []row
	holds := true
	for _, e := range tx.Expected {
		found := s.rows[rowKey(e.Table, e.Part, e.Key)]
		holds = holds && found.Ver == e.Ver
		if found.Ver > 0 {
			current = append(current, found)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.ver++
	for _, change := range tx.Writes {
		s.write(row{Table: change.Table, Part: change.Part, Key: change.Key, Value: change.Value, Ver: s.ver})
		s.record.add("store", "written %s/%s %s", change.Table, change.Key, change.Value)
	}
	for _, change := range tx.Deletes {
		s.write(row{Table: change.Table, Part: change.Part, Key: change.Key, Ver: s.ver, Removed: true})
		s.record.add("store", "deleted %s/%s", change.Table, change.Key)
	}
	s.notify()
	s.answer(w, http.StatusOK, nil)
}

func (s *store) answerGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, r := range s.rows {
		if r.Table == q.Get("Table") && r.Part == q.Get("part") && r.Key >= q.Get("From") {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool { return strings.Compare(found[a].Key, found[b].Key) < 0 })
	s.answer(w, http.StatusOK, found)
}

func (s *store) answerFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var found []row
		for _, h := range s.history {
			if h.Table == q.Get("Table") && h.Ver > after {
				found = append(found, h)
			}
		}
		changed := s.changed
		if len(found) > 0 || ended {
			s.answer(w, http.StatusOK, found)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answerPromote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string
		ID      string `json:"Id"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, fence := r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token")
	status := s.promote(order.Service, order.ID, holder, fence)
	s.record.add("platform", "POST /promote Service=%s Id=%s holder=%s fence=%s -> %d", order.Service, order.ID, holder, fence, status)
	w.WriteHeader(status)
}
