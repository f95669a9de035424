package peers

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/charmbracelet/log"
)

// maxBody bounds a message between VMs in bytes.
const maxBody = 8 << 20

// Handler serves the questions of other VMs.
func Handler(local Local, logger *log.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathCopies, answer(logger, local.Copies))
	mux.Handle("POST "+pathRelease, answer(logger, local.Release))
	mux.Handle("POST "+pathOpinion, answer(logger, local.Opinion))
	return mux
}

func answer[Q, A any](logger *log.Logger, handle func(Q) A) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var question Q
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil {
			err = json.Unmarshal(body, &question)
		}
		if err != nil {
			logger.Warn("message of a peer not understood", "path", r.URL.Path, "error", err)
			http.Error(w, "the message is not valid", http.StatusBadRequest)
			return
		}
		text, err := json.Marshal(handle(question))
		if err != nil {
			logger.Error("answer to a peer not encoded", "path", r.URL.Path, "error", err)
			http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(text); err != nil {
			logger.Debug("answer to a peer not delivered", "path", r.URL.Path, "error", err)
		}
	})
}
