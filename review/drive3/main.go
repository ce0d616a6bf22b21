//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the scripted cases by the folder of their record.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"two-engines":  twoEngines,
	"cut-unframed": cutUnframed,
	"after-end":    afterEnd,
	"head-refused": headRefused,
}

func main() {
	if len(os.Args) == 6 && os.Args[1] == "engine" {
		engineProcess(os.Args[2], os.Args[3], os.Args[4], os.Args[5])
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drive3 CASE RECORD")
		os.Exit(unable)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(unable)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	rec := &record{f: f, start: time.Now()}
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	time.AfterFunc(110*time.Second, func() {
		rec.row("the case takes too long")
		w.end()
		os.Exit(unable)
	})
	code, err := play(w, os.Getenv("TROUBLE") != "0")
	w.end()
	if err != nil {
		rec.row("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = unable
	}
	rec.row("exit code %d", code)
	_ = f.Close()
	os.Exit(code)
}

// configuration returns a configuration of a small deployment (fleetbench wire).
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-draft", "host": hostName, "path-prefix": "/draft/", "kind": "streaming", "timeout-ms": 15000, "slo-ms": 800, "priority": 1, "service": draftService, "max-attempts": 2, "sticky": true, "can-resume": true, "gap-slo-ms": 300},
			map[string]any{"name": "r-note", "host": hostName, "path-prefix": "/note/", "kind": "streaming", "timeout-ms": 20000, "slo-ms": 1000, "priority": 1, "service": draftService, "max-attempts": 1, "sticky": true, "can-resume": false, "gap-slo-ms": 300},
			map[string]any{"name": "r-book", "host": hostName, "path-prefix": "/book/", "kind": "unsafe", "timeout-ms": 1000, "slo-ms": 100, "priority": 0, "service": deskService, "max-attempts": 2},
			map[string]any{"name": "r-look", "host": hostName, "path-prefix": "/look/", "kind": "safe", "timeout-ms": 1000, "slo-ms": 100, "priority": 0, "service": deskService, "max-attempts": 2},
		},
		"services": []any{
			map[string]any{"name": draftService, "health-path": healthPath, "max-conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv-capacity-tokens": 133316, "kv-token-bytes": 163840, "link-mbps": 180000, "moves": true, "backups": true, "stride": 3, "max-count": 12, "host-mb": 150000, "disk-mb": 450000,
				"pin-ms": 4000, "hold-ms": 2000, "handle_s": 5, "mb": 75600, "adapter-slots": 21, "loads-per-s": 3.3,
				"models": []any{map[string]any{"name": modelName, "mb": 72700, "load-s": 1.2, "adapters": 3000, "adapter-mb": 66, "warm-s": 1.2, "disk-s": 1.6}},
			}},
			map[string]any{"name": deskService, "health-path": healthPath, "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
