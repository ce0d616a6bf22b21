// Package system tests entries, agents and what they share together: the real
// code runs over fakes at its interfaces, in virtual time, and an oracle holds
// what callers and targets see against the promises.
package system
