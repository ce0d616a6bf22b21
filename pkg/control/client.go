// Package control is the operators' command-line tool.
package control

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/operator"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	callTimeout = 12 * time.Second
	unsettled   = "unsettled"
	settleTries = 5
	settlePause = time.Second
)

// Client talks to the operators' face of one entry.
type Client struct {
	base  string
	token string
	http  *fasthttp.Client
}

// NewClient returns a client of the entry at base.
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: &fasthttp.Client{
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Refused is the error of a statement that an entry refused.
type Refused struct {
	Reply operator.Reply
}

// Error returns the entry's words.
func (r *Refused) Error() string { return r.Reply.Reason + ": " + r.Reply.Error }

func (c *Client) call(method, path string, body any) (operator.Reply, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return operator.Reply{}, errors.Trace(err)
		}
		req.SetBody(encoded)
	}
	if err := c.http.DoTimeout(req, res, callTimeout); err != nil {
		return operator.Reply{}, errors.Annotate(err, path)
	}
	var reply operator.Reply
	if err := json.Unmarshal(res.Body(), &reply); err != nil {
		return reply, errors.Annotatef(err, "%s: status %d", path, res.StatusCode())
	}
	if reply.Error != "" {
		return reply, &Refused{Reply: reply}
	}
	return reply, nil
}

// Query runs a query.
func (c *Client) Query(text string) (operator.Reply, error) {
	return c.call(fasthttp.MethodPost, "/operator/query", operator.CommandRequest{Text: text})
}

// Export returns the configuration in force.
func (c *Client) Export() (operator.Reply, error) {
	return c.call(fasthttp.MethodGet, "/operator/export", nil)
}

// Records returns the entry's requests of the newest hour.
func (c *Client) Records() (operator.Reply, error) {
	return c.call(fasthttp.MethodGet, "/operator/records", nil)
}

// Command has a command accepted.
func (c *Client) Command(id ident.Command, base ident.Revision, text string) (operator.Reply, error) {
	return c.settled("/operator/command", operator.CommandRequest{Command: id, Base: base, Text: text})
}

// Apply has changes accepted as one command.
func (c *Client) Apply(id ident.Command, base ident.Revision, changes []wire.Change) (operator.Reply, error) {
	return c.settled("/operator/apply", operator.ApplyRequest{Command: id, Base: base, Changes: changes})
}

// settled repeats a command whose fate is not known, under the same command id,
// until it is.
func (c *Client) settled(path string, body any) (operator.Reply, error) {
	for try := 1; ; try++ {
		reply, err := c.call(fasthttp.MethodPost, path, body)
		var refused *Refused
		known := err == nil || errors.As(err, &refused) && refused.Reply.Reason != unsettled
		if known || try == settleTries {
			return reply, err
		}
		time.Sleep(settlePause)
	}
}

// NewCommand returns a fresh command id.
func NewCommand() ident.Command { return ident.Command(uuid.NewString()) }
