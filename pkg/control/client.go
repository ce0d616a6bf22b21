// Package control implements hyssoproadctl, the operators' command-line tool.
package control

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/operator"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	callTimeout      = 12 * time.Second
	unsettled        = "unsettled"
	maxSettleTries   = 5
	settleRetryDelay = time.Second
	// maxReplyBytes bounds an entry's reply. A row of a list takes less than 300 bytes; the
	// largest fleet has 44,000 adapters.
	maxReplyBytes = 64 << 20
)

// Client calls the operator API of one entry.
type Client struct {
	base  string
	token string
	http  *fasthttp.Client
}

// NewClient returns a client of the entry at the base URL.
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: &fasthttp.Client{
		ConfigureClient:     httphead.Configure,
		MaxResponseBodySize: maxReplyBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// RefusedError is the error of a query or command that an entry refused.
type RefusedError struct {
	Reply operator.Reply
}

// Error returns the entry's reason and error text.
func (r *RefusedError) Error() string { return r.Reply.Reason + ": " + r.Reply.Error }

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
		return reply, &RefusedError{Reply: reply}
	}
	return reply, nil
}

// Query runs a query.
func (c *Client) Query(text string) (operator.Reply, error) {
	return c.call(fasthttp.MethodPost, "/operator/query", operator.CommandRequest{Text: text})
}

// Export returns the current configuration.
func (c *Client) Export() (operator.Reply, error) {
	return c.call(fasthttp.MethodGet, "/operator/export", nil)
}

// RequestStats returns the entry's request statistics.
func (c *Client) RequestStats() (operator.Reply, error) {
	return c.call(fasthttp.MethodGet, "/operator/records", nil)
}

// Command submits a command and waits until it is accepted or refused.
func (c *Client) Command(id ident.Command, base ident.Revision, text string) (operator.Reply, error) {
	return c.callUntilSettled("/operator/command", operator.CommandRequest{Command: id, Base: base, Text: text})
}

// Apply submits changes as one command and waits until it is accepted or
// refused.
func (c *Client) Apply(id ident.Command, base ident.Revision, changes []wire.Change) (operator.Reply, error) {
	return c.callUntilSettled("/operator/apply", operator.ApplyRequest{Command: id, Base: base, Changes: changes})
}

// callUntilSettled sends a command until the entry reports whether it was
// accepted, at most maxSettleTries times. All tries carry the same command id, so
// that the command takes effect only once.
func (c *Client) callUntilSettled(path string, body any) (operator.Reply, error) {
	for try := 1; ; try++ {
		reply, err := c.call(fasthttp.MethodPost, path, body)
		var refused *RefusedError
		known := err == nil || errors.As(err, &refused) && refused.Reply.Reason != unsettled
		if known || try == maxSettleTries {
			return reply, err
		}
		time.Sleep(settleRetryDelay)
	}
}

// NewCommand returns a new, unique command id.
func NewCommand() ident.Command { return ident.Command(uuid.NewString()) }
