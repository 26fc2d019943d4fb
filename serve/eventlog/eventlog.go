// Package eventlog writes the log of a process without blocking its callers.
// Lines are buffered in a bounded channel and written by one goroutine; lines
// that exceed the buffer or the rate limit are dropped and counted. The package
// also reads such logs and shows the events that precede a request.
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
	// maxBufferedLines is the capacity of the buffer.
	maxBufferedLines = 4096
	// maxLinesPerSecond is the rate limit. It keeps an error in every request
	// from filling the disk with log lines.
	maxLinesPerSecond = 400
	// reportInterval is the time between two checks for dropped lines. Each check
	// writes a lines-dropped event if there are new ones.
	reportInterval = time.Second
)

// A Log is an io.Writer that buffers lines and writes them in the background.
// See New.
type Log struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	stop  chan struct{}
	// currentSecond, in Unix time, and linesThisSecond implement the rate limit.
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	dropped         atomic.Uint64
	// reportedDropped is the value of dropped in the last lines-dropped event.
	reportedDropped uint64
}

// New returns a Log that writes to out until Close.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), stop: make(chan struct{}),
	}
	go l.writeLoop()
	return l
}

// Logger returns a logger that writes to l and adds the time in milliseconds to
// each event. It sets zerolog's global time format.
func (l *Log) Logger(level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(l).Level(level).With().Timestamp().Logger()
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Write buffers one line. It drops the line when the buffer is full or the rate
// limit is reached, and neither blocks nor returns an error.
func (l *Log) Write(line []byte) (int, error) {
	if !l.allow() {
		l.dropped.Add(1)
		return len(line), nil
	}
	// The line is copied because the caller reuses its buffer.
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// allow counts a line and reports whether it is within the rate limit.
func (l *Log) allow() bool {
	now := time.Now().Unix()
	if old := l.currentSecond.Load(); old != now && l.currentSecond.CompareAndSwap(old, now) {
		l.linesThisSecond.Store(0)
	}
	return l.linesThisSecond.Add(1) <= maxLinesPerSecond
}

// Close writes the buffered lines and stops the background goroutine.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Log) writeLoop() {
	defer close(l.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ticker.C:
			l.reportDropped()
		case <-l.stop:
			l.drain()
			return
		}
	}
}

// drain writes the buffered lines and the last lines-dropped event.
func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Log) write(line []byte) {
	// A failure to write the log cannot be logged.
	_, _ = l.out.Write(line)
}

// reportDropped writes a lines-dropped event if lines were dropped since the
// last one.
func (l *Log) reportDropped() {
	if n := l.dropped.Load(); n != l.reportedDropped {
		l.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"message\":\"lines-dropped\",\"lines\":%d,\"in-all\":%d}\n", n-l.reportedDropped, n))
		l.reportedDropped = n
	}
}
