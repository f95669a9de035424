package load

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Experiment is the record of a run, which `load --record` writes as JSON. Rate is in requests per second.
type Experiment struct {
	Started    time.Time
	Rate       float64
	WriteShare float64
	Seed       uint64
	Requests   []Recorded
	Violations []string

	mu sync.Mutex
}

// Recorded is one request of an Experiment. At is the time at which it was sent, counted from the start of the run.
type Recorded struct {
	At       time.Duration
	Latency  time.Duration
	Team     model.TeamName
	Write    bool
	Outcome  model.Outcome
	Reason   model.Reason `json:",omitempty"`
	Replica  bool         `json:",omitempty"`
	ServedBy string       `json:",omitempty"`
}

// Observe appends a sample; it is safe for concurrent use.
func (e *Experiment) Observe(sample Sample) {
	recorded := Recorded{
		At:       sample.SentAt.Sub(e.Started),
		Latency:  sample.Latency,
		Team:     sample.Team,
		Write:    sample.Write,
		Outcome:  model.Done,
		Replica:  sample.Answer.Replica,
		ServedBy: sample.Answer.ServedBy,
	}
	if refusal := sample.Answer.Refusal; refusal != nil {
		recorded.Outcome, recorded.Reason = refusal.Outcome, refusal.Reason
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Requests = append(e.Requests, recorded)
}
