package peers

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/memory"
)

// readRequest decodes a request from JSON, and answers one that is not valid or for which there is no memory.
func readRequest[Q any](logger *log.Logger, budget *memory.Budget, w http.ResponseWriter, r *http.Request) (request Q, ok bool) {
	w.Header().Set(headerCall, r.Header.Get(headerCall))
	switch err := decodeRequest(w, r, budget, &request); {
	case errors.Is(err, memory.ErrNoRoom):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		logger.Debug("cannot decode request of a peer", "path", r.URL.Path, "error", err)
		http.Error(w, "the message is not valid", http.StatusBadRequest)
	default:
		return request, true
	}
	return request, false
}

// decodeRequest reads the body of a request and decodes it from JSON.
func decodeRequest(w http.ResponseWriter, r *http.Request, budget *memory.Budget, request any) error {
	size := int64(maxRequestBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	room := budget.OpenPeer()
	defer room.Close()
	now := time.Now()
	if err := room.Grow(now, now.Add(memory.PeerRoomTimeout), int(size)); err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, request)
}
