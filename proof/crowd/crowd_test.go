package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/fleet"
)

const (
	// crowdSize is the number of connections that are opened at once. It exceeds the
	// sockets that the machine has.
	crowdSize = 600
	// Each finisherEvery-th caller sends its request to the end.
	finisherEvery = 10
	// The limits of the configuration of fleet.StartSite.
	headerBytes = 16 << 10
	bodyBytes   = 256 << 10
	// operatorBodyBytes is the largest body that the operators' door reads.
	operatorBodyBytes = 1 << 20
	writeTimeout      = 10 * time.Second
	pieceBytes        = 8 << 10
	// largestTime bounds the time of a request of the largest size in calm.
	largestTime = 5 * time.Second
	// stay is how long the crowd stays after it has sent everything.
	stay = time.Second
)

// A caller sends the bytes of one connection; finishes is true if it sends its request to
// the end. The connection stays open when it returns.
type caller func(c net.Conn, finishes bool)

// crowd opens the connections, waits until each caller has sent its bytes or was cut
// off, and keeps the connections open for a while. The function returned closes them.
func crowd(t *testing.T, p *target, address string, send caller) (leave func()) {
	t.Helper()
	connections := make([]net.Conn, crowdSize)
	var senders sync.WaitGroup
	for i := range connections {
		senders.Go(func() {
			c, err := net.DialTimeout("tcp", address, writeTimeout)
			if err != nil {
				return
			}
			connections[i] = c
			// A caller that is cut off has done its part.
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			send(c, i%finisherEvery == 0)
		})
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		senders.Wait()
	}()
	for sending := true; sending; time.Sleep(pollInterval) {
		select {
		case <-sent:
			sending = false
		default:
			sending = !t.Failed()
		}
		p.expectWithinBounds()
	}
	<-sent
	for end := time.Now().Add(stay); time.Now().Before(end) && !t.Failed(); time.Sleep(pollInterval) {
		p.expectWithinBounds()
	}
	return func() {
		for _, c := range connections {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// play runs a crowd against a VM and checks the VM while the crowd stays and after it
// has left.
func play(t *testing.T, address func(*target) string, send caller) {
	t.Helper()
	p := startTarget(t)
	leave := crowd(t, p, address(p), send)
	p.expectSound()
	leave()
	p.expectSound()
	sockets, all := p.descriptors()
	t.Logf("peak memory %d MB, %d sockets of %d descriptors open at the end", p.peakMemory(), sockets, all)
}

func orderHead(field string) string {
	return "POST /order/x HTTP/1.1\r\nHost: " + fleet.DeskHost + "\r\nCarawaycross-Request-Id: 00000000000000ff\r\n" +
		"Carawaycross-Deadline-Ms: 10000\r\n" + field + "\r\n"
}

var (
	filler   = bytes.Repeat([]byte("x"), operatorBodyBytes)
	lookHead = "GET /look/x HTTP/1.1\r\nHost: " + fleet.DeskHost + "\r\nCarawaycross-Request-Id: 00000000000000fe\r\n" +
		"Carawaycross-Deadline-Ms: 10000\r\n"
)

// write reports whether all bytes were sent.
func write[T string | []byte](c net.Conn, text T) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// wholeBody sends a body with its length; without the last byte unless it finishes.
func wholeBody(head string, size, piece int) caller {
	return func(c net.Conn, finishes bool) {
		rest := size
		if !finishes {
			rest--
		}
		if !write(c, head) {
			return
		}
		for left := rest; left > 0; left -= piece {
			if !write(c, filler[:min(left, piece)]) {
				return
			}
		}
	}
}

// chunkedBody sends a body in chunks of the size; without the last chunk unless it
// finishes.
func chunkedBody(size, chunk int) caller {
	var text bytes.Buffer
	text.WriteString(orderHead("Transfer-Encoding: chunked\r\n"))
	for left := size; left > 0; left -= chunk {
		n := min(left, chunk)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, filler[:n])
	}
	return func(c net.Conn, finishes bool) {
		if write(c, text.Bytes()) && finishes {
			write(c, "0\r\n\r\n")
		}
	}
}

// TestSingleRequestsInsideTheLimits checks that a request of the largest size is served in
// calm, however it is sent.
func TestSingleRequestsInsideTheLimits(t *testing.T) {
	p := startTarget(t)
	length := fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	var fields bytes.Buffer
	for i := 0; fields.Len() < headerBytes-512; i++ {
		fmt.Fprintf(&fields, "a%x:\r\n", i)
	}
	for name, send := range map[string]caller{
		"body":                       wholeBody(orderHead(length), bodyBytes, bodyBytes),
		"body in pieces":             wholeBody(orderHead(length), bodyBytes, pieceBytes),
		"body in large chunks":       chunkedBody(bodyBytes, 32<<10),
		"body in chunks of one byte": chunkedBody(bodyBytes, 1),
		"head of one field":          func(c net.Conn, _ bool) { write(c, lookHead+"Long: "+string(filler[:headerBytes-512])+"\r\n\r\n") },
		"head of many fields":        func(c net.Conn, _ bool) { write(c, lookHead+fields.String()+"\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", p.front())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(patience))
			begin := time.Now()
			send(c, true)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _ = r.Body.Close(); r.StatusCode != http.StatusOK {
				t.Errorf("status %d", r.StatusCode)
			}
			if took := time.Since(begin); took > largestTime {
				t.Errorf("served after %v, allowed: %v", took, largestTime)
			}
		})
	}
	p.expectSound()
}

func TestHeadsOverTheLimit(t *testing.T) {
	// The rest of the head never comes, or makes a whole head that is too long.
	head := lookHead + "Long: " + string(filler[:3*headerBytes]) + "\r\n"
	play(t, (*target).front, func(c net.Conn, finishes bool) {
		if write(c, head) && finishes {
			write(c, "\r\n")
		}
	})
}

func TestHeadsWithoutEnd(t *testing.T) {
	play(t, (*target).front, func(c net.Conn, _ bool) {
		for sent := write(c, lookHead+"Long: "); sent; sent = write(c, filler[:pieceBytes]) {
		}
	})
}

// TestHeadsWithoutEndThatStop has heads that stop short of the megabyte that net/http
// reads by default.
func TestHeadsWithoutEndThatStop(t *testing.T) {
	play(t, (*target).front, func(c net.Conn, _ bool) {
		if write(c, lookHead+"Long: ") {
			write(c, filler[:1000<<10])
		}
	})
}

func TestHeadsOfManyFields(t *testing.T) {
	var head bytes.Buffer
	head.WriteString(lookHead)
	for i := 0; head.Len() < headerBytes-64; i++ {
		fmt.Fprintf(&head, "a%x:\r\n", i)
	}
	play(t, (*target).front, func(c net.Conn, finishes bool) {
		if write(c, head.Bytes()) && finishes {
			write(c, "\r\n")
		}
	})
}

func TestEmptyLinesWithoutEnd(t *testing.T) {
	lines := bytes.Repeat([]byte("\r\n"), pieceBytes/2)
	play(t, (*target).front, func(c net.Conn, _ bool) {
		for write(c, lines) {
		}
	})
}

// TestEmptyLinesOneByOne stays below the size of a buffer, a line at a time.
func TestEmptyLinesOneByOne(t *testing.T) {
	play(t, (*target).front, func(c net.Conn, _ bool) {
		for range 100 {
			if !write(c, "\r\n") {
				return
			}
			time.Sleep(pollInterval)
		}
	})
}

func TestHeadsOneByteAtATime(t *testing.T) {
	play(t, (*target).front, func(c net.Conn, _ bool) {
		for _, b := range []byte(lookHead) {
			if !write(c, []byte{b}) {
				return
			}
			time.Sleep(pollInterval)
		}
	})
}

func TestLargeBodies(t *testing.T) {
	head := orderHead(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))
	t.Run("whole", func(t *testing.T) { play(t, (*target).front, wholeBody(head, bodyBytes, bodyBytes)) })
	t.Run("piece by piece", func(t *testing.T) { play(t, (*target).front, wholeBody(head, bodyBytes, pieceBytes)) })
}

func TestChunkedBodies(t *testing.T) {
	t.Run("large chunks", func(t *testing.T) { play(t, (*target).front, chunkedBody(bodyBytes, 32<<10)) })
	t.Run("chunks of one byte", func(t *testing.T) { play(t, (*target).front, chunkedBody(bodyBytes/2, 1)) })
}

func TestConnectionsThatAskNothing(t *testing.T) {
	play(t, (*target).front, func(net.Conn, bool) {})
}

// TestPipelinedRequests sends many requests at once on each connection and reads the
// answers.
func TestPipelinedRequests(t *testing.T) {
	requests := bytes.Repeat([]byte(lookHead+"\r\n"), 20)
	play(t, (*target).front, func(c net.Conn, _ bool) {
		if write(c, requests) {
			_ = c.SetReadDeadline(time.Now().Add(writeTimeout))
			// A caller that is cut off has done its part.
			_, _ = io.CopyN(io.Discard, c, 1<<10)
		}
	})
}

// TestAnswersThatCallersDoNotRead sends requests until the answers that nobody reads fill
// all buffers.
func TestAnswersThatCallersDoNotRead(t *testing.T) {
	requests := bytes.Repeat([]byte("GET /nosuch/ HTTP/1.1\r\nHost: x.example\r\n\r\n"), 200)
	play(t, (*target).front, func(c net.Conn, _ bool) {
		_ = c.(*net.TCPConn).SetReadBuffer(pieceBytes)
		for write(c, requests) {
		}
	})
}

func TestOperatorsDoor(t *testing.T) {
	head := fmt.Sprintf("POST /v1/changes HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", operatorBodyBytes)
	play(t, (*target).operator, wholeBody(head, operatorBodyBytes, operatorBodyBytes))
}

func TestReadyAddress(t *testing.T) {
	play(t, (*target).ready, func(c net.Conn, finishes bool) {
		if finishes {
			write(c, lookHead+"Long: "+string(filler[:operatorBodyBytes-pieceBytes]))
		}
	})
}
