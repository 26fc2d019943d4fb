package gate_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
	"carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/gate"
)

const (
	memory    = 64 << 10
	bodyBytes = 16 << 10
	// unreadBytes exceeds what the sockets take of an answer that nobody reads.
	unreadBytes = 16 << 20
	// shortTime is the time for bodies at /slow, hurriedTime that at /hurried.
	shortTime   = 300 * time.Millisecond
	hurriedTime = time.Second
)

// startServer serves on loopback through a gate. Its handler reads bodies as the product's
// do, and answers /held only after release is closed.
func startServer(t *testing.T, times gate.Times, release chan struct{}) (g *gate.Gate, address string) {
	t.Helper()
	return startLogged(t, times, release, zerolog.Nop())
}

func startLogged(t *testing.T, times gate.Times, release chan struct{}, log zerolog.Logger) (g *gate.Gate, address string) {
	t.Helper()
	g = gate.New(gate.Config{
		Name: "test", Limits: intake.Limits{Connections: 8, Memory: memory}, Clock: clock.New(), Log: log,
		Times: func() gate.Times { return times },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := gate.RequestOf(r.Context())
		switch r.URL.Path {
		case "/slow":
			request.ArriveWithin(shortTime)
		case "/hurried":
			request.ArriveWithin(hurriedTime)
		case "/early":
			_, _ = io.WriteString(w, strings.Repeat("y", unreadBytes))
			return
		case "*":
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.URL.Path == "/held-early" {
			// It goes on using its memory after a refusal.
			_ = request.Reserve(bodyBytes, bodyBytes)
			<-release
			return
		}
		limit := ident.Bytes(bodyBytes)
		if r.URL.Path == "/limited" {
			limit = request.BodyLimit(2 * memory)
		}
		_, _, err := body.ReadWithin(r.Body, limit, request)
		var turnedAway *gate.Error
		var tooLong *body.Error
		switch {
		case errors.As(err, &tooLong):
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		case errors.As(err, &turnedAway):
			w.Header().Set("Connection", "close")
			http.Error(w, string(turnedAway.Kind), map[gate.Reason]int{gate.Memory: 503, gate.SlowBody: 408}[turnedAway.Kind])
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/retained" {
			<-release
			request.Retain()
			release <- struct{}{}
			request.Done()
		}
		if r.URL.Path == "/held" {
			// An attempt outlives the answer.
			request.Retain()
			go func() { <-release; request.Done() }()
		}
		if r.URL.Path == "/large" {
			_, _ = io.WriteString(w, strings.Repeat("y", unreadBytes))
		}
	}))
	done := make(chan error, 1)
	go func() { done <- server.Serve(g.Listener(l)) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return g, l.Addr().String()
}

// send writes the start of a request and returns the connection.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// status returns the status of the response on a connection, 0 if it was closed without
// one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

func post(path string, announced, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, announced, strings.Repeat("x", sent))
}

// TestOptionsOfTheServerReachTheHandler guards against requests that the HTTP library answers
// itself with 200, although no route allows them.
func TestOptionsOfTheServerReachTheHandler(t *testing.T) {
	_, address := startServer(t, gate.Times{}, nil)
	if got := status(send(t, address, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")); got != http.StatusNotFound {
		t.Errorf("status %d, expected that of the handler, %d", got, http.StatusNotFound)
	}
}

// TestRequestsThatDoNotArrive checks what callers get whose requests exceed a limit or
// come too slowly.
func TestRequestsThatDoNotArrive(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"sound":         {post("/", bodyBytes, bodyBytes), 200},
		"long head":     {"GET / HTTP/1.1\r\nLong: " + strings.Repeat("x", 12<<10), 431},
		"many fields":   {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 1000), 503},
		"slow head":     {"GET / HTTP/1.1\r\nHost", 408},
		"slow body":     {post("/slow", bodyBytes, bodyBytes-1), 408},
		"slow chunks":   {"POST /slow HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", 408},
		"asks nothing":  {"", 0},
		"empty lines":   {"\r\n\r\n", 400},
		"two at a time": {strings.Repeat(post("/", 10, 10), 2), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := startServer(t, gate.Times{HeadBytes: 1 << 10, HeadTime: time.Second}, nil)
			if got := status(send(t, address, c.text)); got != c.want {
				t.Errorf("status %d, expected %d", got, c.want)
			}
		})
	}
}

// TestMemoryIsHeldUntilTheLastAttemptEnds checks that the memory of a request is reserved
// while an attempt refers to it, and that others are refused for it meanwhile.
func TestMemoryIsHeldUntilTheLastAttemptEnds(t *testing.T) {
	release := make(chan struct{})
	g, address := startServer(t, gate.Times{}, release)
	held := ident.Bytes(0)
	for held+bodyBytes <= memory {
		if got := status(send(t, address, post("/held", bodyBytes, bodyBytes))); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		held = g.Stats().HeldBytes
	}
	if got := status(send(t, address, post("/", bodyBytes, bodyBytes))); got != http.StatusServiceUnavailable {
		t.Errorf("status %d while all memory is in use", got)
	}
	close(release)
	for end := time.Now().Add(10 * time.Second); g.Stats().HeldBytes > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held", g.Stats().HeldBytes)
		}
	}
	if got := status(send(t, address, post("/", bodyBytes, bodyBytes))); got != http.StatusOK {
		t.Errorf("status %d after the memory was returned", got)
	}
	if n := g.Stats().TurnedAway[gate.Memory]; n != 1 {
		t.Errorf("%d callers turned away, expected 1", n)
	}
}

// fill sends requests one after another until their memory leaves no room for a body.
func fill(t *testing.T, g *gate.Gate, address, text string) {
	t.Helper()
	for held := ident.Bytes(0); held <= memory-bodyBytes; {
		send(t, address, text)
		before := held
		for end := time.Now().Add(10 * time.Second); held < before+bodyBytes; time.Sleep(time.Millisecond) {
			if held = g.Stats().HeldBytes; time.Now().After(end) {
				t.Fatalf("%d bytes are held", held)
			}
		}
	}
}

// TestUnreadAnswersGiveTheirMemoryUp has callers that read nothing of their answers, to
// whole requests and to requests that were answered before their bodies had arrived. An
// ordinary body is served beside them, soon.
func TestUnreadAnswersGiveTheirMemoryUp(t *testing.T) {
	fields := strings.Repeat("a:\r\n", 66)
	early := "POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n" + fields + "\r\n"
	for name, text := range map[string]string{
		"whole": post("/large", bodyBytes, bodyBytes), "early": early + "0123456789", "early without body": early,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, address := startServer(t, gate.Times{}, nil)
			fill(t, g, address, text)
			time.Sleep(1200 * time.Millisecond)
			begin := time.Now()
			if got := status(send(t, address, post("/", bodyBytes, bodyBytes))); got != http.StatusOK || time.Since(begin) > 3*time.Second {
				t.Errorf("status %d after %v", got, time.Since(begin))
			}
			if n := g.Stats().TurnedAway; len(n) == 0 {
				t.Error("nobody was turned away")
			}
		})
	}
}

// TestAnswersAreGivenUpForReplies has a caller that reads nothing of its answer, and one
// that waits for its own, while the memory for replies is short.
func TestAnswersAreGivenUpForReplies(t *testing.T) {
	g, address := startServer(t, gate.Times{}, nil)
	unread, idle := send(t, address, post("/large", 1, 1)), send(t, address, post("/", 1, 1))
	if got := status(idle); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	time.Sleep(1200 * time.Millisecond)
	g.GiveUpAnswers()
	_ = unread.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := io.Copy(io.Discard, unread); n >= unreadBytes || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if _, err := io.WriteString(idle, post("/", 1, 1)); err != nil || status(idle) != http.StatusOK {
		t.Errorf("an idle connection was closed: %v", err)
	}
}

// TestWaitForMemoryEndsBeforeTheDeadline has refused requests whose memory is not released,
// since an attempt still refers to it.
func TestWaitForMemoryEndsBeforeTheDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	g, address := startServer(t, gate.Times{}, release)
	fill(t, g, address, post("/held-early", bodyBytes, bodyBytes-1))
	begin := time.Now()
	got := status(send(t, address, post("/hurried", bodyBytes, bodyBytes)))
	if took := time.Since(begin); got != http.StatusServiceUnavailable || took > hurriedTime {
		t.Errorf("status %d after %v", got, took)
	}
}

// TestLinesAreCountedInHeadsOnly has bodies of empty lines, which take no more than their
// bytes, and heads of many fields that arrive behind another request.
func TestLinesAreCountedInHeadsOnly(t *testing.T) {
	const lines = 1000
	fields := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 900) + "\r\n"
	body := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", lines, strings.Repeat("\n", lines))
	for name, c := range map[string]struct {
		parts []string
		want  []int
	}{
		"body":                     {[]string{body + "GET / HTTP/1.1\r\nHost: x\r\n\r\n"}, []int{200, 200}},
		"body in parts":            {[]string{body[:lines], body[lines:], body}, []int{200, 200}},
		"head behind a head":       {[]string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n" + fields}, []int{200, 503}},
		"head behind a body":       {[]string{post("/", 1, 1) + fields}, []int{200, 503}},
		"head behind a later body": {[]string{post("/", 1, 0), "x" + fields}, []int{200, 503}},
		"half a head":              {[]string{post("/", 1, 1) + fields[:2000], fields[2000:]}, []int{200, 503}},
		"empty lines and a head":   {[]string{post("/", 1, 1), "\r\n" + fields}, []int{200, 503}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := startServer(t, gate.Times{}, nil)
			client := send(t, address, "")
			for _, part := range c.parts {
				_, _ = io.WriteString(client, part)
				time.Sleep(50 * time.Millisecond)
			}
			answers := bufio.NewReader(client)
			_ = client.SetReadDeadline(time.Now().Add(10 * time.Second))
			for i, want := range c.want {
				r, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", i, err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if _ = r.Body.Close(); r.StatusCode != want {
					t.Errorf("answer %d: status %d, expected %d", i, r.StatusCode, want)
				}
			}
		})
	}
}

// A heldLog blocks the gate that writes to it, until it is released.
type heldLog struct{ writing, release chan struct{} }

func (l heldLog) Write(p []byte) (int, error) {
	l.writing <- struct{}{}
	<-l.release
	return len(p), nil
}

// TestAttemptsBeginWhileTheGateIsBusy checks that the loop that sends attempts does not wait
// for a gate.
func TestAttemptsBeginWhileTheGateIsBusy(t *testing.T) {
	log, retained := heldLog{make(chan struct{}), make(chan struct{})}, make(chan struct{})
	_, address := startLogged(t, gate.Times{}, retained, zerolog.New(log))
	client := send(t, address, post("/retained", 1, 1))
	retained <- struct{}{}
	<-retained
	if got := status(client); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	client = send(t, address, post("/retained", 1, 1))
	time.Sleep(100 * time.Millisecond)
	send(t, address, "GET / HTTP/1.1\r\nLong: "+strings.Repeat("x", 80<<10))
	<-log.writing
	retained <- struct{}{}
	select {
	case <-retained:
	case <-time.After(5 * time.Second):
		t.Error("an attempt waits for the gate")
		defer func() { <-retained }()
	}
	close(log.release)
	if got := status(client); !t.Failed() && got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// TestOnlyMemoryBoundsTheConfiguration checks that a head is served that the configuration
// allows, and that what never fits into the memory is not refused as if it might later.
func TestOnlyMemoryBoundsTheConfiguration(t *testing.T) {
	const limit = 300 << 10
	var log bytes.Buffer
	g, address := startLogged(t, gate.Times{HeadBytes: limit}, nil, zerolog.New(zerolog.SyncWriter(&log)))
	long := "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", limit-1<<10) + "\r\n\r\n"
	if got := status(send(t, address, long)); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d of a head above the memory", got)
	}
	large := post("/limited", 2*memory, 2*memory)
	for range 2 {
		if got := status(send(t, address, large)); got != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d of a body above the memory", got)
		}
	}
	if n := strings.Count(log.String(), "body-limit-exceeds-memory"); n != 1 {
		t.Errorf("a limit above the memory was logged %d times", n)
	}
	g.SetLimits(intake.Limits{Connections: 8, Memory: 1 << 20})
	if got := status(send(t, address, long)); got != http.StatusOK {
		t.Errorf("status %d of a head that the configuration allows", got)
	}
}

// TestRequestWithoutGate checks that a handler runs without a gate.
func TestRequestWithoutGate(t *testing.T) {
	request := gate.RequestOf(context.Background())
	request.ArriveWithin(time.Second)
	if got := request.BodyLimit(bodyBytes); got != bodyBytes {
		t.Errorf("a limit of %d bytes", got)
	}
	if _, n, err := body.ReadWithin(strings.NewReader("abc"), bodyBytes, request); err != nil || n == 0 {
		t.Fatalf("%d bytes, %v", n, err)
	}
	request.Retain()
	request.Release(1)
	request.Done()
}
