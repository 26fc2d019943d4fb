package door

import (
	"errors"
	"fmt"
	"mime"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/node"
	bodies "carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/serve/gate"
)

// The content types of request and response bodies.
const (
	JSON     = "application/json"
	Protobuf = "application/x-protobuf"
)

// Read decodes a body according to its content type; without one it assumes JSON.
func Read(contentType string, body []byte, m proto.Message) error {
	kind, _, err := mime.ParseMediaType(contentType)
	if contentType != "" && err != nil {
		return &Error{"read", BadRequest, err}
	}
	switch kind {
	case Protobuf:
		err = proto.Unmarshal(body, m)
	case JSON, "":
		err = protojson.Unmarshal(body, m)
	default:
		err = fmt.Errorf("content-type: found %q, allowed %s or %s", kind, JSON, Protobuf)
	}
	if err != nil {
		return &Error{"read", BadRequest, err}
	}
	return nil
}

// read decodes the request body into m. If that fails, it writes a refusal and
// returns false.
func (s *Server) read(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	body, _, err := bodies.ReadWithin(http.MaxBytesReader(w, r.Body, MaxBodyBytes), MaxBodyBytes, gate.RequestOf(r.Context()))
	if err == nil {
		err = Read(r.Header.Get("Content-Type"), body, m)
	}
	if err == nil {
		return true
	}
	refusal := &node.Refusal{Outcome: booking.NotRun, Reason: badRequest, Detail: err.Error()}
	var tooLargeErr *http.MaxBytesError
	var turnedAway *gate.Error
	if errors.As(err, &turnedAway) {
		w.Header().Set("Connection", "close")
		refusal.Reason, refusal.RetryAfter = admission.NoMemory, gate.RetryAfter
	}
	if errors.As(err, &tooLargeErr) {
		e := &Error{"read", TooLarge, fmt.Errorf("allowed: %d bytes", MaxBodyBytes)}
		refusal.Detail = e.Error()
	}
	s.refuse(w, r, refusal)
	return false
}

// write sends m as the response body. The Accept header selects the content type
// if it consists of a single supported one; otherwise the response has the content
// type of the request, or JSON if that is not Protobuf.
func (s *Server) write(w http.ResponseWriter, r *http.Request, status int, m proto.Message) {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Accept"))
	if kind != Protobuf && kind != JSON {
		kind, _, _ = mime.ParseMediaType(r.Header.Get("Content-Type"))
	}
	var body []byte
	var err error
	if kind == Protobuf {
		body, err = proto.Marshal(m)
	} else {
		kind = JSON
		body, err = protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	// Write fails only if the connection to the caller is lost, which the caller detects itself.
	_, _ = w.Write(body)
}
