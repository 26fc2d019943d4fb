// Package door is the HTTP door of an entry VM: searches, bookings and tickets
// for callers, changes and status for operators, health for the balancer.
// Bodies are JSON, or protobuf by content type.
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
	// BadRequest means that a body could not be read.
	BadRequest Kind = "bad-request"
	// TooLarge means that a body is above LargestBody.
	TooLarge Kind = "too-large"
)

// An Error is a request that could not be read.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("door: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// LargestBody is the largest body taken, in bytes.
const LargestBody = 1 << 20

// A Server serves one VM. All fields must be set before the first request.
type Server struct {
	VM      ident.VMID
	Traffic *traffic.Loop
	Board   *view.Publisher
	Gauges  *gauge.Set
	Updater *operator.Updater
	// OnChange takes a configuration that a change through this door made.
	OnChange func(context.Context, config.Configuration)
	Status   func(context.Context) *schema.Status
	Log      zerolog.Logger

	leaving atomic.Bool
}

// Leave stops the door from being ready. Requests are still served.
func (d *Server) Leave() { d.leaving.Store(true) }

// Leaving reports whether the door is about to close.
func (d *Server) Leaving() bool { return d.leaving.Load() }

// Ready reports whether the balancer should send requests here.
func (d *Server) Ready() bool {
	v := d.Board.Current()
	return v != nil && v.Ready && !v.Out && !d.leaving.Load()
}

// CallerHandler returns the handler of the callers' door.
func (d *Server) CallerHandler() http.Handler {
	r := chi.NewRouter()
	d.addCallers(r)
	return r
}

// OperatorHandler returns the handler of the operators' door.
func (d *Server) OperatorHandler() http.Handler {
	r := chi.NewRouter()
	d.addOperators(r)
	return r
}

// CombinedHandler returns the handler of one door for callers and operators.
func (d *Server) CombinedHandler() http.Handler {
	r := chi.NewRouter()
	d.addCallers(r)
	d.addOperators(r)
	return r
}

func (d *Server) addCallers(r chi.Router) {
	r.Post("/v1/search", d.search)
	r.Post("/v1/bookings", d.book)
	r.Post("/v1/tickets", d.ticket)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", d.ready)
}

func (d *Server) addOperators(r chi.Router) {
	r.Get("/v1/configuration", d.configuration)
	r.Post("/v1/changes", d.change)
	r.Get("/status", d.status)
	r.Get("/debug/vars", d.Gauges.ServeHTTP)
}

func (d *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if d.Ready() {
		fmt.Fprintln(w, "ready")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

func (d *Server) search(w http.ResponseWriter, r *http.Request) {
	var m schema.SearchRequest
	if !d.read(w, r, &m) {
		return
	}
	if detail := checkSearch(&m); detail != "" {
		d.refuse(w, r, &node.Refusal{Outcome: booking.NotRun, Reason: badRequest, Detail: detail})
		return
	}
	if answer := d.ask(w, r, codec.Search(&m)); answer != nil {
		d.write(w, r, http.StatusOK, codec.SearchAnswer(d.VM, answer))
	}
}

// ask answers a request, or writes its refusal and returns nil.
func (d *Server) ask(w http.ResponseWriter, r *http.Request, a node.Arrival) *node.Answer {
	answer := d.Traffic.Ask(r.Context(), a)
	if refusal := refusalOf(answer); refusal != nil {
		d.refuse(w, r, refusal)
		return nil
	}
	return answer
}

const badRequest admission.Reason = "bad-request"

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

func refusalOf(answer *node.Answer) *node.Refusal {
	if answer == nil {
		return &node.Refusal{Outcome: booking.MayHaveRun, Reason: "vm-stopped", Detail: "this VM stopped while it ran"}
	}
	return answer.Refusal
}

func (d *Server) book(w http.ResponseWriter, r *http.Request) {
	var m schema.BookingRequest
	if !d.read(w, r, &m) {
		return
	}
	if detail := checkBooking(&m); detail != "" {
		d.refuse(w, r, &node.Refusal{Outcome: booking.NotRun, Reason: badRequest, Detail: detail})
		return
	}
	if answer := d.ask(w, r, codec.Booking(&m)); answer != nil {
		d.write(w, r, http.StatusOK, codec.BookingAnswer(d.VM, answer))
	}
}

func (d *Server) ticket(w http.ResponseWriter, r *http.Request) {
	key, ok := d.Traffic.Issue(r.Context())
	if !ok {
		d.refuse(w, r, &node.Refusal{Outcome: booking.NotRun, Reason: "too-many-keys", Detail: "no ticket can be issued now"})
		return
	}
	d.write(w, r, http.StatusOK, &schema.TicketAnswer{
		RequestKey: string(key), ValidFor: durationpb.New(booking.Retention),
	})
}

// statusOf returns the HTTP status of a refusal: 4xx when the request itself is
// at fault, 503 when it surely did not run, 504 when it may have, 502 when it
// ran and failed.
func statusOf(r *node.Refusal) int {
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

func (d *Server) refuse(w http.ResponseWriter, r *http.Request, refusal *node.Refusal) {
	if refusal.RetryAfter > 0 {
		seconds := int((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	d.Log.Debug().Str("outcome", string(refusal.Outcome)).Str("reason", string(refusal.Reason)).
		Str("detail", refusal.Detail).Msg("request-refused")
	d.write(w, r, statusOf(refusal), codec.Refusal(refusal))
}

func kindOf(err error) (*operator.Error, bool) {
	var e *operator.Error
	ok := errors.As(err, &e)
	return e, ok
}
