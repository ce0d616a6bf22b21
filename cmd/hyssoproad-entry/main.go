// Command hyssoproad-entry is the process on the entry VMs, between callers and targets.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/app"
	"github.com/hyssoproad/hyssoproad/pkg/settings"

	_ "github.com/hyssoproad/hyssoproad/pkg/caller"
	_ "github.com/hyssoproad/hyssoproad/pkg/monitor"
	_ "github.com/hyssoproad/hyssoproad/pkg/operator"
	_ "github.com/hyssoproad/hyssoproad/pkg/peer"
)

func main() {
	s := settings.DefaultEntry()
	daemon := app.Daemon{
		Name: "hyssoproad-entry", Settings: &s,
		Process: func() settings.Process { return s.Process },
		Provide: []any{func() settings.Entry { return s }},
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
