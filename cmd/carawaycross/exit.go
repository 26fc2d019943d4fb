package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/settings"
)

// The exit codes of every subcommand.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage means that the arguments or the settings are invalid.
	exitUsage = 2
	// exitNotRun means that the request did not run.
	exitNotRun = 3
	// exitUnknown means that the request may have run.
	exitUnknown = 4
)

// exitCodeKey is the key under which an error carries an exit code.
type exitCodeKey struct{}

// usageError wraps an error so that the process exits with exitUsage.
func usageError(err error) error {
	return merry.Wrap(err, merry.WithValue(exitCodeKey{}, exitUsage), merry.NoCaptureStack())
}

// reportError prints an error to standard error and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "carawaycross:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error: the one set by usageError, exitUsage for
// invalid settings, or the one for the outcome of a refused or failed request.
func exitCode(err error) int {
	if code, ok := merry.Value(err, exitCodeKey{}).(int); ok {
		return code
	}
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return exitUsage
	}
	var clientErr *client.Error
	if !errors.As(err, &clientErr) {
		return exitFailed
	}
	switch clientErr.Outcome() {
	case booking.NotRun:
		return exitNotRun
	case booking.MayHaveRun:
		return exitUnknown
	default:
		return exitFailed
	}
}
