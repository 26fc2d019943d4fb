// Package schema holds every message, platform object and setting, generated
// from the .proto files below carawaycross/v1. Only the packages at the edge
// (door, upstream, platform, peer, settings) import it.
package schema

//go:generate go -C ../tools tool buf generate ../schema --template ../schema/buf.gen.yaml -o ../schema
//go:generate go -C ../tools tool buf generate ../platform/wire --template ../schema/buf.gen.yaml -o ../schema
