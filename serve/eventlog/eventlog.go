// Package eventlog writes a process's log without ever blocking who logs: lines
// wait in a bounded buffer for the one goroutine that writes them, and what does
// not fit is dropped and counted.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// bufferLines is the room for lines that wait to be written.
	bufferLines = 4096
	// mostLines a second are written; the rest is dropped, so that an error in
	// every request cannot fill the machine with logs.
	mostLines = 400
	// reportEvery is the time between two lines that tell of dropped ones.
	reportEvery = time.Second
)

// A Log is the log of one process. See New.
type Log struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	stop  chan struct{}
	// Second and written bound the lines of one second.
	second  atomic.Int64
	written atomic.Int64
	dropped atomic.Uint64
	// Told is the number of dropped lines that were reported.
	told uint64
}

// New returns a Log that writes to out until Close.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, lines: make(chan []byte, bufferLines), done: make(chan struct{}), stop: make(chan struct{}),
	}
	go l.run()
	return l
}

// Logger returns the logger of the process.
func (l *Log) Logger(level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(l).Level(level).With().Timestamp().Logger()
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Write takes one line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	if !l.room() {
		l.dropped.Add(1)
		return len(line), nil
	}
	// The caller uses its buffer again.
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// room reports whether one more line fits into this second.
func (l *Log) room() bool {
	now := time.Now().Unix()
	if old := l.second.Load(); old != now && l.second.CompareAndSwap(old, now) {
		l.written.Store(0)
	}
	return l.written.Add(1) <= mostLines
}

// Close writes what waits and ends the log.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Log) run() {
	defer close(l.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ticker.C:
			l.report()
		case <-l.stop:
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			l.report()
			return
		}
	}
}

func (l *Log) write(line []byte) {
	// There is nowhere to report that the log itself cannot be written.
	_, _ = l.out.Write(line)
}

func (l *Log) report() {
	if n := l.dropped.Load(); n != l.told {
		l.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"message\":\"lines-dropped\",\"lines\":%d,\"in-all\":%d}\n", n-l.told, n))
		l.told = n
	}
}
