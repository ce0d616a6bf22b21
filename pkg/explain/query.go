// Package explain holds the question where a request would go, and the answer of one
// gateway. It does no I/O.
package explain

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Path is the path on a gateway's metrics listener that answers a Query.
const Path = "/explain"

// Query is the request to explain.
type Query struct {
	Host    string
	Path    string
	Model   ident.Model
	Adapter ident.Adapter
	// Parts lists the parts of the prompt as a caller states them: ID:TOKENS, separated by
	// commas, the last of which belongs to the request or its session.
	Parts                      string
	PromptTokens, OutputTokens int
	Account                    ident.Account
	// Attempt is the ID of the request, which orders engines with equal costs.
	Attempt string
	// Fingerprint is that of the request in rows of the log. It is zero if it is not known,
	// and then bans of whole requests can't be told.
	Fingerprint quarantine.Fingerprint
}

// The names of the parameters.
const (
	paramHost         = "host"
	paramPath         = "path"
	paramModel        = "model"
	paramAdapter      = "adapter"
	paramParts        = "parts"
	paramPromptTokens = "prompt-tokens"
	paramOutputTokens = "output-tokens"
	paramAccount      = "account"
	paramAttempt      = "attempt"
	paramFingerprint  = "fingerprint"
)

// Check returns a NotValid error that names the first parameter that is missing or wrong.
func (q Query) Check() error {
	switch {
	case q.Host == "":
		return missing(paramHost)
	case q.Path == "":
		return missing(paramPath)
	case !strings.HasPrefix(q.Path, "/"):
		return errors.NewNotValid(nil, fmt.Sprintf("%s %q does not begin with /", paramPath, q.Path))
	case q.Adapter != "" && q.Model == "":
		return missing(paramModel)
	case q.PromptTokens < 0:
		return errors.NotValidf("%s %d", paramPromptTokens, q.PromptTokens)
	case q.OutputTokens < 0:
		return errors.NotValidf("%s %d", paramOutputTokens, q.OutputTokens)
	}
	if q.Parts == "" {
		return nil
	}
	if p := platform.ParsePrompt([]byte(q.Parts)); !p.HasOwn {
		return errors.NewNotValid(nil, fmt.Sprintf("%s %q: part %d is not ID:TOKENS", paramParts, q.Parts, len(p.Segments)+1))
	}
	return nil
}

// HasFingerprint reports whether the fingerprint is known.
func (q Query) HasFingerprint() bool { return q.Fingerprint != quarantine.Fingerprint{} }

func missing(name string) error { return errors.NewNotValid(nil, name+" is missing") }

// Values returns the query as the parameters of a URL.
func (q Query) Values() url.Values {
	out := make(url.Values)
	set := func(name, value string) {
		if value != "" {
			out.Set(name, value)
		}
	}
	set(paramHost, q.Host)
	set(paramPath, q.Path)
	set(paramModel, string(q.Model))
	set(paramAdapter, string(q.Adapter))
	set(paramParts, q.Parts)
	set(paramAccount, string(q.Account))
	set(paramAttempt, q.Attempt)
	if q.HasFingerprint() {
		set(paramFingerprint, q.Fingerprint.String())
	}
	if q.PromptTokens != 0 {
		set(paramPromptTokens, strconv.Itoa(q.PromptTokens))
	}
	if q.OutputTokens != 0 {
		set(paramOutputTokens, strconv.Itoa(q.OutputTokens))
	}
	return out
}

// ParseQuery parses and checks the parameters of a URL. It returns a NotValid error that
// names the first one that is unknown, missing or wrong.
func ParseQuery(v url.Values) (Query, error) {
	var q Query
	var err error
	count := func(name, value string) int {
		n, parseErr := strconv.Atoi(value)
		if parseErr != nil && err == nil {
			err = errors.NotValidf("%s %q", name, value)
		}
		return n
	}
	for name := range v {
		value := v.Get(name)
		switch name {
		case paramHost:
			q.Host = value
		case paramPath:
			q.Path = value
		case paramModel:
			q.Model = ident.Model(value)
		case paramAdapter:
			q.Adapter = ident.Adapter(value)
		case paramParts:
			q.Parts = value
		case paramPromptTokens:
			q.PromptTokens = count(name, value)
		case paramOutputTokens:
			q.OutputTokens = count(name, value)
		case paramAccount:
			q.Account = ident.Account(value)
		case paramAttempt:
			q.Attempt = value
		case paramFingerprint:
			if parseErr := q.Fingerprint.UnmarshalText([]byte(value)); parseErr != nil && err == nil {
				err = errors.Annotate(parseErr, paramFingerprint)
			}
		default:
			return q, errors.NotValidf("parameter %q", name)
		}
	}
	if err != nil {
		return q, err
	}
	return q, q.Check()
}
