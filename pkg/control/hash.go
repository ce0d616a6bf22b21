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

// hashToken returns the command that prints the hash of a token, which is the
// form in which tokens are declared. It reads the token from standard input, so
// that the token does not appear in process listings.
func (t *tool) hashToken() *ffcli.Command {
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
