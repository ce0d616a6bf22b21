package control

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
)

// hash prints the form in which a token is declared. The token is read from
// standard input, so that it appears in no list of processes.
func (t *tool) hash() *ffcli.Command {
	return &ffcli.Command{
		Name: "hash-token", ShortUsage: "hash-token < token", ShortHelp: "print the hash of a token read from standard input",
		Exec: func(context.Context, []string) error {
			token, err := io.ReadAll(os.Stdin)
			if err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintln(t.out, catalog.HashToken(strings.TrimSpace(string(token))))
			return nil
		},
	}
}
