package standin

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
)

// VMs is a fake of the platform's list of VMs. Changes become visible after a
// lag.
type VMs struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[ident.VM]objects.VMInfo
	order   []ident.VM
}

// NewVMs returns a list with the given initial rows.
func NewVMs(rows []objects.VMInfo, lag time.Duration) *VMs {
	v := &VMs{lag: lag, visible: make(map[ident.VM]objects.VMInfo)}
	for _, row := range rows {
		v.publish(row)
	}
	return v
}

func (v *VMs) publish(row objects.VMInfo) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.visible[row.VM]; !known {
		v.order = append(v.order, row.VM)
	}
	v.visible[row.VM] = row
}

// Set adds or replaces a row after the lag.
func (v *VMs) Set(row objects.VMInfo) {
	time.AfterFunc(v.lag, func() { v.publish(row) })
}

// Rows returns the rows that are currently visible.
func (v *VMs) Rows() []objects.VMInfo {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]objects.VMInfo, 0, len(v.order))
	for _, vm := range v.order {
		out = append(out, v.visible[vm])
	}
	return out
}

// Register adds the HTTP routes of the list to the router. The list is served as
// objects of the kind vms.
func (v *VMs) Register(r *router.Router) {
	r.GET("/objects/vms", func(ctx *fasthttp.RequestCtx) {
		type item struct {
			Metadata struct {
				Name ident.VM `json:"name"`
			} `json:"metadata"`
			Spec objects.VMInfo `json:"spec"`
		}
		items := []item{}
		for _, row := range v.Rows() {
			i := item{Spec: row}
			i.Metadata.Name = row.VM
			items = append(items, i)
		}
		writeJSON(ctx, map[string]any{"items": items, "more": false, "as-of": 1})
	})
	r.POST("/objects/vms", func(ctx *fasthttp.RequestCtx) {
		var row objects.VMInfo
		if readJSON(ctx, &row) {
			v.Set(row)
		}
	})
}
