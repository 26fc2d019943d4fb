package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/door"
)

const (
	defaultVM   = "127.0.0.1:8080"
	callTimeout = 30 * time.Second
)

// A vmTarget holds the flags of the subcommands that call an entry VM.
type vmTarget struct {
	address string
	json    bool
}

func (t *vmTarget) bindFlags(s *flaggy.Subcommand) {
	t.address = defaultVM
	s.String(&t.address, "", "vm", "Address of an entry VM's door, IP:port.")
	s.Bool(&t.json, "", "json", "Print JSON.")
}

func (t *vmTarget) client() *client.Client { return &client.Client{Address: t.address} }

// requestFlags holds the flags that searches and bookings have in common.
type requestFlags struct {
	vmTarget
	service, tenant, class string
	deadline               time.Duration
}

func (r *requestFlags) bindRequestFlags(s *flaggy.Subcommand) {
	r.bindFlags(s)
	s.String(&r.service, "", "service", "The service's name.")
	s.String(&r.tenant, "", "tenant", "The caller's tenant.")
	s.String(&r.class, "", "class", "The priority class.")
	s.Duration(&r.deadline, "", "deadline", "Time allowed, such as 200ms; the preset's default without it.")
}

// deadlineMessage returns the deadline, or nil to select the preset's default.
func (r *requestFlags) deadlineMessage() *durationpb.Duration {
	if r.deadline == 0 {
		return nil
	}
	return durationpb.New(r.deadline)
}

// searchCommand implements the subcommand that sends a search.
type searchCommand struct {
	requestFlags
	query    string
	coverage float64
}

func (c *searchCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("search", "Search every shard of a service.",
		"carawaycross search --vm 127.0.0.1:8080 --service route-planner --query nuts --deadline 200ms")
	c.bindRequestFlags(s)
	s.String(&c.query, "q", "query", "The query's text.")
	s.Float64(&c.coverage, "", "coverage", "Wanted share of the shards, above 0 to 1; the preset's without it.")
	return s
}

func (c *searchCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := &schema.SearchRequest{
		Service: c.service, Query: []byte(c.query), Tenant: c.tenant, Class: c.class, WantedCoverage: c.coverage,
		Deadline: c.deadlineMessage(),
	}
	answer, err := c.client().Search(ctx, m)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(answer)
	}
	fmt.Printf("snapshot %d, %d of %d shards covered, %v, %d extra attempts, preset %s, through %s\n",
		answer.Snapshot, len(answer.ShardsCovered), answer.ShardsWanted, answer.Took.AsDuration(),
		answer.ExtraAttempts, answer.Preset, answer.Vm)
	for _, missing := range answer.ShardsMissing {
		fmt.Printf("shard %d is missing: %s\n", missing.Shard, missing.Reason)
	}
	for _, p := range answer.Parts {
		fmt.Printf("%d\t%s\t%s\n", p.Shard, p.Replica, p.Result)
	}
	return nil
}

// bookCommand implements the subcommand that sends a booking.
type bookCommand struct {
	requestFlags
	body, key string
}

func (c *bookCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("book", "Send a request that runs at most once.",
		"carawaycross book --service kitchen-desk --body 'two lunches'")
	c.bindRequestFlags(s)
	s.String(&c.body, "b", "body", "The request's text.")
	s.String(&c.key, "k", "key", "The request key of an earlier send; a new ticket without it.")
	return s
}

func (c *bookCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.key == "" {
		key, err := c.client().Ticket(ctx)
		if err != nil {
			return err
		}
		c.key = key
		fmt.Fprintln(os.Stderr, "request key:", key)
	}
	m := &schema.BookingRequest{
		Service: c.service, Body: []byte(c.body), Tenant: c.tenant, Class: c.class, RequestKey: c.key,
		Deadline: c.deadlineMessage(),
	}
	answer, err := c.client().Book(ctx, m)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(answer)
	}
	fmt.Printf("ran on %s through %s, repeated answer: %v\n%s\n", answer.Replica, answer.Vm, answer.Repeated, answer.Result)
	return nil
}

// statusCommand implements the subcommand that prints the status of an entry VM.
type statusCommand struct{ vmTarget }

func (c *statusCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("status", "Show what an entry VM knows, on one screen.", "carawaycross status --vm 127.0.0.1:8080")
	c.bindFlags(s)
	return s
}

func (c *statusCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(status)
	}
	door.WriteStatus(os.Stdout, status)
	return nil
}
