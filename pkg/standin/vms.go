package standin

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/platform"
)

// VMs is the platform's list of VMs. A change shows after the lag.
type VMs struct {
	lag time.Duration

	mu    sync.Mutex
	shown map[ident.VM]platform.VMInfo
	order []ident.VM
}

// NewVMs returns a list with its first rows.
func NewVMs(rows []platform.VMInfo, lag time.Duration) *VMs {
	v := &VMs{lag: lag, shown: make(map[ident.VM]platform.VMInfo)}
	for _, row := range rows {
		v.show(row)
	}
	return v
}

func (v *VMs) show(row platform.VMInfo) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.shown[row.VM]; !known {
		v.order = append(v.order, row.VM)
	}
	v.shown[row.VM] = row
}

// Set changes a row after the lag.
func (v *VMs) Set(row platform.VMInfo) {
	time.AfterFunc(v.lag, func() { v.show(row) })
}

// Rows returns the list as it shows now.
func (v *VMs) Rows() []platform.VMInfo {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]platform.VMInfo, 0, len(v.order))
	for _, vm := range v.order {
		out = append(out, v.shown[vm])
	}
	return out
}

// Register serves the list.
func (v *VMs) Register(r *router.Router) {
	r.GET("/vms", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, v.Rows()) })
	r.POST("/vms", func(ctx *fasthttp.RequestCtx) {
		var row platform.VMInfo
		if readJSON(ctx, &row) {
			v.Set(row)
		}
	})
}
