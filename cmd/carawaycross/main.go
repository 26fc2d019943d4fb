// Command carawaycross runs an entry VM and provides the tools to operate and test it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross"
)

// A command implements one subcommand. Its flags are bound to its fields.
type command interface {
	// bind creates the subcommand with its flags and arguments.
	bind() *flaggy.Subcommand
	// run executes the subcommand. The exit code is derived from the error.
	run(ctx context.Context) error
}

// commands returns all subcommands in the order in which the help lists them.
func commands() []command {
	return []command{
		&entryCommand{}, &serveCommand{}, &checkCommand{}, &configCommand{}, &demoCommand{}, &measureCommand{},
		&searchCommand{}, &bookCommand{}, &statusCommand{},
		&presetCommand{}, newOutCommand("zone"), newOutCommand("vm"),
		&standinCommand{}, &soakCommand{}, &modelCommand{}, &explainCommand{}, &keysCommand{}, &versionCommand{},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(runArgs(ctx, os.Args[1:]))
}

// runArgs runs the subcommand that the arguments name and returns the exit
// code.
func runArgs(ctx context.Context, args []string) int {
	parser := flaggy.NewParser("carawaycross")
	parser.Description = "Answers one search across many shards as if they were one store."
	parser.Version = carawaycross.Version
	parser.ShowHelpOnUnexpected = true
	parser.ShowCompletion = false
	list := commands()
	subcommands := make([]*flaggy.Subcommand, len(list))
	for i, c := range list {
		subcommands[i] = c.bind()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return reportError(usageError(err))
	}
	if len(parser.TrailingArguments) > 0 {
		return reportError(usageError(fmt.Errorf("unexpected arguments %v", parser.TrailingArguments)))
	}
	for i, s := range subcommands {
		if s.Used {
			return reportError(list[i].run(ctx))
		}
	}
	parser.ShowHelpWithMessage("Name one of the subcommands; each has --help.")
	return exitUsage
}
