package exposition

import (
	"context"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Page returns what a page shows for the parameters of its URL, which is served as JSON. A
// NotValid error is the reader's.
type Page func(context.Context, url.Values) (any, error)

// pageTimeout bounds how long a page may take.
const pageTimeout = 2 * time.Second

// pages are the pages that a process's components show beside its metrics.
type pages struct {
	mu     sync.RWMutex
	byPath map[string]Page
}

func (p *pages) find(path string) (Page, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	page, found := p.byPath[path]
	return page, found
}

// AddPage serves a page at a path of the metrics listener.
func (m Metrics) AddPage(path string, page Page) {
	m.pages.mu.Lock()
	defer m.pages.mu.Unlock()
	m.pages.byPath[path] = page
}

// ServePage serves the page at the path of a request.
func (m Metrics) ServePage(ctx *fasthttp.RequestCtx) {
	page, found := m.pages.find(string(ctx.Path()))
	if !found {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	status, body := servePage(page, string(ctx.URI().QueryString()))
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// pageError is what a page shows that can't show anything else.
type pageError struct {
	Error string `json:"error"`
}

func servePage(page Page, query string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	values, err := url.ParseQuery(query)
	if err != nil {
		err = errors.NewNotValid(err, "parameters")
	}
	var content any
	if err == nil {
		content, err = page(ctx, values)
	}
	if err == nil {
		body, err = json.Marshal(content)
	}
	if err == nil {
		return fasthttp.StatusOK, body
	}
	status = fasthttp.StatusInternalServerError
	if errors.Is(err, errors.NotValid) {
		status = fasthttp.StatusBadRequest
	}
	body, _ = json.Marshal(pageError{Error: err.Error()}) // a string can always be encoded
	return status, body
}
