// Package client is a client of the HTTP API of an entry VM.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/booking"
	bodies "carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/door"
)

// maxAnswerBytes limits the body of a response. A longer one is an error.
const maxAnswerBytes = 64 << 20

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// Refused means that the VM refused the request; Refusal or Change holds the reason.
	Refused Kind = "refused"
	// Unreachable means that the request was not sent; it did not run.
	Unreachable Kind = "unreachable"
	// Interrupted means that the connection failed before the answer was complete; the
	// request may have run.
	Interrupted Kind = "interrupted"
	// BadAnswer means that the answer could not be decoded.
	BadAnswer Kind = "bad-answer"
)

// An Error states why a call returned no result.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Refusal is set when a search, booking or ticket was refused.
	Refusal *schema.Refusal
	// Change is set when a change was refused.
	Change *schema.ChangeRefusal
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Outcome reports whether the request ran, as far as the error shows it.
func (e *Error) Outcome() booking.Outcome {
	switch {
	case e.Refusal != nil:
		return booking.Outcome(e.Refusal.Outcome)
	case e.Change != nil:
		return booking.Outcome(e.Change.Outcome)
	case e.Kind == Unreachable:
		return booking.NotRun
	default:
		return booking.MayHaveRun
	}
}

// A Client calls one entry VM. Address must be set.
type Client struct {
	// Address is the IP:port of the VM's HTTP API.
	Address string
	// HTTP sends the requests; nil selects http.DefaultClient.
	HTTP *http.Client
}

// Search sends a search, which queries every shard of a service.
func (c *Client) Search(ctx context.Context, m *schema.SearchRequest) (*schema.SearchAnswer, error) {
	answer := &schema.SearchAnswer{}
	return answer, c.call(ctx, "search", http.MethodPost, "/v1/search", m, answer)
}

// Book sends a request that runs at most once.
func (c *Client) Book(ctx context.Context, m *schema.BookingRequest) (*schema.BookingAnswer, error) {
	answer := &schema.BookingAnswer{}
	return answer, c.call(ctx, "book", http.MethodPost, "/v1/bookings", m, answer)
}

// Ticket returns a new request key.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	answer := &schema.TicketAnswer{}
	err := c.call(ctx, "ticket", http.MethodPost, "/v1/tickets", nil, answer)
	return answer.RequestKey, err
}

// Configuration returns the configuration in force on the VM.
func (c *Client) Configuration(ctx context.Context) (*schema.Configuration, error) {
	answer := &schema.Configuration{}
	return answer, c.call(ctx, "configuration", http.MethodGet, "/v1/configuration", nil, answer)
}

// Change requests a change of the configuration.
func (c *Client) Change(ctx context.Context, m *schema.ChangeRequest) (*schema.ChangeAnswer, error) {
	answer := &schema.ChangeAnswer{}
	return answer, c.call(ctx, "change", http.MethodPost, "/v1/changes", m, answer)
}

// Status returns the status of the VM and its view of the deployment.
func (c *Client) Status(ctx context.Context) (*schema.Status, error) {
	answer := &schema.Status{}
	return answer, c.call(ctx, "status", http.MethodGet, "/status", nil, answer)
}

// call sends a request and decodes its response into answer.
func (c *Client) call(ctx context.Context, op, method, path string, m, answer proto.Message) error {
	var body []byte
	var err error
	if m != nil {
		if body, err = proto.Marshal(m); err != nil {
			return &Error{Op: op, Kind: Unreachable, Err: err}
		}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: Unreachable, Err: err}
	}
	request.Header.Set("Content-Type", door.Protobuf)
	request.Header.Set("Accept", door.Protobuf)
	response, err := c.httpClient().Do(request)
	if err == nil {
		defer response.Body.Close()
		body, err = bodies.Read(response.Body, maxAnswerBytes)
	}
	if err != nil {
		if connected.Load() {
			return &Error{Op: op, Kind: Interrupted, Err: err}
		}
		return &Error{Op: op, Kind: Unreachable, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return refusalError(op, response, body)
	}
	if err := proto.Unmarshal(body, answer); err != nil {
		return &Error{Op: op, Kind: BadAnswer, Err: err}
	}
	return nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// refusalError returns the Error for a response with a status other than 200.
func refusalError(op string, response *http.Response, body []byte) error {
	if response.Header.Get("Content-Type") != door.Protobuf {
		return &Error{Op: op, Kind: BadAnswer, Err: errors.New(response.Status)}
	}
	if op == "change" {
		// The server refuses a request body that it cannot decode with a schema.Refusal,
		// whose fields outcome, reason and detail have the same numbers as here.
		m := &schema.ChangeRefusal{}
		if err := proto.Unmarshal(body, m); err != nil {
			return &Error{Op: op, Kind: BadAnswer, Err: err}
		}
		return &Error{Op: op, Kind: Refused, Change: m, Err: fmt.Errorf("%s: %s: %s", m.Outcome, m.Reason, m.Detail)}
	}
	m := &schema.Refusal{}
	if err := proto.Unmarshal(body, m); err != nil {
		return &Error{Op: op, Kind: BadAnswer, Err: err}
	}
	return &Error{Op: op, Kind: Refused, Refusal: m, Err: fmt.Errorf("%s: %s: %s", m.Outcome, m.Reason, m.Detail)}
}
