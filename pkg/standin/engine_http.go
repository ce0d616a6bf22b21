package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// Register adds the engine's HTTP routes to the router.
func (e *Engine) Register(r *router.Router) {
	r.POST("/v1/completions", e.serveCompletion)
	r.POST("/v1/load_lora_adapter", e.serveOrder(e.Load))
	r.POST("/v1/unload_lora_adapter", e.serveOrder(e.Unload))
	r.POST("/v1/role", e.serveRole)
	r.POST("/v1/cancel", e.serveCancel)
	r.GET("/v1/models", e.serveModels)
	r.GET("/load", func(ctx *fasthttp.RequestCtx) {
		inUse, _ := e.InUse()
		writeJSON(ctx, target.LoadReport{Running: len(inUse), InUse: inUse})
	})
	r.GET("/record", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, e.Stats()) })
	r.POST("/restart", func(*fasthttp.RequestCtx) { e.Restart() })
	r.POST("/faults", func(ctx *fasthttp.RequestCtx) {
		var f EngineFaults
		if readJSON(ctx, &f) {
			e.SetFaults(f)
		}
	})
}

func writeEngineError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusInternalServerError
	switch {
	case errors.Is(err, target.ErrStaleToken):
		status = fasthttp.StatusPreconditionFailed
	case errors.Is(err, target.ErrNotHeld):
		status = fasthttp.StatusNotFound
	}
	ctx.Error(err.Error(), status)
}

type orderFunc func(target.AdapterOrder, ident.Incarnation) error

func (e *Engine) serveOrder(apply orderFunc) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var order target.AdapterOrder
		if !readJSON(ctx, &order) {
			return
		}
		if err := apply(order, fencingToken(ctx)); err != nil {
			writeEngineError(ctx, err)
		}
	}
}

func (e *Engine) serveRole(ctx *fasthttp.RequestCtx) {
	var order target.RoleOrder
	if !readJSON(ctx, &order) {
		return
	}
	if err := e.SetRole(order, fencingToken(ctx)); err != nil {
		writeEngineError(ctx, err)
	}
}

func fencingToken(ctx *fasthttp.RequestCtx) ident.Incarnation {
	n, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(target.HeaderFencingToken)), 10, 64)
	return ident.Incarnation(n)
}

func (e *Engine) serveModels(ctx *fasthttp.RequestCtx) {
	list, boot, _ := e.Loaded()
	ctx.Response.Header.Set(target.HeaderBootID, boot)
	writeJSON(ctx, target.ModelList{Data: list})
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	var order target.CancelOrder
	if readJSON(ctx, &order) {
		_ = e.Cancel(order.ID)
	}
}

func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var in target.CompletionRequest
	if !readJSON(ctx, &in) {
		return
	}
	s, err := e.begin(in, string(ctx.Request.Header.Peek(target.HeaderIdempotencyKey)))
	if err != nil {
		writeEngineError(ctx, err)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if s.each(func(c target.CompletionChunk) error { return writeChunk(w, c) }) == nil {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	})
}

func writeChunk(w *bufio.Writer, c target.CompletionChunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.Flush())
}
