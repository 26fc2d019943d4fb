package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
)

const (
	halfCloseRequests = 40
	// workTime is the mean time of a request; a consumer leaves before it is over.
	workTime  = 160 * time.Millisecond
	leaveTime = 30 * time.Millisecond
)

// halfClose sends orders. Three consumers in ten leave before their deadline: they close
// their sending side and read what still comes.
func halfClose(r *rig) (bool, error) {
	spec := siteSpec()
	spec.Work = workTime
	if err := r.start(spec); err != nil {
		return false, err
	}
	broken := 0
	for n := range halfCloseRequests {
		ok, err := r.order(n, r.trouble && n%10%3 == 1)
		if err != nil {
			return false, err
		}
		if !ok {
			broken++
		}
	}
	runs := 0
	for _, replica := range r.site.Replicas {
		for _, one := range replica.Runs() {
			if one.Method == http.MethodPost {
				r.note("replica %s ran %s", replica.Entry().ID, one.ID)
				runs++
			}
		}
	}
	r.note("%d orders sent, %d run, %d answered with a success that is no replica's answer", halfCloseRequests, runs, broken)
	return broken > 0, nil
}

// order sends one order on a new connection and reports whether its answer is right.
func (r *rig) order(n int, leave bool) (bool, error) {
	conn, err := net.Dial("tcp", r.front(n%len(r.vms)))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+n)
	fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: %s\r\nCarawaycross-Request-Id: %s\r\nCarawaycross-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
		fleet.DeskHost, id, len(id), id)
	if leave {
		time.Sleep(leaveTime)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return false, err
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		r.note("order %s, leaving %v: no answer: %v", id, leave, err)
		return true, nil
	}
	body, err := io.ReadAll(response.Body)
	digest := platform.ReplyDigest(response.Header)
	r.note("order %s, leaving %v: status %d, stamp %q, %d bytes, error %v", id, leave, response.StatusCode, digest, len(body), err)
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	return !success || (digest != "" && err == nil), nil
}
