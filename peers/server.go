package peers

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// maxMessageBytes bounds the body of an answer between VMs.
	maxMessageBytes = 8 << 20
	// maxRequestBytes bounds the body of a request between VMs, whose largest part are the addresses of all VMs.
	maxRequestBytes = 1 << 20
)

// Handler returns a handler for the requests of other VMs. It forwards a request to the further VMs that the request names.
func Handler(local Responder, logger *log.Logger) http.Handler {
	return LimitedHandler(local, logger, nil)
}

// LimitedHandler is Handler with a limit on the memory for requests; nil has no limit.
func LimitedHandler(local Responder, logger *log.Logger, budget *memory.Budget) http.Handler {
	client := NewClient()
	mux := http.NewServeMux()
	mux.Handle("POST "+pathCopies, answer(logger, budget, local.Tables))
	mux.Handle("POST "+pathRow, answerRow(logger, budget, local.Row))
	mux.Handle("POST "+pathRelease, answer(logger, budget, func(r ReleaseRequest) []elect.Release {
		own := func() elect.Release { return local.Release(r) }
		return answerAndForward(r.Spread, own, func(ctx context.Context, vms []state.VM) []elect.Release { return client.RequestReleases(ctx, vms, r) })
	}))
	mux.Handle("POST "+pathOpinion, answer(logger, budget, func(r OpinionRequest) []elect.Opinion {
		own := func() elect.Opinion { return local.Opinion(r) }
		return answerAndForward(r.Spread, own, func(ctx context.Context, vms []state.VM) []elect.Opinion {
			return client.RequestOpinions(ctx, vms, r.Group)
		})
	}))
	return mux
}

// answer returns a handler that decodes a request from JSON and encodes the result of handle as JSON.
func answer[Q, A any](logger *log.Logger, budget *memory.Budget, handle func(Q) A) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, ok := readRequest[Q](logger, budget, w, r)
		if !ok {
			return
		}
		text, err := json.Marshal(handle(request))
		if err != nil {
			logger.Error("cannot encode answer to a peer", "path", r.URL.Path, "error", err)
			http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
			return
		}
		send(logger, w, r, "application/json", text)
	})
}

// answerRow returns a handler that sends an encoding of a row as it is.
func answerRow(logger *log.Logger, budget *memory.Budget, row func(watch.RowReference) ([]byte, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reference, ok := readRequest[watch.RowReference](logger, budget, w, r)
		if !ok {
			return
		}
		data, ok := row(reference)
		if !ok {
			http.Error(w, "this version of the row is no longer there", http.StatusGone)
			return
		}
		send(logger, w, r, "application/octet-stream", data)
	})
}

// send writes the body of an answer with status 200.
func send(logger *log.Logger, w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	if _, err := w.Write(body); err != nil {
		logger.Debug("cannot send answer to a peer", "path", r.URL.Path, "error", err)
	}
}
