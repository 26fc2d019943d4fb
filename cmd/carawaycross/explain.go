package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/serve/eventlog"
)

// explainCommand implements the subcommand that prints the log events of a request.
type explainCommand struct {
	request string
	tenant  string
	logs    []string
}

func (c *explainCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("explain", "Tell the story of a request from logs.", "carawaycross explain 9c41d07be2a35f68 --log entry-0.log --log entry-1.log")
	s.AddPositionalValue(&c.request, "request", 1, false, "The client's id of the request.")
	s.String(&c.tenant, "", "tenant", "Tell instead why requests of this tenant were refused.")
	s.StringSlice(&c.logs, "", "log", "A log; standard input without any.")
	return s
}

func (c *explainCommand) run(context.Context) error {
	if (c.request == "") == (c.tenant == "") {
		return usageError(errors.New("either the id of a request or --tenant is required"))
	}
	var lines []eventlog.Line
	if len(c.logs) == 0 {
		stdinLines, err := eventlog.Read("log", os.Stdin)
		if err != nil {
			return err
		}
		lines = stdinLines
	}
	for _, path := range c.logs {
		f, err := os.Open(path)
		if err != nil {
			return usageError(err)
		}
		fileLines, err := eventlog.Read(path, f)
		if err == nil {
			err = f.Close()
		}
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	if c.tenant != "" {
		if !eventlog.ExplainTenant(os.Stdout, lines, c.tenant) {
			return fmt.Errorf("no log names tenant %s", c.tenant)
		}
		return nil
	}
	if !eventlog.Explain(os.Stdout, lines, c.request) {
		return fmt.Errorf("no log tells of request %s: it never reached a VM, or its answer was whole, in time and not sampled", c.request)
	}
	return nil
}
