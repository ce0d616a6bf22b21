package standin

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Register adds the HTTP routes of the platform's metadata store to the router.
func (o *Objects) Register(r *router.Router) {
	r.GET("/objects/{kind}", o.withEra(o.serveKind))
	r.POST("/objects/{kind}", o.withEra(o.serveCreate))
	r.GET("/objects/{kind}/{name:*}", o.withEra(o.serveGet))
	r.PUT("/objects/{kind}/{name:*}", o.withEra(o.serveReplace))
	r.DELETE("/objects/{kind}/{name:*}", o.withEra(o.serveDelete))
	r.GET("/calls", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, o.Calls()) })
	r.POST("/faults/objects", func(ctx *fasthttp.RequestCtx) {
		var f ObjectFaults
		if readJSON(ctx, &f) {
			o.SetFaults(f)
		}
	})
}

// withEra adds the era to the response of a call. A call during which the store returns
// from a copy fails.
func (o *Objects) withEra(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		began := o.currentEra()
		h(ctx)
		era := o.currentEra()
		if era != began {
			ctx.Error("the store has returned from a copy", fasthttp.StatusServiceUnavailable)
		}
		ctx.Response.Header.Set(platform.HeaderEra, strconv.FormatUint(uint64(era), 10))
	}
}

func (o *Objects) currentEra() platform.Era {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era
}

// storedObject is the JSON form of an object in the store's HTTP API.
type storedObject struct {
	Metadata struct {
		Name     string                `json:"name"`
		Revision objects.ObjectVersion `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

func toStoredObject(o objects.Object) storedObject {
	var out storedObject
	_, out.Metadata.Name = objects.Split(o.Key)
	out.Metadata.Revision = o.Version
	if kind, _ := objects.Split(o.Key); isJSONKind(kind) {
		out.Spec = o.Value
		return out
	}
	out.Spec, _ = json.Marshal(o.Value) // encoding bytes never fails
	return out
}

// isJSONKind reports whether the platform itself or gateways write objects of the kind. Their
// values are JSON; those of the product's other kinds are opaque bytes.
func isJSONKind(k platform.Kind) bool {
	switch k {
	case platform.KindConfiguration, platform.KindTargets, platform.KindVersions, quarantine.BansKind, quarantine.EvidenceKind:
		return true
	}
	return false
}

// Publish writes an object of a kind that the platform itself writes. Faults
// don't affect it.
func (o *Objects) Publish(kind platform.Kind, name string, spec json.RawMessage) error {
	key := objects.Join(kind, name)
	o.mu.Lock()
	version := o.objects[key].Version
	o.mu.Unlock()
	_, err := o.put(key, spec, version)
	return errors.Trace(err)
}

// Withdraw removes a published object.
func (o *Objects) Withdraw(kind platform.Kind, name string) {
	key := objects.Join(kind, name)
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, exists := o.objects[key]; exists {
		o.remove(key)
	}
}

// WithdrawExcept removes the published objects of a kind whose names are not among those
// given.
func (o *Objects) WithdrawExcept(kind platform.Kind, names map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range maps.Clone(o.objects) {
		if k, name := objects.Split(key); k == kind && !names[name] {
			o.remove(key)
		}
	}
}

func requestKind(ctx *fasthttp.RequestCtx) platform.Kind {
	return platform.Kind(ctx.UserValue("kind").(string))
}

func requestKey(ctx *fasthttp.RequestCtx) string {
	return objects.Join(requestKind(ctx), ctx.UserValue("name").(string))
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
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
	object, err := o.Get(context.Background(), requestKey(ctx))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, toStoredObject(object))
}

func (o *Objects) serveCreate(ctx *fasthttp.RequestCtx) {
	var in storedObject
	if readJSON(ctx, &in) {
		o.serveWrite(ctx, objects.Join(requestKind(ctx), in.Metadata.Name), in, 0)
	}
}

func (o *Objects) serveReplace(ctx *fasthttp.RequestCtx) {
	var in storedObject
	if readJSON(ctx, &in) {
		o.serveWrite(ctx, requestKey(ctx), in, in.Metadata.Revision)
	}
}

func (o *Objects) serveWrite(ctx *fasthttp.RequestCtx, key string, in storedObject, revision objects.ObjectVersion) {
	var value []byte
	if isJSONKind(requestKind(ctx)) {
		value = in.Spec
	} else if err := json.Unmarshal(in.Spec, &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	newVersion, err := o.Put(context.Background(), key, value, revision)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, toStoredObject(objects.Object{Key: key, Value: value, Version: newVersion}))
}

func (o *Objects) serveDelete(ctx *fasthttp.RequestCtx) {
	revision := ctx.QueryArgs().GetUintOrZero("revision")
	if err := o.Delete(context.Background(), requestKey(ctx), objects.ObjectVersion(revision)); err != nil {
		writeError(ctx, err)
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

// maxPageItems is the maximum number of objects on one page of a list.
const maxPageItems = 500

func (o *Objects) serveList(ctx *fasthttp.RequestCtx) {
	kind, after := requestKind(ctx), string(ctx.QueryArgs().Peek("after"))
	o.mu.Lock()
	asOf := o.last
	o.mu.Unlock()
	keys, err := o.List(context.Background(), strings.TrimSuffix(objects.Join(kind, "x"), "x"))
	if err != nil {
		writeError(ctx, err)
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
		page.Items = append(page.Items, toStoredObject(object))
	}
	o.mu.Unlock()
	writeJSON(ctx, page)
}

type watchEvent struct {
	Object  storedObject `json:"object"`
	Removed bool         `json:"removed"`
}

// serveWatch waits for changes to objects of a kind after a revision.
func (o *Objects) serveWatch(ctx *fasthttp.RequestCtx, from objects.ObjectVersion, wait time.Duration) {
	kind := requestKind(ctx)
	if err := o.drawFaults(&o.calls.Watches).apply(context.Background()); err != nil {
		writeError(ctx, err)
		return
	}
	for timeout := time.After(wait); ; {
		events, asOf, changed, err := o.changesSince(kind, from)
		if err != nil {
			writeError(ctx, err)
			if errors.Is(err, errHistoryGone) {
				ctx.SetStatusCode(fasthttp.StatusGone)
			}
			return
		}
		var timedOut bool
		if len(events) == 0 {
			select {
			case <-changed:
			case <-timeout:
				timedOut = true
			}
		}
		if len(events) > 0 || timedOut {
			writeJSON(ctx, map[string]any{"events": events, "as-of": asOf})
			return
		}
	}
}

const errHistoryGone = errors.ConstError("revision history no longer available")

// changesSince returns the changes to objects of a kind after a revision, the
// newest revision, and a channel that is closed at the next change.
func (o *Objects) changesSince(kind platform.Kind, from objects.ObjectVersion) ([]watchEvent, objects.ObjectVersion, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Outage {
		return nil, 0, nil, errors.Annotate(objects.ErrUnavailable, "outage")
	}
	if from < o.compacted || from > o.last {
		return nil, 0, nil, errHistoryGone
	}
	events := []watchEvent{}
	for _, c := range o.history {
		if k, _ := objects.Split(c.object.Key); k == kind && c.object.Version > from {
			events = append(events, watchEvent{Object: toStoredObject(c.object), Removed: c.removed})
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
