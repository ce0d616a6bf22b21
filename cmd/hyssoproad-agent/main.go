// Command hyssoproad-agent runs beside each target and schedules the target's
// requests.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/app"
	"github.com/hyssoproad/hyssoproad/pkg/settings"

	_ "github.com/hyssoproad/hyssoproad/pkg/agent"
	_ "github.com/hyssoproad/hyssoproad/pkg/monitor"
)

func main() {
	s := settings.DefaultAgent()
	daemon := app.Daemon{
		Name: "hyssoproad-agent", Settings: &s,
		Process: func() settings.Process { return s.Process },
		Provide: []any{func() settings.Agent { return s }},
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
