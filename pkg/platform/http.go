package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	callTimeout = 2 * time.Second
)

// Client talks HTTP to the platform's services.
type Client struct {
	base string
	http *fasthttp.Client
}

// NewClient returns a client of the platform at base, such as
// http://10.0.0.1:7000.
func NewClient(base string) *Client {
	return &Client{base: base, http: &fasthttp.Client{
		MaxConnsPerHost:     64,
		MaxResponseBodySize: MaxValueBytes + 4096,
		// A repeated conditional update would meet its own effect.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Objects returns the object API behind the client.
func (c *Client) Objects() Objects {
	return Objects{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch}
}

type call struct {
	method  string
	path    string
	version *ObjectVersion
	body    []byte
	timeout time.Duration
}

type reply struct {
	status  int
	body    []byte
	version ObjectVersion
}

func (c *Client) do(ctx context.Context, in call) (reply, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.base + in.path)
	req.Header.SetMethod(in.method)
	req.SetBody(in.body)
	if in.version != nil {
		req.Header.Set("If-Match", strconv.FormatUint(uint64(*in.version), 10))
	}
	deadline := time.Now().Add(in.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		return reply{}, errors.WithType(errors.Annotatef(err, "%s %s", in.method, in.path), ErrUnavailable)
	}
	version, _ := strconv.ParseUint(string(res.Header.Peek("ETag")), 10, 64)
	out := reply{status: res.StatusCode(), version: ObjectVersion(version)}
	out.body = append(out.body, res.Body()...)
	return out, in.check(out)
}

func (in call) check(out reply) error {
	switch {
	case out.status < 300:
		return nil
	case out.status == fasthttp.StatusNotFound:
		return errors.NotFoundf("object %s", in.path)
	case out.status == fasthttp.StatusPreconditionFailed:
		return errors.Annotatef(ErrConflict, "%s %s", in.method, in.path)
	case out.status == fasthttp.StatusNotModified:
		return errors.Timeoutf("watch of %s", in.path)
	case out.status >= 500:
		return errors.Annotatef(ErrUnavailable, "%s %s: status %d", in.method, in.path, out.status)
	}
	return errors.NotValidf("%s %s: status %d: %s:", in.method, in.path, out.status, out.body)
}

func objectPath(key string) string { return "/objects/" + key }

func (c *Client) get(ctx context.Context, key string) (Object, error) {
	out, err := c.do(ctx, call{method: "GET", path: objectPath(key), timeout: callTimeout})
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	return Object{Key: key, Value: out.body, Version: out.version}, nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, version ObjectVersion) (ObjectVersion, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.NotValidf("value of %d bytes for %s", len(value), key)
	}
	out, err := c.do(ctx, call{method: "PUT", path: objectPath(key), version: &version, body: value, timeout: callTimeout})
	return out.version, errors.Trace(err)
}

func (c *Client) remove(ctx context.Context, key string, version ObjectVersion) error {
	_, err := c.do(ctx, call{method: "DELETE", path: objectPath(key), version: &version, timeout: callTimeout})
	return errors.Trace(err)
}

func (c *Client) list(ctx context.Context, prefix string) ([]string, error) {
	out, err := c.do(ctx, call{method: "GET", path: "/list?prefix=" + url.QueryEscape(prefix), timeout: callTimeout})
	if err != nil {
		return nil, errors.Trace(err)
	}
	var keys []string
	return keys, errors.Trace(json.Unmarshal(out.body, &keys))
}

func (c *Client) watch(ctx context.Context, key string, version ObjectVersion, wait time.Duration) (Object, error) {
	path := fmt.Sprintf("/watch/%s?after=%d&wait-ms=%d", key, version, wait.Milliseconds())
	out, err := c.do(ctx, call{method: "GET", path: path, timeout: wait + callTimeout})
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	return Object{Key: key, Value: out.body, Version: out.version}, nil
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMInfo is one row of the platform's list of VMs, which lags.
type VMInfo struct {
	VM      ident.VM     `json:"vm"`
	Domain  ident.Domain `json:"domain"`
	State   VMState      `json:"state"`
	Entry   string       `json:"entry,omitempty"` // link address, on entry VMs
	Targets []string     `json:"targets,omitempty"`
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VMInfo, error) {
	out, err := c.do(ctx, call{method: "GET", path: "/vms", timeout: callTimeout})
	if err != nil {
		return nil, errors.Trace(err)
	}
	var vms []VMInfo
	return vms, errors.Trace(json.Unmarshal(out.body, &vms))
}
