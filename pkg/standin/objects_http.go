package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/platform"
)

// Register serves the object API.
func (o *Objects) Register(r *router.Router) {
	r.GET("/objects/{key:*}", o.serveGet)
	r.PUT("/objects/{key:*}", o.servePut)
	r.DELETE("/objects/{key:*}", o.serveDelete)
	r.GET("/list", o.serveList)
	r.GET("/watch/{key:*}", o.serveWatch)
	r.GET("/calls", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, o.Calls()) })
	r.POST("/faults/objects", func(ctx *fasthttp.RequestCtx) {
		var f ObjectFaults
		if readJSON(ctx, &f) {
			o.SetFaults(f)
		}
	})
}

func keyOf(ctx *fasthttp.RequestCtx) string { return ctx.UserValue("key").(string) }

func ifMatch(ctx *fasthttp.RequestCtx) platform.ObjectVersion {
	n, _ := strconv.ParseUint(string(ctx.Request.Header.Peek("If-Match")), 10, 64)
	return platform.ObjectVersion(n)
}

func setVersion(ctx *fasthttp.RequestCtx, v platform.ObjectVersion) {
	ctx.Response.Header.Set("ETag", strconv.FormatUint(uint64(v), 10))
}

func fail(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, platform.ErrConflict):
		status = fasthttp.StatusPreconditionFailed
	case errors.Is(err, platform.ErrUnavailable):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, errors.NotFound):
		status = fasthttp.StatusNotFound
	case errors.Is(err, errors.Timeout):
		status = fasthttp.StatusNotModified
	}
	ctx.Error(err.Error(), status)
}

func (o *Objects) serveGet(ctx *fasthttp.RequestCtx) {
	object, err := o.Get(context.Background(), keyOf(ctx))
	sendObject(ctx, object, err)
}

func sendObject(ctx *fasthttp.RequestCtx, object platform.Object, err error) {
	if err != nil {
		fail(ctx, err)
		return
	}
	setVersion(ctx, object.Version)
	ctx.SetBody(object.Value)
}

func (o *Objects) servePut(ctx *fasthttp.RequestCtx) {
	version, err := o.Put(context.Background(), keyOf(ctx), ctx.PostBody(), ifMatch(ctx))
	if err != nil {
		fail(ctx, err)
		return
	}
	setVersion(ctx, version)
}

func (o *Objects) serveDelete(ctx *fasthttp.RequestCtx) {
	if err := o.Delete(context.Background(), keyOf(ctx), ifMatch(ctx)); err != nil {
		fail(ctx, err)
	}
}

func (o *Objects) serveList(ctx *fasthttp.RequestCtx) {
	keys, err := o.List(context.Background(), string(ctx.QueryArgs().Peek("prefix")))
	if err != nil {
		fail(ctx, err)
		return
	}
	writeJSON(ctx, keys)
}

func (o *Objects) serveWatch(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait-ms")) * time.Millisecond
	object, err := o.Watch(context.Background(), keyOf(ctx), platform.ObjectVersion(after), wait)
	sendObject(ctx, object, err)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func readJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
