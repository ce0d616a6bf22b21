// Command hyssoproad-entry runs on the entry VMs and routes callers' requests to
// targets.
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
