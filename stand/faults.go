package stand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// Fault describes the faults of an HTTP interface; the zero value has none.
type Fault struct {
	// Refuse answers every request with an error before it has an effect.
	Refuse bool
	// DelayMs delays every request, in milliseconds.
	DelayMs int
	// DropEvery drops the answer to every n-th request, where n is DropEvery, after the request took effect; 0 drops none.
	DropEvery int
	// Paused holds every request back until the pause ends.
	Paused bool
	// Down breaks every connection without an answer.
	Down bool
}

// Faults injects a Fault in front of a handler; it is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	fault Fault
	// resumed is closed when the present pause ends; it is nil while there is none.
	resumed chan struct{}
	// count counts the requests while DropEvery is set.
	count atomic.Int64
}

// Set replaces the fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed != nil && !fault.Paused {
		close(f.resumed)
		f.resumed = nil
	}
	if fault.Paused && f.resumed == nil {
		f.resumed = make(chan struct{})
	}
	f.fault = fault
}

// Get returns the present fault.
func (f *Faults) Get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

func (f *Faults) state() (Fault, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.resumed
}

// Wrap returns a handler that injects the fault in front of next; POST /faults replaces the fault.
func (f *Faults) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", f.serveSet)
	mux.Handle("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(next, w, r) }))
	return mux
}

func (f *Faults) serveSet(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, "send a JSON object such as {\"Refuse\": true}: "+err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
	w.WriteHeader(http.StatusNoContent)
}

func (f *Faults) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	fault, resumed := f.state()
	if resumed != nil {
		select {
		case <-resumed:
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)
	switch {
	case fault.Down:
		panic(http.ErrAbortHandler)
	case fault.Refuse:
		writeRefusal(w)
	case fault.DropEvery > 0 && f.count.Add(1)%int64(fault.DropEvery) == 0:
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

func writeRefusal(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"Detail":"refused by an injected fault","Code":"Unavailable"}`))
}
