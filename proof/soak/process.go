package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/platform"
)

// A process is one entry VM that the soak started; only it is ever signalled.
type process struct {
	binary, folder string
	boot           platform.BootSpec

	mu      sync.Mutex
	command *exec.Cmd
	done    chan error
	starts  int
	// Touched is when it was last started, signalled or cut off; calm checks
	// pass it over for a while.
	touched time.Time
	paused  bool
	// Exit is how it last ended; nil after an orderly stop.
	exit error
}

// start runs the VM.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.folder, p.boot.VM+".conf")
	if err := os.WriteFile(path, []byte(p.boot.Text()), 0o600); err != nil {
		return err
	}
	p.starts++
	log, err := os.Create(filepath.Join(p.folder, fmt.Sprintf("%s-%d.log", p.boot.VM, p.starts)))
	if err != nil {
		return err
	}
	c := exec.Command(p.binary, "entry", "--settings", path)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan error, 1)
	go func() {
		err := c.Wait()
		_ = log.Close()
		done <- err
	}()
	p.command, p.done, p.touched, p.paused = c, done, time.Now(), false
	return nil
}

// signal sends a signal to the VM, if it runs.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	p.paused = s == syscall.SIGSTOP || (p.paused && s != syscall.SIGCONT)
	if p.command == nil {
		return nil
	}
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// ended waits until the VM has ended, and kills it when that takes too long. It
// reports whether it ended by itself.
func (p *process) ended(within time.Duration) bool {
	p.mu.Lock()
	done, command := p.done, p.command
	p.mu.Unlock()
	if command == nil {
		return true
	}
	self := true
	select {
	case err := <-done:
		done <- err
	case <-time.After(within):
		// It may have ended at the same moment.
		self = len(done) > 0
		_ = command.Process.Kill()
	}
	exit := <-done
	p.mu.Lock()
	p.command, p.exit = nil, exit
	p.mu.Unlock()
	return self
}

// calm reports whether nothing was done to the VM for a while.
func (p *process) calm(since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && time.Since(p.touched) > since
}

func (p *process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
}

// ready asks what the balancer asks.
func (p *process) ready() bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", p.boot.IP, p.boot.Ready, platform.ReadyPath), nil)
	return err == nil && status(r) == http.StatusOK
}

// status asks one request and returns the answer's status; 0 without one.
func (p *process) status(host, path, id string) int {
	r, err := platform.NewRequest(http.MethodGet, fmt.Sprintf("%s:%d", p.boot.IP, p.boot.Front), host, path, id, time.Second)
	if err != nil {
		return 0
	}
	return status(r)
}

func status(r *http.Request) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// life numbers the processes that the VM has been.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// untouched reports whether nothing was done to the VM after a moment at which
// something was.
func (p *process) untouched(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.touched.Sub(at) < lookEvery
}
