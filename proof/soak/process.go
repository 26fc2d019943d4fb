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

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
)

// A process is one entry VM that the soak started. Signals are only sent to such
// processes.
type process struct {
	binary, folder string
	boot           platform.BootSpec
	// touch records the disturbances of the VM.
	touch *touchLog

	mu      sync.Mutex
	command *exec.Cmd
	done    chan error
	starts  int
	// disturbedAt is when it was last started, signalled or cut off from the store.
	// Checks that require an undisturbed VM skip it for some time afterwards.
	disturbedAt time.Time
	paused      bool
	// exitErr is the error of the last exit; nil for exit code 0.
	exitErr error
}

// start writes the VM's settings and starts it.
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
	p.touch.started(p.id(), time.Now())
	done := make(chan error, 1)
	go func() {
		err := c.Wait()
		_ = log.Close()
		done <- err
	}()
	p.command, p.done, p.disturbedAt, p.paused = c, done, time.Now(), false
	return nil
}

// signal sends a signal to the VM if it is running.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	p.recordSignal(s, p.disturbedAt)
	p.paused = s == syscall.SIGSTOP || (p.paused && s != syscall.SIGCONT)
	return p.send(s)
}

// signalUnlessPaused sends a signal of a duty cycle to the VM if it is running and no fault
// has stopped it. It does not count as a disturbance.
func (p *process) signalUnlessPaused(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		return nil
	}
	return p.send(s)
}

// send sends a signal to the VM if it is running. The lock must be held.
func (p *process) send(s syscall.Signal) error {
	if p.command == nil {
		return nil
	}
	err := p.command.Process.Signal(s)
	if s == syscall.SIGCONT {
		p.touch.set(p.id(), frozen, false, time.Now())
	}
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// recordSignal records the disturbance that a signal begins.
func (p *process) recordSignal(s syscall.Signal, at time.Time) {
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		p.touch.set(p.id(), stopped, true, at)
	case syscall.SIGSTOP:
		p.touch.set(p.id(), frozen, true, at)
	}
}

// id returns the VM's name.
func (p *process) id() ident.VMID { return ident.VMID(p.boot.VM) }

// awaitEnd waits until the VM has ended, and kills it if that takes longer than
// within. It reports whether the VM ended by itself.
func (p *process) awaitEnd(within time.Duration) bool {
	p.mu.Lock()
	done, command := p.done, p.command
	p.mu.Unlock()
	if command == nil {
		return true
	}
	byItself := true
	select {
	case err := <-done:
		done <- err
	case <-time.After(within):
		// It may have ended at the same moment.
		byItself = len(done) > 0
		_ = command.Process.Kill()
	}
	exit := <-done
	p.mu.Lock()
	p.command, p.exitErr = nil, exit
	p.mu.Unlock()
	return byItself
}

// undisturbedFor reports whether the VM is running and has not been disturbed for
// the duration.
func (p *process) undisturbedFor(duration time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && time.Since(p.disturbedAt) > duration
}

func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
}

// ready reports the result of the readiness check that a load balancer makes.
func (p *process) ready() bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", p.boot.IP, p.boot.Ready, platform.ReadyPath), nil)
	return err == nil && fetchStatus(r) == http.StatusOK
}

func fetchStatus(r *http.Request) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// incarnation returns the number of the VM's current process, counted from 1.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// undisturbedSince reports whether the VM has not been disturbed again since the
// disturbance at the given time.
func (p *process) undisturbedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt.Sub(at) < pollInterval
}
