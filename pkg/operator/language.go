// Package operator is the operators' server: the query and command language, the
// declarations' interface and the reports.
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

// Show asks for a table.
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

// Explain asks why a request for an adapter would go where it would.
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

// Version declares, retires or reinstates an adapter version.
type Version struct {
	Verb    string `parser:"@( 'add' | 'retire' | 'reinstate' | 'default' ) 'version'"`
	Name    string `parser:"@( Word | String )"`
	Weights string `parser:"( 'weights' @( Word | String ) )?"`
}

// Drain stops or resumes new work on a target.
type Drain struct {
	Verb   string `parser:"@( 'drain' | 'undrain' ) 'target'"`
	Target string `parser:"@( Word | String )"`
}

// Cancel ends a request under way.
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

// vocabulary are the words that a statement can begin or go on with, for
// suggestions.
var vocabulary = []string{
	"show", "explain", "add", "set", "retire", "reinstate", "default", "drain", "undrain", "cancel", "request",
	"where", "and", "by", "limit", "version", "target", "weights", "route", "refusal",
	"service", "model", "adapter", "caller", "weight-store",
}

// Parse reads a statement. It returns a NotValid error that points at the
// column and suggests the nearest word.
func Parse(text string) (*Statement, error) {
	s, err := parser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var at participle.Error
	if !errors.As(err, &at) {
		return nil, errors.NotValidf("statement: %v:", err)
	}
	position := at.Position()
	message := at.Message()
	if word := wordAt(text, position.Offset); word != "" {
		if near := nearest(word, vocabulary); near != "" && near != word {
			message += "; did you mean " + near + "?"
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

// nearest returns the known word that is at most maxEdits edits away.
func nearest(word string, known []string) string {
	best, bestEdits := "", maxEdits+1
	for _, k := range known {
		if e := edits(word, k); e < bestEdits {
			best, bestEdits = k, e
		}
	}
	return best
}

// edits is the Levenshtein distance.
func edits(a, b string) int {
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
