package standin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"carawaycross.example/carawaycross/platform/wire"
)

// putStatus replaces the status of an object, at the expected revision if one is given.
func (p *Platform) putStatus(w http.ResponseWriter, r *http.Request) {
	var sent wire.StatusUpdate
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	p.mu.Lock()
	current, exists := p.kinds[kind][name]
	conflict := sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision
	loseResponse := false
	if exists && !conflict {
		current.Status = sent.Status
		p.kinds[kind][name] = current
		current = p.storeLocked(kind, name, current.Spec)
		if loseResponse = p.faults.LoseAnswers > 0; loseResponse {
			p.faults.LoseAnswers--
		}
	}
	p.mu.Unlock()
	switch {
	case !exists:
		http.NotFound(w, r)
	case conflict:
		writeJSON(w, http.StatusConflict, current)
	case loseResponse:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, current)
	}
}

// Status returns the status of an object, or "" if there is none.
func (p *Platform) Status(kind, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.kinds[kind][name].Status)
}
