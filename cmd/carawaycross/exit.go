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
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
)

type exitKey struct{}

// usage marks an error as a wrong use of the command.
func usage(err error) error {
	return merry.Wrap(err, merry.WithValue(exitKey{}, exitUsage), merry.NoCaptureStack())
}

// report prints an error and returns the exit code that it stands for.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "carawaycross:", err)
	return codeOf(err)
}

func codeOf(err error) int {
	if code, ok := merry.Value(err, exitKey{}).(int); ok {
		return code
	}
	var bad *settings.Error
	if errors.As(err, &bad) {
		return exitUsage
	}
	var refused *client.Error
	if !errors.As(err, &refused) {
		return exitFailed
	}
	switch refused.Outcome() {
	case booking.NotRun:
		return exitNotRun
	case booking.MayHaveRun:
		return exitUnknown
	default:
		return exitFailed
	}
}
