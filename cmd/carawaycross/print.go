package main

import (
	"fmt"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// newSubcommand returns a subcommand whose help ends with an example.
func newSubcommand(name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = "\nExample:\n  " + example
	return s
}

// printJSON prints a message to standard output as indented JSON.
func printJSON(m proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(m)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}
