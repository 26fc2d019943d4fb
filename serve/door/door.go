// Package door implements the HTTP API of an entry VM: searches, bookings and
// tickets for callers, configuration changes and status for operators, and
// health checks for the load balancer. Bodies are JSON or protobuf, depending on
// the content type.
package door

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/gauge"
	"carawaycross.example/carawaycross/serve/operator"
	"carawaycross.example/carawaycross/serve/traffic"
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// BadRequest means that a body could not be decoded.
	BadRequest Kind = "bad-request"
	// TooLarge means that a body exceeds MaxBodyBytes.
	TooLarge Kind = "too-large"
)

// An Error states why a request body was not accepted.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("door: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MaxBodyBytes is the largest request body that is accepted.
const MaxBodyBytes = 1 << 20

// A Server serves the HTTP API of one VM. All fields must be set before the first
// request.
type Server struct {
	VM      ident.VMID
	Traffic *traffic.Loop
	Views   *view.Publisher
	Gauges  *gauge.Set
	Updater *operator.Updater
	// OnChange is called with the configuration that results from a change accepted
	// by this server.
	OnChange func(context.Context, config.Configuration)
	Status   func(context.Context) *schema.Status
	Log      zerolog.Logger

	leaving atomic.Bool
}

// Leave makes Ready return false. Requests are still served.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Ready reports whether the load balancer should send requests to this VM.
func (s *Server) Ready() bool {
	v := s.Views.Current()
	return v != nil && v.Ready && !v.Out && !s.leaving.Load()
}

// CallerHandler returns the handler for callers and for health checks.
func (s *Server) CallerHandler() http.Handler {
	r := chi.NewRouter()
	s.routeCallers(r)
	return r
}

// OperatorHandler returns the handler for operators.
func (s *Server) OperatorHandler() http.Handler {
	r := chi.NewRouter()
	s.routeOperators(r)
	return r
}

// CombinedHandler returns one handler for callers, health checks and operators.
func (s *Server) CombinedHandler() http.Handler {
	r := chi.NewRouter()
	s.routeCallers(r)
	s.routeOperators(r)
	return r
}

func (s *Server) routeCallers(r chi.Router) {
	r.Post("/v1/search", s.handleSearch)
	r.Post("/v1/bookings", s.handleBooking)
	r.Post("/v1/tickets", s.handleTicket)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", s.handleReady)
}

func (s *Server) routeOperators(r chi.Router) {
	r.Get("/v1/configuration", s.handleConfiguration)
	r.Post("/v1/changes", s.handleChange)
	r.Get("/status", s.handleStatus)
	r.Get("/debug/vars", s.Gauges.ServeHTTP)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		fmt.Fprintln(w, "ready")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	var m schema.SearchRequest
	if !s.read(w, r, &m) {
		return
	}
	if detail := checkSearch(&m); detail != "" {
		s.refuse(w, r, &node.Refusal{Outcome: booking.NotRun, Reason: badRequest, Detail: detail})
		return
	}
	if answer := s.answerOrRefuse(w, r, codec.Search(&m)); answer != nil {
		s.write(w, r, http.StatusOK, codec.SearchAnswer(s.VM, answer))
	}
}

// answerOrRefuse returns the answer to a request. If the request is refused, it
// writes the refusal and returns nil.
func (s *Server) answerOrRefuse(w http.ResponseWriter, r *http.Request, a node.Arrival) *node.Answer {
	answer := s.Traffic.Ask(r.Context(), a)
	if refusal := refusalOf(answer); refusal != nil {
		s.refuse(w, r, refusal)
		return nil
	}
	return answer
}

// badRequest is the reason for refusing a request that is malformed or has an
// invalid field.
const badRequest admission.Reason = "bad-request"

// checkSearch returns a description of the first invalid field, or "" without one.
func checkSearch(m *schema.SearchRequest) string {
	switch {
	case m.Service == "":
		return "service: found none, a service's name is needed"
	case m.Deadline != nil && m.Deadline.AsDuration() <= 0:
		return fmt.Sprintf("deadline: found %v, allowed: above 0", m.Deadline.AsDuration())
	case m.WantedCoverage < 0 || m.WantedCoverage > 1:
		return fmt.Sprintf("wanted-coverage: found %v, allowed 0 to 1", m.WantedCoverage)
	}
	return ""
}

// checkBooking returns a description of the first invalid field, or "" without one.
func checkBooking(m *schema.BookingRequest) string {
	switch {
	case m.Service == "":
		return "service: found none, a service's name is needed"
	case m.RequestKey == "":
		return "request-key: found none, a request that may run at most once needs one"
	case m.Deadline != nil && m.Deadline.AsDuration() <= 0:
		return fmt.Sprintf("deadline: found %v, allowed: above 0", m.Deadline.AsDuration())
	}
	return ""
}

// refusalOf returns the refusal in an answer, or nil if the answer carries results.
// It returns a refusal for a nil answer, which means that the VM stopped.
func refusalOf(answer *node.Answer) *node.Refusal {
	if answer == nil {
		return &node.Refusal{Outcome: booking.MayHaveRun, Reason: "vm-stopped", Detail: "this VM stopped while it ran"}
	}
	return answer.Refusal
}

func (s *Server) handleBooking(w http.ResponseWriter, r *http.Request) {
	var m schema.BookingRequest
	if !s.read(w, r, &m) {
		return
	}
	if detail := checkBooking(&m); detail != "" {
		s.refuse(w, r, &node.Refusal{Outcome: booking.NotRun, Reason: badRequest, Detail: detail})
		return
	}
	if answer := s.answerOrRefuse(w, r, codec.Booking(&m)); answer != nil {
		s.write(w, r, http.StatusOK, codec.BookingAnswer(s.VM, answer))
	}
}

func (s *Server) handleTicket(w http.ResponseWriter, r *http.Request) {
	key, ok := s.Traffic.Issue(r.Context())
	if !ok {
		s.refuse(w, r, &node.Refusal{Outcome: booking.NotRun, Reason: "too-many-keys", Detail: "no ticket can be issued now"})
		return
	}
	s.write(w, r, http.StatusOK, &schema.TicketAnswer{
		RequestKey: string(key), ValidFor: durationpb.New(booking.Retention),
	})
}

// httpStatus returns the HTTP status of a refusal: 4xx if the request itself is the
// cause, 503 if the request did not run, 504 if it may have run, 502 if it ran and
// failed.
func httpStatus(r *node.Refusal) int {
	switch r.Reason {
	case badRequest, admission.BadDeadline, "bad-request-key":
		return http.StatusBadRequest
	case admission.UnknownService:
		return http.StatusNotFound
	case admission.Poison:
		return http.StatusUnprocessableEntity
	}
	switch r.Outcome {
	case booking.NotRun:
		return http.StatusServiceUnavailable
	case booking.Ran:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}

// refuse writes the refusal of a search, a booking or a ticket.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, refusal *node.Refusal) {
	if refusal.RetryAfter > 0 {
		seconds := int((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	s.Log.Debug().Str("outcome", string(refusal.Outcome)).Str("reason", string(refusal.Reason)).
		Str("detail", refusal.Detail).Msg("request-refused")
	s.write(w, r, httpStatus(refusal), codec.Refusal(refusal))
}

func asOperatorError(err error) (*operator.Error, bool) {
	var e *operator.Error
	ok := errors.As(err, &e)
	return e, ok
}
