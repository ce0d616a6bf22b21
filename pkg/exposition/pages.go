package exposition

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Pages are the pages of the metrics listener beside the metrics, by path.
type Pages struct {
	mu     sync.RWMutex
	byPath map[string]fasthttp.RequestHandler
}

// NewPages returns no pages.
func NewPages() *Pages { return &Pages{byPath: make(map[string]fasthttp.RequestHandler)} }

// Add adds a page. It may be called at any time.
func (p *Pages) Add(path string, h fasthttp.RequestHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byPath[path] = h
}

// Serve answers a GET of a page, and any other request with 404.
func (p *Pages) Serve(ctx *fasthttp.RequestCtx) {
	p.mu.RLock()
	h := p.byPath[string(ctx.Path())]
	p.mu.RUnlock()
	if h == nil || !ctx.IsGet() {
		ctx.Error("no such page", fasthttp.StatusNotFound)
		return
	}
	h(ctx)
}
