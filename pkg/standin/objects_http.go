package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Register serves the platform's metadata store.
func (o *Objects) Register(r *router.Router) {
	r.GET("/objects/{kind}", o.serveKind)
	r.POST("/objects/{kind}", o.serveCreate)
	r.GET("/objects/{kind}/{name:*}", o.serveGet)
	r.PUT("/objects/{kind}/{name:*}", o.serveReplace)
	r.DELETE("/objects/{kind}/{name:*}", o.serveDelete)
	r.GET("/calls", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, o.Calls()) })
	r.POST("/faults/objects", func(ctx *fasthttp.RequestCtx) {
		var f ObjectFaults
		if readJSON(ctx, &f) {
			o.SetFaults(f)
		}
	})
}

// storedObject is an object as the store shows it.
type storedObject struct {
	Metadata struct {
		Name     string                `json:"name"`
		Revision objects.ObjectVersion `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

func stored(o objects.Object) storedObject {
	var out storedObject
	_, out.Metadata.Name = objects.Split(o.Key)
	out.Metadata.Revision = o.Version
	if kind, _ := objects.Split(o.Key); plainKind(kind) {
		out.Spec = o.Value
		return out
	}
	out.Spec, _ = json.Marshal(o.Value) // bytes always encode
	return out
}

// plainKind reports whether the platform itself writes objects of the kind. Their
// contents are JSON; those of the product's own kinds are bytes.
func plainKind(k platform.Kind) bool {
	return k == platform.KindConfiguration || k == platform.KindTargets || k == platform.KindVersions
}

// Publish writes an object of a kind that the platform itself writes, whatever
// the faults are.
func (o *Objects) Publish(kind platform.Kind, name string, spec json.RawMessage) error {
	key := objects.Join(kind, name)
	o.mu.Lock()
	version := o.objects[key].Version
	o.mu.Unlock()
	_, err := o.put(key, spec, version)
	return errors.Trace(err)
}

// Withdraw removes an object that Publish wrote.
func (o *Objects) Withdraw(kind platform.Kind, name string) {
	key := objects.Join(kind, name)
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, exists := o.objects[key]; exists {
		o.remove(key)
	}
}

func kindOf(ctx *fasthttp.RequestCtx) platform.Kind {
	return platform.Kind(ctx.UserValue("kind").(string))
}

func keyOf(ctx *fasthttp.RequestCtx) string {
	return objects.Join(kindOf(ctx), ctx.UserValue("name").(string))
}

func fail(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, objects.ErrConflict):
		status = fasthttp.StatusConflict
	case errors.Is(err, objects.ErrUnavailable):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, errors.NotFound):
		status = fasthttp.StatusNotFound
	}
	ctx.Error(err.Error(), status)
}

func (o *Objects) serveGet(ctx *fasthttp.RequestCtx) {
	object, err := o.Get(context.Background(), keyOf(ctx))
	if err != nil {
		fail(ctx, err)
		return
	}
	writeJSON(ctx, stored(object))
}

func (o *Objects) serveCreate(ctx *fasthttp.RequestCtx) {
	var in storedObject
	if readJSON(ctx, &in) {
		o.serveWrite(ctx, objects.Join(kindOf(ctx), in.Metadata.Name), in, 0)
	}
}

func (o *Objects) serveReplace(ctx *fasthttp.RequestCtx) {
	var in storedObject
	if readJSON(ctx, &in) {
		o.serveWrite(ctx, keyOf(ctx), in, in.Metadata.Revision)
	}
}

func (o *Objects) serveWrite(ctx *fasthttp.RequestCtx, key string, in storedObject, revision objects.ObjectVersion) {
	var value []byte
	if plainKind(kindOf(ctx)) {
		value = in.Spec
	} else if err := json.Unmarshal(in.Spec, &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	written, err := o.Put(context.Background(), key, value, revision)
	if err != nil {
		fail(ctx, err)
		return
	}
	writeJSON(ctx, stored(objects.Object{Key: key, Value: value, Version: written}))
}

func (o *Objects) serveDelete(ctx *fasthttp.RequestCtx) {
	revision := ctx.QueryArgs().GetUintOrZero("revision")
	if err := o.Delete(context.Background(), keyOf(ctx), objects.ObjectVersion(revision)); err != nil {
		fail(ctx, err)
	}
}

func (o *Objects) serveKind(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if !args.Has("watch") {
		o.serveList(ctx)
		return
	}
	from, err := strconv.ParseUint(string(args.Peek("watch")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	o.serveWatch(ctx, objects.ObjectVersion(from), time.Duration(args.GetUintOrZero("wait-ms"))*time.Millisecond)
}

// maxPageItems is the number of objects on one page of a list.
const maxPageItems = 500

func (o *Objects) serveList(ctx *fasthttp.RequestCtx) {
	kind, after := kindOf(ctx), string(ctx.QueryArgs().Peek("after"))
	o.mu.Lock()
	asOf := o.last
	o.mu.Unlock()
	keys, err := o.List(context.Background(), strings.TrimSuffix(objects.Join(kind, "x"), "x"))
	if err != nil {
		fail(ctx, err)
		return
	}
	page := struct {
		Items []storedObject        `json:"items"`
		More  bool                  `json:"more"`
		AsOf  objects.ObjectVersion `json:"as-of"`
	}{Items: []storedObject{}, AsOf: asOf}
	o.mu.Lock()
	for _, key := range keys {
		k, name := objects.Split(key)
		object, exists := o.objects[key]
		if k != kind || name <= after || !exists {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, stored(object))
	}
	o.mu.Unlock()
	writeJSON(ctx, page)
}

type shownEvent struct {
	Object  storedObject `json:"object"`
	Removed bool         `json:"removed"`
}

// serveWatch waits for changes of a kind after a revision.
func (o *Objects) serveWatch(ctx *fasthttp.RequestCtx, from objects.ObjectVersion, wait time.Duration) {
	kind := kindOf(ctx)
	if err := o.fate(&o.calls.Watches).begin(context.Background()); err != nil {
		fail(ctx, err)
		return
	}
	for timeout := time.After(wait); ; {
		events, asOf, changed, err := o.since(kind, from)
		if err != nil {
			fail(ctx, err)
			if errors.Is(err, errHistoryGone) {
				ctx.SetStatusCode(fasthttp.StatusGone)
			}
			return
		}
		var over bool
		if len(events) == 0 {
			select {
			case <-changed:
			case <-timeout:
				over = true
			}
		}
		if len(events) > 0 || over {
			writeJSON(ctx, map[string]any{"events": events, "as-of": asOf})
			return
		}
	}
}

const errHistoryGone = errors.ConstError("history gone")

// since returns the changes of a kind after a revision.
func (o *Objects) since(kind platform.Kind, from objects.ObjectVersion) ([]shownEvent, objects.ObjectVersion, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Outage {
		return nil, 0, nil, errors.Annotate(objects.ErrUnavailable, "outage")
	}
	if from < o.forgotten {
		return nil, 0, nil, errHistoryGone
	}
	events := []shownEvent{}
	for _, c := range o.history {
		if k, _ := objects.Split(c.object.Key); k == kind && c.object.Version > from {
			events = append(events, shownEvent{Object: stored(c.object), Removed: c.removed})
		}
	}
	return events, o.last, o.changed, nil
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
