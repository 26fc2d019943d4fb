// Package crowd has tests that start the real program and send it what callers outside
// the limits send: many connections at once that stop short of their end and stay open.
package crowd
