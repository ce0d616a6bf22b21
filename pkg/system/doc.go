// Package system tests entries and agents together. The real code runs against
// fakes at its interfaces, in virtual time, and an oracle checks the guarantees
// against what callers and targets observe.
package system
