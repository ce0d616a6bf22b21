// Package operator implements the HTTP server for operators: the query and
// command language, the API for declarations, and the reports.
package operator

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/juju/errors"
)

// Statement is one query or command.
type Statement struct {
	Show    *Show    `parser:"  'show' @@"`
	Explain *Explain `parser:"| 'explain' @@"`
	Put     *Put     `parser:"| @@"`
	Version *Version `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Cancel  *Cancel  `parser:"| 'cancel' @@"`
}

// Show queries a table.
type Show struct {
	Table string   `parser:"@Word"`
	Where []*Where `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	By    string   `parser:"( 'by' @Word )?"`
	Limit *int     `parser:"( 'limit' @Number )?"`
}

// Where is one condition on a column.
type Where struct {
	Column string `parser:"@Word"`
	Op     string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' | 'on' )"`
	Value  string `parser:"@( Word | Number | String )"`
}

// Explain asks how a request for an adapter would be routed, or what a refusal
// reason means.
type Explain struct {
	Subject string `parser:"@( 'route' | 'refusal' )"`
	Name    string `parser:"@( Word | String )"`
}

// Put declares or changes an object.
type Put struct {
	Verb   string     `parser:"@( 'add' | 'set' )"`
	Kind   string     `parser:"@( 'service' | 'model' | 'adapter' | 'caller' | 'target' | 'weight-store' )"`
	Name   string     `parser:"( @( Word | String ) )?"`
	Fields []*Setting `parser:"( ',' @@ )*"`
}

// Setting is one field of a declared object.
type Setting struct {
	Key   string `parser:"@Word"`
	Value string `parser:"@( Word | Number | String )"`
}

// Version adds, retires or reinstates an adapter version, or makes it the
// default.
type Version struct {
	Verb    string `parser:"@( 'add' | 'retire' | 'reinstate' | 'default' ) 'version'"`
	Name    string `parser:"@( Word | String )"`
	Weights string `parser:"( 'weights' @( Word | String ) )?"`
}

// Drain stops or resumes sending new work to a target.
type Drain struct {
	Verb   string `parser:"@( 'drain' | 'undrain' ) 'target'"`
	Target string `parser:"@( Word | String )"`
}

// Cancel cancels a request in progress.
type Cancel struct {
	Request string `parser:"'request' @( Word | Number | String )"`
}

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\"|[^"])*"`},
		{Name: "Number", Pattern: `-?\d+(\.\d+)?\b`},
		{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.@/:*-]*`},
		{Name: "Operator", Pattern: `!=|<=|>=|[=<>,]`},
	})),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(3),
)

// keywords lists the words of the statement language, for spelling suggestions.
var keywords = []string{
	"show", "explain", "add", "set", "retire", "reinstate", "default", "drain", "undrain", "cancel", "request",
	"where", "and", "by", "limit", "version", "target", "weights", "route", "refusal",
	"service", "model", "adapter", "caller", "weight-store",
}

// Parse parses a statement. If it can't, it returns a NotValid error that
// points to the column and may suggest a similar keyword.
func Parse(text string) (*Statement, error) {
	s, err := parser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return nil, errors.NotValidf("statement: %v:", err)
	}
	position := parseErr.Position()
	message := parseErr.Message()
	if word := wordAt(text, position.Offset); word != "" {
		if suggestion := nearest(word, keywords); suggestion != "" && suggestion != word {
			message += "; did you mean " + suggestion + "?"
		}
	}
	return nil, errors.NotValidf("statement: column %d: %s\n  %s\n  %s^\n",
		position.Column, message, text, strings.Repeat(" ", max(position.Column-1, 0)))
}

func wordAt(text string, offset int) string {
	if offset >= len(text) {
		return ""
	}
	word, _, _ := strings.Cut(text[offset:], " ")
	return word
}

const maxEdits = 2

// nearest returns the candidate with the smallest edit distance to word, or ""
// if all are more than maxEdits away.
func nearest(word string, candidates []string) string {
	best, bestDistance := "", maxEdits+1
	for _, c := range candidates {
		if distance := editDistance(word, c); distance < bestDistance {
			best, bestDistance = c, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
